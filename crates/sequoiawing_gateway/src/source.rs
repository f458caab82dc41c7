use crate::{slots::Slot, stream_position::StreamPosition};
use bytes::Bytes;
use http_body_util::BodyExt;
use sequoiawing_http::{BodyError, BodyFraming, ClientBody};
use std::collections::VecDeque;

/// The cause of a stream that ends inside an event.
const PARTIAL_EVENT: &str = "the stream ended within an event";

/// The cause of a stream that ends before its first event.
const NO_EVENT: &str = "the stream ended without an event";

/// An event stream of an upstream, and the slot that it holds there.
pub(crate) struct Source {
    pub(crate) stream: EventStream,
    pub(crate) slot: Slot,
}

/// The body of an event stream.
pub(crate) struct EventStream {
    body: ClientBody,
    framing: BodyFraming,
    /// The parts that were read ahead.
    ahead: VecDeque<Bytes>,
}

impl EventStream {
    pub(crate) fn new(body: ClientBody, framing: BodyFraming) -> Self {
        Self {
            body,
            framing,
            ahead: VecDeque::new(),
        }
    }

    /// Returns how the end of the stream is told.
    pub(crate) fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Reads until at least one complete event has arrived, and returns it;
    /// `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off, or why its next event may not be passed on.
    pub(crate) async fn read(
        &mut self,
        position: &mut StreamPosition,
    ) -> Result<Option<Bytes>, String> {
        position.check().map_err(|error| error.to_string())?;
        loop {
            let part = match self.ahead.pop_front() {
                Some(part) => part,
                None => match self.receive().await {
                    None if position.has_partial() => return Err(PARTIAL_EVENT.to_owned()),
                    None => return Ok(None),
                    Some(part) => part.map_err(|error| error.to_string())?,
                },
            };
            let complete = position.push(part).map_err(|error| error.to_string())?;
            if !complete.is_empty() {
                return Ok(Some(complete));
            }
        }
    }

    /// Reads ahead until the first complete event, which must follow the last one that
    /// the caller has.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off, that it ended without an event, or why its event
    /// may not be passed on.
    pub(crate) async fn read_ahead(&mut self, last_event_id: Option<u64>) -> Result<(), String> {
        let mut position = StreamPosition::new(last_event_id);
        while let Some(part) = self.receive().await {
            let part = part.map_err(|error| error.to_string())?;
            self.ahead.push_back(part.clone());
            let complete = position.push(part).map_err(|error| error.to_string())?;
            if !complete.is_empty() {
                return Ok(());
            }
        }
        let cause = if position.has_partial() {
            PARTIAL_EVENT
        } else {
            NO_EVENT
        };
        Err(cause.to_owned())
    }

    async fn receive(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.body.frame().await? {
                Err(error) => return Some(Err(error)),
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
            }
        }
    }
}

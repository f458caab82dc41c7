use crate::slots::Slot;
use bytes::Bytes;
use http_body_util::BodyExt;
use sequoiawing_http::{BodyError, BodyFraming, ClientBody, SseSplitter};
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
    /// Returns why the stream broke off.
    pub(crate) async fn read(&mut self, events: &mut SseSplitter) -> Result<Option<Bytes>, String> {
        loop {
            let part = match self.ahead.pop_front() {
                Some(part) => part,
                None => match self.receive().await {
                    None if events.has_partial() => return Err(PARTIAL_EVENT.to_owned()),
                    None => return Ok(None),
                    Some(part) => part.map_err(|error| error.to_string())?,
                },
            };
            let complete = events.push(part).map_err(|error| error.to_string())?;
            if !complete.is_empty() {
                return Ok(Some(complete));
            }
        }
    }

    /// Reads ahead until the first complete event.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off, or that it ended without an event.
    pub(crate) async fn read_ahead(&mut self) -> Result<(), String> {
        let mut events = SseSplitter::default();
        while let Some(part) = self.receive().await {
            let part = part.map_err(|error| error.to_string())?;
            self.ahead.push_back(part.clone());
            let complete = events.push(part).map_err(|error| error.to_string())?;
            if !complete.is_empty() {
                return Ok(());
            }
        }
        let cause = if events.has_partial() {
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

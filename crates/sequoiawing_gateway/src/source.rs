use crate::{
    GatewayState, event_numberings::SharedNumbering, response_body::EventRoom, slots::Slot,
    stream_position::StreamPosition,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use sequoiawing_http::{BodyBudget, BodyError, BodyFraming, BodyParts, ClientBody};

/// An event stream of an upstream, and the slot that it holds there.
pub(crate) struct Source {
    pub(crate) stream: EventStream,
    pub(crate) slot: Slot,
}

impl Source {
    /// Reads the next events, as [`EventStream::read`] does.
    ///
    /// # Errors
    ///
    /// Returns also that the end of the connection may not be that of the stream.
    pub(crate) async fn read(
        &mut self,
        state: &GatewayState,
        position: &mut StreamPosition,
    ) -> Result<Option<Bytes>, String> {
        let events = self.stream.read(position).await?;
        if events.is_none() {
            state
                .check_answer_end(&self.slot, self.stream.framing)
                .await?;
        }
        Ok(events)
    }
}

/// The body of an event stream.
pub(crate) struct EventStream {
    body: ClientBody,
    framing: BodyFraming,
    /// The parts that were read ahead.
    ahead: BodyParts,
    room: EventRoom,
}

impl EventStream {
    /// Creates a stream whose incomplete events take room of `budget`.
    pub(crate) fn new(body: ClientBody, framing: BodyFraming, budget: BodyBudget) -> Self {
        Self {
            body,
            framing,
            ahead: BodyParts::default(),
            room: EventRoom::new(budget),
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
    async fn read(&mut self, position: &mut StreamPosition) -> Result<Option<Bytes>, String> {
        position.check().map_err(|error| error.to_string())?;
        loop {
            let part = match self.ahead.pop_front() {
                Some(part) => part,
                None => match self.receive().await {
                    None => {
                        position.check_end().map_err(|error| error.to_string())?;
                        return Ok(None);
                    }
                    Some(part) => part.map_err(|error| error.to_string())?,
                },
            };
            let complete = position.push(part).map_err(|error| error.to_string())?;
            if !complete.is_empty() {
                // They count as passed on: an error here would leave a gap in the stream.
                self.room.release();
                return Ok(Some(complete));
            }
            self.room.fit(self.ahead.len() + position.partial_len())?;
        }
    }

    /// Reads ahead until the first complete event, which must follow the last one that
    /// the caller has.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off, that it ended without an event, or why its event
    /// may not be passed on.
    pub(crate) async fn read_ahead(
        &mut self,
        last_event_id: Option<u64>,
        steps: SharedNumbering,
    ) -> Result<(), String> {
        let mut position = StreamPosition::new(last_event_id, steps);
        position.begin_part();
        while let Some(part) = self.receive().await {
            let part = part.map_err(|error| error.to_string())?;
            self.ahead.push(part.clone());
            position.push(part).map_err(|error| error.to_string())?;
            self.room.fit(self.ahead.len() + position.partial_len())?;
            if position.count() > 0 {
                return Ok(());
            }
        }
        position.check_end().map_err(|error| error.to_string())
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

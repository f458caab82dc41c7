//! What a caller has of a stream, which decides what may be passed on next.

#[cfg(test)]
mod tests;

use crate::event_numberings::SharedNumbering;
use bytes::Bytes;
use sequoiawing_http::{EventId, EventTooLong, SseEvent, SseSplitter, complete_events};
use thiserror::Error;

/// Why an event may not be passed on.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum EventError {
    /// It is too long.
    #[error(transparent)]
    TooLong(#[from] EventTooLong),
    /// It comes before the last, or so far behind it that an event may be missing.
    #[error("event {id} came behind event {last}")]
    OutOfOrder {
        /// The ID of the last event that was passed on.
        last: u64,
        /// The ID of the event.
        id: u64,
    },
    /// Its ID is no number, unlike those of the events before.
    #[error("an event without a numeric ID came behind event {last}")]
    NotNumbered {
        /// The ID of the last event that was passed on.
        last: u64,
    },
}

/// Why the end of an upstream's answer is not the end of the stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum EndError {
    /// It cuts an event.
    #[error("the stream ended within an event")]
    WithinEvent,
    /// The upstream was to go on and sent nothing.
    #[error("the stream ended without an event")]
    NoEvent,
}

/// How the events of a stream are numbered.
#[derive(Clone, Copy, Debug)]
enum Numbering {
    /// No event is known.
    Unknown,
    /// The caller has the events up to the ID `last`.
    Numeric { last: u64 },
    /// The IDs are no numbers, so that the stream cannot be resumed.
    Absent,
}

/// The position of a caller in a stream of events.
///
/// Complete events are passed on if they follow the last one. The upstream of an event
/// that does not follow is to be replaced: it began anew, or lost or repeated a part.
#[derive(Debug)]
pub(crate) struct StreamPosition {
    splitter: SseSplitter,
    numbering: Numbering,
    /// What the streams of the same upstreams have shown.
    steps: SharedNumbering,
    /// The number of events that were passed on.
    count: u64,
    /// The number of events of the current upstream.
    part_count: u64,
    /// The ID of the first event of the current upstream.
    first_id: Option<u64>,
    /// Whether the current upstream was to go on behind another one.
    is_resumed: bool,
    /// Why the current upstream must send nothing more.
    error: Option<EventError>,
}

impl StreamPosition {
    /// Creates the position of a caller that has the events up to `last_event_id`, if
    /// any, in a stream of upstreams that number events like `steps`.
    pub(crate) fn new(last_event_id: Option<u64>, steps: SharedNumbering) -> Self {
        Self {
            splitter: SseSplitter::default(),
            numbering: last_event_id.map_or(Numbering::Unknown, |last| Numbering::Numeric { last }),
            steps,
            count: 0,
            part_count: 0,
            first_id: None,
            is_resumed: false,
            error: None,
        }
    }

    /// Appends a part of the upstream's stream and returns the events that may be passed
    /// on now. An error that is due behind them is returned by the next call of
    /// [`check`](Self::check).
    ///
    /// # Errors
    ///
    /// Returns why the next event may not be passed on, if none may be before it.
    pub(crate) fn push(&mut self, part: Bytes) -> Result<Bytes, EventError> {
        let mut complete = self.splitter.push(part)?;
        let mut accepted = 0;
        for event in complete_events(&complete) {
            if let Err(error) = self.accept(event) {
                self.error = Some(error);
                break;
            }
            accepted += event.len();
        }
        complete.truncate(accepted);
        if complete.is_empty() {
            self.check()?;
        }
        Ok(complete)
    }

    /// Checks that the upstream has sent nothing that may not be passed on.
    ///
    /// # Errors
    ///
    /// Returns why an event may not be passed on.
    pub(crate) fn check(&self) -> Result<(), EventError> {
        self.error.map_or(Ok(()), Err)
    }

    fn accept(&mut self, event: SseEvent<'_>) -> Result<(), EventError> {
        if event.is_comment() {
            return Ok(());
        }
        let id = event.id();
        match (self.numbering, id) {
            (Numbering::Numeric { last }, EventId::Number(id)) => {
                let mut steps = self.steps.lock();
                if !steps.accepts(last, id) {
                    return Err(EventError::OutOfOrder { last, id });
                }
                if self.first_id.is_some() {
                    steps.learn(last, id);
                }
                drop(steps);
                self.numbering = Numbering::Numeric { last: id };
                self.first_id = self.first_id.or(Some(id));
            }
            (Numbering::Numeric { last }, EventId::Missing | EventId::Text) if !event.is_done() => {
                return Err(EventError::NotNumbered { last });
            }
            (Numbering::Unknown, EventId::Number(id)) => {
                self.numbering = Numbering::Numeric { last: id };
                self.first_id = self.first_id.or(Some(id));
            }
            (Numbering::Unknown, _) => self.numbering = Numbering::Absent,
            (Numbering::Numeric { .. } | Numbering::Absent, _) => {}
        }
        self.count += 1;
        self.part_count += 1;
        Ok(())
    }

    /// Returns the number of bytes of an incomplete event that are held back.
    pub(crate) fn partial_len(&self) -> usize {
        self.splitter.partial_len()
    }

    /// Checks that the stream may end here: the answer of the current upstream has ended.
    ///
    /// # Errors
    ///
    /// Returns why this is not the end of the stream.
    pub(crate) fn check_end(&self) -> Result<(), EndError> {
        if self.splitter.has_partial() {
            return Err(EndError::WithinEvent);
        }
        if self.is_resumed && self.part_count == 0 {
            return Err(EndError::NoEvent);
        }
        Ok(())
    }

    /// Begins the part of the next upstream. What the former one sent of an incomplete
    /// event is discarded.
    pub(crate) fn begin_part(&mut self) {
        self.splitter.discard_partial();
        self.part_count = 0;
        self.first_id = None;
        self.is_resumed = true;
        self.error = None;
    }

    /// Returns whether another upstream can go on behind the last event.
    pub(crate) fn may_resume(&self) -> bool {
        !matches!(self.numbering, Numbering::Absent)
    }

    /// Returns the ID of the last event that the caller has.
    pub(crate) fn last_id(&self) -> Option<u64> {
        match self.numbering {
            Numbering::Numeric { last } => Some(last),
            Numbering::Unknown | Numbering::Absent => None,
        }
    }

    /// Returns the ID of the first event of the current upstream.
    pub(crate) fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns the number of events that were passed on.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }
}

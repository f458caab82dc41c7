//! The server-sent events of a streamed response.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use thiserror::Error;

/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// The names of fields; a comment has none, nor has an empty line.
const FIELDS: [&[u8]; 5] = [b"", b"data", b"event", b"id", b"retry"];

/// The maximum length of an event, in bytes. Events hold some tokens of text.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The most bytes that mark the end of an event: a line's end and an empty line.
const MAX_END_BYTES: usize = 3;

/// An event of a stream did not end in time.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of server-sent events into complete events, counts them and
/// detects the last one.
///
/// An event ends with an empty line. Bytes after the last complete event are
/// held back, so that an interrupted stream can be resumed between two events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    partial: BytesMut,
    count: u64,
    is_done: bool,
}

impl SseSplitter {
    /// Appends a part of the stream and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is longer than 1 MiB. Nothing of it is kept.
    pub fn push(&mut self, part: Bytes) -> Result<Bytes, EventTooLong> {
        let complete = if self.partial.is_empty() {
            self.split(part)
        } else {
            self.extend_partial(&part)
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            self.partial = BytesMut::new();
            return Err(EventTooLong);
        }
        self.scan(&complete);
        Ok(complete)
    }

    /// Discards the incomplete event, for use when the stream is resumed after
    /// the last complete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of complete events.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether bytes of an incomplete event are held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the number of bytes of an incomplete event that are held back.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the last event of the stream has been returned.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Appends to the incomplete event, and returns the events that are now complete.
    ///
    /// Only what is new is searched: events may come in parts of one byte.
    fn extend_partial(&mut self, part: &[u8]) -> Bytes {
        let searched = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
        self.partial.extend_from_slice(part);
        match last_event_end(&self.partial[searched..]) {
            0 => Bytes::new(),
            end => self.partial.split_to(searched + end).freeze(),
        }
    }

    fn split(&mut self, mut part: Bytes) -> Bytes {
        let end = last_event_end(&part);
        let rest = part.split_off(end);
        self.partial.extend_from_slice(&rest);
        part
    }

    fn scan(&mut self, complete: &[u8]) {
        for event in complete_events(complete) {
            self.count += 1;
            self.is_done |= event.is_done();
        }
    }
}

/// The `id` field of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventId {
    /// The event has none.
    Missing,
    /// It is a number.
    Number(u64),
    /// It is no number.
    Text,
}

/// A complete event, with the empty line that ends it.
#[derive(Clone, Copy, Debug)]
pub struct SseEvent<'a>(&'a [u8]);

impl SseEvent<'_> {
    /// Returns the length in bytes.
    #[expect(
        clippy::len_without_is_empty,
        reason = "an event ends with an empty line"
    )]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the last `id` field.
    pub fn id(&self) -> EventId {
        let mut lines = self.0.split(|b| *b == b'\n');
        let Some(id) = lines.rfind(|line| line.starts_with(b"id:")) else {
            return EventId::Missing;
        };
        let id = str::from_utf8(id[3..].trim_ascii()).ok();
        id.and_then(|id| id.parse().ok())
            .map_or(EventId::Text, EventId::Number)
    }

    /// Returns whether it consists of comments, with which servers keep connections
    /// open.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.0.split(|b| *b == b'\n');
        lines.all(|line| line.starts_with(b":") || line.trim_ascii().is_empty())
    }

    /// Returns whether all lines are fields of events or comments.
    pub fn is_well_formed(&self) -> bool {
        let mut lines = self.0.split(|b| *b == b'\n');
        lines.all(|line| {
            let name = line.split(|b| *b == b':').next().unwrap_or_default();
            FIELDS.contains(&name.trim_ascii_end())
        })
    }

    /// Returns whether it is the marker of a stream's end.
    pub fn is_done(&self) -> bool {
        self.0.trim_ascii() == DONE_EVENT
    }
}

/// Returns the complete events at the beginning of `bytes`.
pub fn complete_events(bytes: &[u8]) -> impl Iterator<Item = SseEvent<'_>> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let (event, behind) = rest.split_at(first_event_end(rest)?);
        rest = behind;
        Some(SseEvent(event))
    })
}

/// Returns the length of the first event, including the empty line that ends it.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = memmem::find(bytes, b"\n\n").map(|i| i + 2);
    let crlf = memmem::find(bytes, b"\n\r\n").map(|i| i + 3);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn last_event_end(bytes: &[u8]) -> usize {
    let lf = memmem::rfind(bytes, b"\n\n").map_or(0, |i| i + 2);
    let crlf = memmem::rfind(bytes, b"\n\r\n").map_or(0, |i| i + 3);
    lf.max(crlf)
}

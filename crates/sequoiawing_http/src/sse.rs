//! The server-sent events of a streamed response.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use thiserror::Error;

/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// The maximum length of an event, in bytes. Events hold some tokens of text.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event of a stream did not end in time.
#[derive(Clone, Copy, Debug, Error)]
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
    /// The `id` of the first event since the last call of `discard_partial`.
    first_id: Option<u64>,
    last_id: Option<u64>,
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
            self.partial.extend_from_slice(&part);
            let joined = std::mem::take(&mut self.partial).freeze();
            self.split(joined)
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
        self.first_id = None;
    }

    /// Returns the number of complete events.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the `id` of the last complete event that has a numeric one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the first numeric `id` since the stream was last resumed.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns whether bytes of an incomplete event are held back.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the last event of the stream has been returned.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    fn split(&mut self, mut part: Bytes) -> Bytes {
        let end = last_event_end(&part);
        let rest = part.split_off(end);
        self.partial.extend_from_slice(&rest);
        part
    }

    fn scan(&mut self, complete: &[u8]) {
        let mut rest = complete;
        while let Some(end) = first_event_end(rest) {
            self.count += 1;
            self.is_done |= rest[..end].trim_ascii() == DONE_EVENT;
            let id = parse_event_id(&rest[..end]);
            self.first_id = self.first_id.or(id);
            self.last_id = id.or(self.last_id);
            rest = &rest[end..];
        }
    }
}

/// Returns the `id` field of an event if it is a number.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
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

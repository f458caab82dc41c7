use bytes::Bytes;

/// The length of the response's tail that is searched for its usage, in bytes.
const TAIL_BYTES: usize = 2_048;

/// The field in which engines report the number of generated tokens.
const USAGE_FIELD: &str = "\"completion_tokens\":";

/// Counts the generated tokens of a response while it is relayed.
///
/// Uses the count that the engine reports at the end of the response, or else
/// the number of events.
#[derive(Debug, Default)]
pub(crate) struct TokenCounter {
    events: u64,
    tail: Vec<u8>,
}

impl TokenCounter {
    /// Adds a chunk of the response.
    pub(crate) fn add(&mut self, chunk: &Bytes) {
        let events = chunk.windows(6).filter(|w| *w == b"data: ").count();
        self.events += events as u64;
        self.tail.extend_from_slice(chunk);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    /// Returns the number of generated tokens.
    pub(crate) fn count(&self) -> u64 {
        let tail = String::from_utf8_lossy(&self.tail);
        let reported = tail
            .rsplit_once(USAGE_FIELD)
            .map(|(_, rest)| rest.trim_start());
        let digits = reported.map(|r| r.split(|c: char| !c.is_ascii_digit()).next());
        let reported = digits.flatten().and_then(|d| d.parse().ok());
        reported.unwrap_or(self.events)
    }
}

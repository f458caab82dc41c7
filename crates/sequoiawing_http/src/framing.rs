use hyper::{HeaderMap, StatusCode, header};
use std::fmt;

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of its connection, which also ends when the server is killed.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of the body behind the head of a response to a request that
    /// is not `HEAD`.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Self::Length;
        }
        if let Some(encoding) = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
        {
            let encoding = encoding.as_bytes().trim_ascii();
            let last = encoding.rsplit(|b| *b == b',').next().unwrap_or_default();
            return if last.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                Self::Chunks
            } else {
                Self::Connection
            };
        }
        if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }
}

impl fmt::Display for BodyFraming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

#[cfg(test)]
mod tests;

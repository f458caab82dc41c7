use crate::BodyError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body as HttpBody;
use std::collections::VecDeque;

/// The size from which on a part is kept as it arrived. Smaller ones are joined.
const WHOLE_BYTES: usize = 4 * 1024;

/// The most bytes that small parts are joined to.
const JOINED_BYTES: usize = 16 * 1024;

/// The parts of a body in their order.
///
/// A server may send each byte in a chunk of its own. The handle of a part takes more
/// memory than such a part, so that small ones are copied together.
#[derive(Clone, Debug, Default)]
pub struct BodyParts {
    parts: VecDeque<Bytes>,
    /// Small parts, which follow the others.
    tail: BytesMut,
    size: usize,
}

impl BodyParts {
    /// Appends a part.
    pub fn push(&mut self, part: Bytes) {
        self.size += part.len();
        let is_whole = part.len() >= WHOLE_BYTES;
        if is_whole || self.tail.len() + part.len() > JOINED_BYTES {
            self.seal();
        }
        if is_whole {
            self.parts.push_back(part);
        } else {
            self.tail.extend_from_slice(&part);
        }
    }

    /// Removes the first bytes, in one piece.
    pub fn pop_front(&mut self) -> Option<Bytes> {
        if self.parts.is_empty() {
            self.seal();
        }
        let part = self.parts.pop_front()?;
        self.size -= part.len();
        Some(part)
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.size
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Returns all bytes in one piece, for which they are copied if there are more pieces.
    pub fn into_bytes(mut self) -> Bytes {
        self.seal();
        if self.parts.len() <= 1 {
            return self.parts.pop_front().unwrap_or_default();
        }
        let mut bytes = BytesMut::with_capacity(self.size);
        for part in self.parts {
            bytes.extend_from_slice(&part);
        }
        bytes.freeze()
    }

    fn seal(&mut self) {
        if !self.tail.is_empty() {
            let joined = std::mem::take(&mut self.tail).freeze();
            self.parts.push_back(joined);
        }
    }
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
///
/// Returns an error if the body is larger or breaks off.
pub async fn read_to_end<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(Limited::new(body, limit));
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame?.into_data() {
            parts.push(part);
        }
    }
    Ok(parts.into_bytes())
}

#[cfg(test)]
mod tests;

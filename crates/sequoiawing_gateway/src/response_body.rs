//! Reads the bodies of upstreams' responses, which may not end.

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Bytes;
use sequoiawing_http::{BodyError, ClientBody};
use sequoiawing_runtime::{spawn, timeout};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use thiserror::Error;

/// The maximum size of a buffered body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The size up to which a body is buffered in any case, in bytes.
const SMALL_BODY_BYTES: usize = 256 * 1024;

/// The size of all bodies together beyond their first [`SMALL_BODY_BYTES`], in bytes:
/// a part of the memory of a small machine.
const MAX_LARGE_BYTES: usize = 32 * 1024 * 1024;

/// The maximum size of the rest of a body that is read only so that its connection
/// can be reused, in bytes.
const MAX_DRAINED_BYTES: usize = 64 * 1024;

/// How long the rest of such a body may take to arrive.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// It is larger than is accepted.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no room for it beside other large bodies.
    #[error("there is no room for more than {0} bytes of the body")]
    NoRoom(usize),
    /// The connection failed.
    #[error("{0}")]
    Broken(BodyError),
}

/// Buffers the bodies of responses, so that all of them together stay within a bound.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffers {
    /// The bytes of all bodies beyond their first [`SMALL_BODY_BYTES`].
    large_bytes: AtomicUsize,
}

/// The room that one body takes, given back on drop.
struct Room<'a> {
    buffers: &'a BodyBuffers,
    bytes: usize,
}

impl Room<'_> {
    /// Takes room for a body of `size` bytes; returns whether there is some.
    fn grow(&mut self, size: usize) -> bool {
        let needed = size.saturating_sub(SMALL_BODY_BYTES + self.bytes);
        let total = &self.buffers.large_bytes;
        if total.fetch_add(needed, Ordering::Relaxed) + needed > MAX_LARGE_BYTES {
            total.fetch_sub(needed, Ordering::Relaxed);
            return false;
        }
        self.bytes += needed;
        true
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        let total = &self.buffers.large_bytes;
        total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl BodyBuffers {
    /// Reads a body to its end. The connection is closed if that is not possible.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or breaks off.
    pub(crate) async fn read(&self, mut body: ClientBody) -> Result<Bytes, ReadError> {
        let mut room = Room {
            buffers: self,
            bytes: 0,
        };
        let mut parts: Vec<Bytes> = Vec::new();
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            size += part.len();
            if size > MAX_BODY_BYTES {
                return Err(ReadError::TooLarge(MAX_BODY_BYTES));
            }
            if !room.grow(size) {
                return Err(ReadError::NoRoom(size));
            }
            parts.push(part);
        }
        Ok(match parts.len() {
            1 => parts.swap_remove(0),
            _ => Bytes::from(parts.concat()),
        })
    }
}

/// Reads the rest of a body in the background, so that its connection can be reused.
/// The connection is closed if that takes too long.
pub(crate) fn drain(body: ClientBody) {
    let rest = Limited::new(body, MAX_DRAINED_BYTES).collect();
    spawn(async {
        match timeout(DRAIN_TIMEOUT, rest).await {
            Some(Ok(_)) => {}
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                log::info!(
                    target: "gateway", bytes = MAX_DRAINED_BYTES;
                    "Closing the connection of a refusal whose body is too long."
                );
            }
            Some(Err(error)) => {
                log::debug!(target: "gateway", "Failed to read the rest of a refusal from an upstream: {error}.");
            }
            None => {
                log::info!(target: "gateway", "Closing the connection of a refusal whose body does not end.");
            }
        }
    })
    .detach();
}

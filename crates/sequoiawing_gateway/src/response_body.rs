//! Reads the bodies of upstreams' responses, which may not end.

use crate::GatewaySettings;
use http_body_util::{BodyExt, LengthLimitError};
use hyper::body::Bytes;
use sequoiawing_http::{BodyBudget, BodyError, BodyParts, ClientBody, KeptRoom, read_to_end};
use sequoiawing_runtime::{spawn, timeout};
use std::time::Duration;
use thiserror::Error;

/// The maximum size of a buffered body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The size up to which a body is buffered in any case, in bytes.
const SMALL_BODY_BYTES: usize = 256 * 1024;

/// The size up to which an event of a stream is held back in any case, in bytes.
const SMALL_EVENT_BYTES: usize = 64 * 1024;

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

/// Buffers the bodies of responses, so that they and those of requests together stay within
/// a bound.
#[derive(Debug)]
pub(crate) struct BodyBuffers {
    /// The bytes of all bodies that this host holds.
    pub(crate) budget: BodyBudget,
}

impl BodyBuffers {
    /// Creates buffers within the bounds of the settings.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            budget: BodyBudget::new(settings.body_limits()),
        }
    }

    /// Reads a body to its end. The connection is closed if that is not possible.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or breaks off.
    pub(crate) async fn read(&self, mut body: ClientBody) -> Result<Bytes, ReadError> {
        let room = self.budget.begin_kept();
        let mut parts = BodyParts::default();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            let size = parts.len() + part.len();
            if size > MAX_BODY_BYTES {
                return Err(ReadError::TooLarge(MAX_BODY_BYTES));
            }
            if !room.grow(part.len(), size <= SMALL_BODY_BYTES) {
                return Err(ReadError::NoRoom(size));
            }
            parts.push(part);
        }
        Ok(room.hold(parts.into_bytes()))
    }
}

/// The room of what a stream holds back of its next event.
#[derive(Debug)]
pub(crate) struct EventRoom {
    budget: BodyBudget,
    /// The room of a large event, with its bytes.
    taken: Option<(KeptRoom, usize)>,
}

impl EventRoom {
    pub(crate) fn new(budget: BodyBudget) -> Self {
        Self {
            budget,
            taken: None,
        }
    }

    /// Gives back the room that was taken.
    pub(crate) fn release(&mut self) {
        self.taken = None;
    }

    /// Takes room for an incomplete event of so many bytes, in place of that taken before.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none beside other large bodies.
    pub(crate) fn fit(&mut self, bytes: usize) -> Result<(), String> {
        if bytes <= SMALL_EVENT_BYTES {
            self.release();
            return Ok(());
        }
        let (room, held) = self
            .taken
            .get_or_insert_with(|| (self.budget.begin_kept(), 0));
        let missing = bytes.saturating_sub(*held);
        if missing > 0 && !room.grow(missing, false) {
            return Err(ReadError::NoRoom(bytes).to_string());
        }
        *held += missing;
        Ok(())
    }
}

/// Reads the rest of a body in the background, so that its connection can be reused.
/// The connection is closed if that takes too long.
pub(crate) fn drain(body: ClientBody) {
    let rest = read_to_end(body, MAX_DRAINED_BYTES);
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

#[cfg(test)]
mod tests;

use sequoiawing_consensus::{Envelope, MemberChange, Refusal, Snapshot, StorageError};
use sequoiawing_link::ControlError;
use sequoiawing_tables::{Outcome, Tables};
use std::{net::SocketAddr, sync::Arc};

/// Sends the reply to one request. A reply to a caller that has gone is dropped.
#[derive(Debug)]
pub(crate) struct ReplySender<T>(async_channel::Sender<T>);

impl<T> ReplySender<T> {
    /// Creates a channel for one reply.
    pub(crate) fn channel() -> (Self, async_channel::Receiver<T>) {
        let (sender, receiver) = async_channel::bounded(1);
        (Self(sender), receiver)
    }

    pub(crate) fn send(self, value: T) {
        self.0.try_send(value).ok();
    }
}

/// A request to the core.
#[derive(Debug)]
pub(crate) enum Request {
    Propose {
        command: Arc<str>,
        reply: ReplySender<Result<Outcome, ControlError>>,
    },
    Read {
        reply: ReplySender<Result<Tables, ControlError>>,
    },
    ChangeMembers {
        change: MemberChange,
        reply: ReplySender<Result<(), ControlError>>,
    },
    Deliver(Vec<Envelope>),
    /// Replied to once leadership is handed over, or at the only voter once no
    /// request is pending.
    Shutdown {
        reply: ReplySender<()>,
    },
}

/// An event from the storage thread.
#[derive(Debug)]
pub(crate) enum StorageEvent {
    /// All writes up to this sequence number are durable.
    Persisted(u64),
    /// A snapshot of the state machine was encoded.
    Encoded { index: u64, data: Arc<str> },
    /// The storage failed. Nothing is written until it is reloaded.
    Failed(StorageError),
    /// The storage was reloaded after a failure.
    Loaded(Result<sequoiawing_consensus::Loaded, StorageError>),
}

/// A request that waits for the log.
#[derive(Debug)]
pub(crate) enum PendingRequest {
    Propose(ReplySender<Result<Outcome, ControlError>>),
    Read(ReplySender<Result<Tables, ControlError>>),
    ChangeMembers(ReplySender<Result<(), ControlError>>),
}

/// The retry delay given to callers when too many commands are queued, in
/// milliseconds.
const BUSY_RETRY_MS: u64 = 200;

impl PendingRequest {
    /// Fails the request with the error that corresponds to `refusal`.
    pub(crate) fn refuse(self, refusal: Refusal, leader: Option<SocketAddr>) {
        let error = match refusal {
            Refusal::NotLeader => ControlError::NotLeader { leader },
            Refusal::Uncertain => ControlError::Uncertain,
            Refusal::Busy => ControlError::Busy(BUSY_RETRY_MS),
            Refusal::Unsuitable => ControlError::Unsuitable,
        };
        self.fail(error);
    }

    /// Replies that the request's entry was applied, with the outcome of its command.
    pub(crate) fn complete(self, outcome: Option<Outcome>) {
        match (self, outcome) {
            (Self::Propose(reply), Some(outcome)) => reply.send(Ok(outcome)),
            (Self::ChangeMembers(reply), _) => reply.send(Ok(())),
            (request, _) => request.fail(ControlError::Uncertain),
        }
    }

    pub(crate) fn fail(self, error: ControlError) {
        match self {
            Self::Propose(reply) => reply.send(Err(error)),
            Self::Read(reply) => reply.send(Err(error)),
            Self::ChangeMembers(reply) => reply.send(Err(error)),
        }
    }
}

/// Decodes the tables of a snapshot.
pub(crate) fn decode(snapshot: &Snapshot) -> Result<Tables, serde_json::Error> {
    if snapshot.data.is_empty() {
        return Ok(Tables::default());
    }
    serde_json::from_str(&snapshot.data)
}

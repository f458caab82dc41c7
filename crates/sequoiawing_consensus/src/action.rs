use crate::{Entry, HardState, MemberChange, Message, ReplicaId, Snapshot};
use sequoiawing_types::Name;
use std::sync::Arc;

/// Identifies a pending request, so that the driver can find its caller.
pub type Token = u64;

/// A command to commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Identifies the request.
    pub token: Token,
    /// The command.
    pub command: Arc<str>,
}

/// An input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message was received.
    Receive {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Callers propose commands to commit.
    Propose(Vec<Proposal>),
    /// A caller requests a linearizable read of the state.
    Read(Token),
    /// All writes up to and including this sequence number are durable.
    Persisted(u64),
    /// The state machine produced a snapshot as of the applied index.
    SnapshotTaken {
        /// The last entry that the snapshot contains.
        index: u64,
        /// The serialized state.
        data: Arc<str>,
    },
    /// An operator requests a membership change.
    ChangeMembers {
        /// Identifies the request.
        token: Token,
        /// The requested change.
        change: MemberChange,
    },
    /// The process is about to shut down; the replica hands over leadership.
    Shutdown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// This replica is not the leader; nothing was proposed.
    NotLeader,
    /// This replica lost leadership; the proposal may still be committed.
    Uncertain,
    /// Too many proposals are pending; nothing was proposed.
    Busy,
    /// The membership change is invalid for the current members or is not safe
    /// at present.
    Unsuitable,
}

/// State to make durable before any message that depends on it is sent.
///
/// The fields take effect in the order of their declaration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Write {
    /// The new snapshot, if it changes.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether all existing entries are discarded first.
    pub reset: bool,
    /// The new term and vote, if they change.
    pub hard_state: Option<HardState>,
    /// The new bootstrap replica that the empty disk is promised to, if it
    /// changes.
    pub promised_to: Option<ReplicaId>,
    /// Entries to append, after discarding existing entries from the first
    /// one's index on.
    pub entries: Vec<Entry>,
    /// The highest commit index known so far.
    pub commit: u64,
}

/// An output of a replica, for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Writes and syncs `write`; the driver answers with [`Event::Persisted`].
    Persist {
        /// The sequence number of the write, starting at 1.
        seq: u64,
        /// The state to write.
        write: Write,
    },
    /// Sends a message once all writes up to `after` are durable.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
        /// The sequence number of the last write that must be durable; 0 if none.
        after: u64,
    },
    /// Sends a message to a host whose replica identity is not known yet.
    SendToHost {
        /// The host, as named in the settings.
        host: Name,
        /// The message.
        message: Message,
    },
    /// Applies a committed entry and answers its caller, if any.
    Apply {
        /// The entry.
        entry: Entry,
        /// The request that proposed the entry at this replica, if any.
        token: Option<Token>,
    },
    /// Replaces the state with that of a snapshot.
    Restore(Arc<Snapshot>),
    /// Requests a snapshot of the current state.
    TakeSnapshot,
    /// Completes a read: the applied state contains everything that was
    /// committed when the read was requested.
    ReadReady(Token),
    /// Refuses a request.
    Refuse {
        /// Identifies the request.
        token: Token,
        /// The reason.
        refusal: Refusal,
    },
}

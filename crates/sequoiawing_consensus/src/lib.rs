//! A Raft-style replicated log and its durable storage.
//!
//! [`Replica`] is a deterministic state machine without I/O or a clock; its
//! randomness is seeded. A driver passes it the time and each [`Event`], and
//! executes the [`Action`]s that it returns. [`DiskStorage`] stores the state
//! that must survive a crash. The design and its alternatives are described in
//! [docs/design/consensus.md](../../../docs/design/consensus.md) and
//! [docs/design/storage.md](../../../docs/design/storage.md).

mod action;
mod entry;
mod identity;
mod log;
mod membership;
mod message;
mod replica;
mod settings;
mod snapshot;
mod storage;

pub use action::{Action, Event, Proposal, Refusal, Token, Write};
pub use entry::{Entry, HardState, Payload, Position};
pub use identity::{DeploymentId, ReplicaId};
pub use membership::{Member, MemberChange, Membership};
pub use message::{BootstrapAnswer, Envelope, Message, SnapshotChunk};
pub use replica::{Replica, RoleName};
pub use settings::{ReplicaSettings, Timing};
pub use snapshot::Snapshot;
pub use storage::{
    DiskStorage, Folder, FolderFile, Loaded, LogStorage, StorageError, StorageLimits,
};

/// The types that most drivers of a replica import.
pub mod prelude {
    pub use crate::{Action, Event, LogStorage, Membership, Message, Replica, ReplicaId};
}

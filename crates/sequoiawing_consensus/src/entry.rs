use crate::{Membership, ReplicaId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A position in the log: the index and the term of an entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct Position {
    /// The index of the entry, starting at 1.
    pub index: u64,
    /// The term of the leader that created the entry.
    pub term: u64,
}

impl Position {
    /// Returns `true` if a log that ends at this position is at least as
    /// up-to-date as a log that ends at `other`.
    ///
    /// Such a log holds every entry that the other log may have committed.
    pub fn is_up_to_date(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// The payload of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// No payload; a new leader commits such an entry to find out which earlier
    /// entries are committed.
    Empty,
    /// A command for the replicated state machine.
    Command(Arc<str>),
    /// The members that are in effect from this entry on.
    Members(Arc<Membership>),
}

impl Payload {
    /// Returns the approximate encoded size, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Empty => 0,
            Self::Command(text) => text.len(),
            Self::Members(members) => members.members.len() * size_of::<crate::Member>(),
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Entry {
    /// The index of the entry.
    pub index: u64,
    /// The term of the leader that created it.
    pub term: u64,
    /// The payload.
    pub payload: Payload,
}

impl Entry {
    /// Returns the position of the entry.
    pub fn position(&self) -> Position {
        Position {
            index: self.index,
            term: self.term,
        }
    }
}

/// The term and vote, which are durable before any message that depends on them
/// is sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The replica that received this replica's vote in that term, if any.
    pub vote: Option<ReplicaId>,
}

use crate::Snapshot;
use sequoiawing_types::Time;
use std::sync::Arc;

/// How entries are replicated to a follower.
#[derive(Debug)]
pub(super) enum ProgressState {
    /// Sends one message at a time until the matching position is known.
    Probe { waiting: bool },
    /// Sends messages without waiting for replies.
    Replicate,
    /// Sends a snapshot, because the follower needs entries that the leader no
    /// longer holds.
    Install {
        snapshot: Arc<Snapshot>,
        offset: usize,
        waiting: bool,
    },
}

/// The replication progress of a follower, as known to the leader.
#[derive(Debug)]
pub(super) struct Progress {
    /// The highest index known to be durable on the follower.
    pub(super) matched: u64,
    /// The next entry to send.
    pub(super) next: u64,
    pub(super) state: ProgressState,
    /// The latest round that the follower answered.
    pub(super) round: u64,
    /// When the latest answered round was sent.
    pub(super) acked: Option<Time>,
}

impl Progress {
    pub(super) fn new(next: u64) -> Self {
        Self {
            matched: 0,
            next,
            state: ProgressState::Probe { waiting: false },
            round: 0,
            acked: None,
        }
    }
}

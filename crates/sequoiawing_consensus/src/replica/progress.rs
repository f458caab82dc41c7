use crate::Snapshot;
use sequoiawing_types::Time;
use std::sync::Arc;

/// How entries are replicated to a follower.
#[derive(Debug)]
pub(super) enum ProgressState {
    /// Sends one message without entries at a time until the matching position is
    /// known. Entries would be sent again with each heartbeat.
    Probe { waiting: bool },
    /// Sends messages without waiting for replies.
    Replicate,
    /// Sends a snapshot, because the follower needs entries that the leader no
    /// longer holds or that are larger than the snapshot. One chunk at a time is
    /// sent; heartbeats in between carry no data.
    Install {
        snapshot: Arc<Snapshot>,
        /// The number of bytes that the follower has.
        offset: usize,
        /// The round in which the chunk at `offset` was sent, if it was.
        sent: Option<u64>,
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

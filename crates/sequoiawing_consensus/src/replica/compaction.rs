//! Decides when the log is replaced by a snapshot, and what is sent to a follower
//! that lags: entries, or the snapshot.

use super::Replica;

/// Divides the limits of `ReplicaSettings` to get what is kept in memory before a
/// snapshot, so that followers that lag slightly need no snapshot.
const TAIL_DIVISOR: u64 = 4;

/// A snapshot is due when the log is as many times as large as the last snapshot, so
/// that a large state is not written for each small share of it.
const SNAPSHOT_FACTOR: u64 = 2;

/// The maximum size of the entries that are sent to a follower ahead of its replies,
/// in bytes. What waits for a host that is down is held in memory.
pub(super) const MAX_INFLIGHT_BYTES: u64 = 2 * 1024 * 1024;

/// The maximum size of the proposals that are not committed, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;

impl Replica {
    /// Returns `true` if the entries applied since the last snapshot exceed one of
    /// the limits.
    pub(super) fn is_snapshot_due(&self) -> bool {
        let base = self.snapshot.position.index;
        let limit = SNAPSHOT_FACTOR * self.snapshot.data.len() as u64;
        let limit = limit.max(self.settings.snapshot_bytes);
        self.applied - base >= self.settings.snapshot_entries
            || self.log.bytes_between(base, self.applied) >= limit
    }

    /// Removes the entries that the snapshot contains from memory, except a short
    /// tail.
    pub(super) fn compact_log(&mut self) {
        let index = self.snapshot.position.index;
        let entries = self.settings.snapshot_entries / TAIL_DIVISOR;
        let bytes = self.settings.snapshot_bytes / TAIL_DIVISOR;
        let start = self.log.tail_start(index, bytes);
        self.log.compact(start.max(index.saturating_sub(entries)));
    }

    /// Returns `true` if a follower that has the log up to `matched` needs the
    /// snapshot: the following entries are gone, or are larger than the snapshot.
    pub(super) fn needs_snapshot(&self, matched: u64) -> bool {
        let base = self.snapshot.position.index;
        if self.log.term_at(matched).is_none() {
            return true;
        }
        let missing = self.log.bytes_between(matched, base);
        matched < base && missing > self.snapshot.data.len() as u64
    }

    /// Returns `true` if too many bytes are proposed and not committed.
    pub(super) fn is_overloaded(&self) -> bool {
        let last = self.log.last().index;
        self.log.bytes_between(self.commit, last) >= MAX_UNCOMMITTED_BYTES
    }
}

use super::QuarantinedCause;
use sequoiawing_types::{CrashCause, Time};
use std::{collections::BTreeMap, time::Duration};

/// The number of causes in the table, so that a flood of them has a bounded
/// cost in every report.
pub(super) const MAX_QUARANTINED: usize = 256;

/// The quarantined causes that a host knows.
#[derive(Clone, Debug, Default)]
pub(super) struct QuarantineTable {
    causes: BTreeMap<CrashCause, QuarantinedCause>,
}

impl QuarantineTable {
    pub(super) fn get(&self, cause: CrashCause) -> Option<&QuarantinedCause> {
        self.causes.get(&cause)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QuarantinedCause> {
        self.causes.values()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Merges what another host told and returns whether anything changed.
    ///
    /// Unknown causes are added only while their quarantine lasts. Otherwise
    /// hosts would teach each other expired entries again and again.
    pub(super) fn merge(&mut self, now: Time, other: QuarantinedCause) -> bool {
        let is_newer = match self.causes.get(&other.cause) {
            None => other.is_live(now),
            Some(known) if known.term == other.term => other.released && !known.released,
            Some(known) => known.term < other.term && (other.released || other.is_live(now)),
        };
        is_newer && self.insert(now, other)
    }

    /// Adds or replaces an entry and returns whether there was room.
    ///
    /// In a full table it takes the place of a released entry, or of the one
    /// that has been on probation longest. No quarantine gives way to another.
    pub(super) fn insert(&mut self, now: Time, entry: QuarantinedCause) -> bool {
        if self.causes.len() >= MAX_QUARANTINED && !self.causes.contains_key(&entry.cause) {
            let idle = self.causes.values().filter(|e| !e.is_live(now));
            let weakest = idle.min_by_key(|e| (!e.released, e.until, e.cause));
            let Some(cause) = weakest.map(|e| e.cause) else {
                return false;
            };
            self.causes.remove(&cause);
        }
        self.causes.insert(entry.cause, entry);
        true
    }

    /// Marks a cause as sound.
    pub(super) fn release(&mut self, cause: CrashCause) {
        if let Some(entry) = self.causes.get_mut(&cause) {
            entry.released = true;
        }
    }

    /// Removes entries whose probation has ended and returns whether there were
    /// any.
    pub(super) fn expire(&mut self, now: Time, probation: Duration) -> bool {
        let before = self.causes.len();
        self.causes.retain(|_, entry| now < entry.until + probation);
        self.causes.len() < before
    }
}

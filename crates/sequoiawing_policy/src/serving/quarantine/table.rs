use super::QuarantinedPart;
use sequoiawing_types::Time;
use std::{collections::BTreeMap, time::Duration};

/// The number of parts in the table, so that a flood of them has a bounded
/// cost in every report.
pub(super) const MAX_QUARANTINED: usize = 256;

/// The quarantined prompt parts that a host knows.
#[derive(Clone, Debug, Default)]
pub(super) struct QuarantineTable {
    parts: BTreeMap<u64, QuarantinedPart>,
}

impl QuarantineTable {
    pub(super) fn get(&self, part: u64) -> Option<&QuarantinedPart> {
        self.parts.get(&part)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QuarantinedPart> {
        self.parts.values()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Merges what another host told and returns whether anything changed.
    ///
    /// Unknown parts are added only while their quarantine lasts. Otherwise
    /// hosts would teach each other expired entries again and again.
    pub(super) fn merge(&mut self, now: Time, other: QuarantinedPart) -> bool {
        let is_newer = match self.parts.get(&other.part) {
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
    pub(super) fn insert(&mut self, now: Time, entry: QuarantinedPart) -> bool {
        if self.parts.len() >= MAX_QUARANTINED && !self.parts.contains_key(&entry.part) {
            let idle = self.parts.values().filter(|e| !e.is_live(now));
            let weakest = idle.min_by_key(|e| (!e.released, e.until, e.part));
            let Some(part) = weakest.map(|e| e.part) else {
                return false;
            };
            self.parts.remove(&part);
        }
        self.parts.insert(entry.part, entry);
        true
    }

    /// Marks a part as sound.
    pub(super) fn release(&mut self, part: u64) {
        if let Some(entry) = self.parts.get_mut(&part) {
            entry.released = true;
        }
    }

    /// Removes entries whose probation has ended and returns whether there were
    /// any.
    pub(super) fn expire(&mut self, now: Time, probation: Duration) -> bool {
        let before = self.parts.len();
        self.parts.retain(|_, entry| now < entry.until + probation);
        self.parts.len() < before
    }
}

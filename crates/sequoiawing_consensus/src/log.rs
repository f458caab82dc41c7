use crate::{Entry, Position};
use std::collections::VecDeque;

/// The log entries held in memory.
///
/// These are all entries after the snapshot, and some before it so that
/// followers that lag slightly need no snapshot.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The position of the entry before the first one held.
    prev: Position,
    entries: VecDeque<Entry>,
    /// For each entry, the total size of the payloads up to and including it, in
    /// bytes, counted from when the log was loaded.
    ends: VecDeque<u64>,
    /// The same total for the entry before the first one held.
    start: u64,
}

impl Log {
    pub(crate) fn new(prev: Position, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            prev,
            ..Self::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn first(&self) -> u64 {
        self.prev.index + 1
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.prev, Entry::position)
    }

    /// Returns the term of the entry at `index`, if it is held.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.prev.index {
            return Some(self.prev.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(
            entry.index,
            self.last().index + 1,
            "log entries must be contiguous"
        );
        let end = self.end() + entry.payload.size() as u64;
        self.ends.push_back(end);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.first());
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        self.entries.truncate(kept);
        self.ends.truncate(kept);
    }

    /// Removes the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        while let Some(entry) = self.entries.front().filter(|e| e.index <= index) {
            self.prev = entry.position();
            self.entries.pop_front();
            self.start = self.ends.pop_front().unwrap_or(self.start);
        }
    }

    /// Returns the total size of all payloads so far.
    fn end(&self) -> u64 {
        self.ends.back().copied().unwrap_or(self.start)
    }

    /// Returns the total size of the payloads up to and including `index`.
    fn end_at(&self, index: u64) -> u64 {
        let Some(offset) = index.checked_sub(self.first()) else {
            return self.start;
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.ends.get(offset).copied().unwrap_or_else(|| self.end())
    }

    /// Returns the size of the payloads held after `after` up to and including
    /// `last`, in bytes.
    pub(crate) fn bytes_between(&self, after: u64, last: u64) -> u64 {
        self.end_at(last).saturating_sub(self.end_at(after))
    }

    /// Returns the lowest index after which the payloads up to and including `last`
    /// are at most `bytes`.
    pub(crate) fn tail_start(&self, last: u64, bytes: u64) -> u64 {
        let limit = self.end_at(last).saturating_sub(bytes);
        if self.start >= limit {
            return self.prev.index;
        }
        self.first() + self.ends.partition_point(|end| *end < limit) as u64
    }

    /// Returns the entries from `index` on whose payloads fit into about
    /// `bytes`.
    ///
    /// The first entry is returned even if it is larger.
    pub(crate) fn batch(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut next = index;
        while let Some(entry) = self.get(next) {
            size += entry.payload.size();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            next += 1;
        }
        batch
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}

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
}

impl Log {
    pub(crate) fn new(prev: Position, entries: Vec<Entry>) -> Self {
        let entries = VecDeque::from(entries);
        Self { prev, entries }
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
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.first());
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        while let Some(entry) = self.entries.front().filter(|e| e.index <= index) {
            self.prev = entry.position();
            self.entries.pop_front();
        }
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

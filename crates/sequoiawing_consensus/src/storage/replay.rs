use super::Loaded;
use crate::{Entry, HardState, Position, ReplicaId, Snapshot, Write};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Arc};

/// The form of a [`Write`] in a segment, without the snapshot, which has its own
/// file.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct Record {
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    reset: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ballot")]
    hard_state: Option<HardState>,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "founder")]
    promised_to: Option<ReplicaId>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) entries: Vec<Entry>,
    commit: u64,
}

impl From<&Write> for Record {
    fn from(write: &Write) -> Self {
        Self {
            reset: write.reset,
            hard_state: write.hard_state,
            promised_to: write.promised_to,
            entries: write.entries.clone(),
            commit: write.commit,
        }
    }
}

/// The state after applying the records of all segments.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard_state: HardState,
    pub(super) promised_to: Option<ReplicaId>,
    pub(super) commit: u64,
    entries: VecDeque<Entry>,
}

impl Record {
    /// Returns a record that discards all entries before it.
    pub(super) fn reset() -> Self {
        Self {
            reset: true,
            ..Self::default()
        }
    }
}

impl Replay {
    /// Returns the first record of a new segment.
    ///
    /// It repeats the state other than entries, so that earlier segments can be
    /// deleted.
    pub(super) fn header_record(&self) -> Record {
        Record {
            hard_state: Some(self.hard_state),
            promised_to: self.promised_to,
            commit: self.commit,
            ..Record::default()
        }
    }

    /// Returns `true` if there is no term, vote, promise or entry.
    pub(super) fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.promised_to.is_none()
            && self.entries.is_empty()
    }

    /// Applies the next record.
    ///
    /// # Errors
    ///
    /// Returns a description if an entry does not directly follow its predecessor.
    pub(super) fn apply(&mut self, record: Record) -> Result<(), String> {
        if record.reset {
            self.entries.clear();
        }
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        self.promised_to = record.promised_to.or(self.promised_to);
        self.commit = self.commit.max(record.commit);
        for entry in record.entries {
            self.push(entry)?;
        }
        Ok(())
    }

    fn push(&mut self, entry: Entry) -> Result<(), String> {
        while self.entries.back().is_some_and(|e| e.index >= entry.index) {
            self.entries.pop_back();
        }
        if let Some(last) = self.entries.back()
            && last.index + 1 != entry.index
        {
            let (index, last) = (entry.index, last.index);
            return Err(format!("entry {index} follows entry {last}"));
        }
        self.entries.push_back(entry);
        Ok(())
    }

    /// Removes the entries up to and including `index`, which a snapshot contains.
    pub(super) fn compact(&mut self, index: u64) {
        while self.entries.front().is_some_and(|e| e.index <= index) {
            self.entries.pop_front();
        }
    }

    /// Removes all entries if they do not continue a snapshot, because a crash
    /// interrupted its installation. Returns whether they were removed.
    ///
    /// # Errors
    ///
    /// Returns a description if entries after the snapshot are missing.
    pub(super) fn discard_foreign(&mut self, base: Position) -> Result<bool, String> {
        let at_base = self.entries.iter().find(|e| e.index == base.index);
        let first = self.entries.front().map_or(base.index + 1, |e| e.index);
        let continues = match at_base {
            Some(entry) => entry.term == base.term,
            None => first == base.index + 1,
        };
        if first > base.index + 1 {
            return Err(format!(
                "entries {} to {} are missing",
                base.index + 1,
                first - 1
            ));
        }
        if !continues {
            self.entries.clear();
        }
        Ok(!continues)
    }

    /// Returns the state that a replica starts from.
    pub(super) fn finish(&self, snapshot: Option<Arc<Snapshot>>) -> Loaded {
        let base = snapshot.as_ref().map(|s| s.position).unwrap_or_default();
        let after = self.entries.iter().filter(|e| e.index > base.index);
        let entries: Vec<_> = after.cloned().collect();
        let last = base.index + entries.len() as u64;
        let mut hard_state = self.hard_state;
        if base.term > hard_state.term {
            // After a crash, the snapshot may be durable while the record with its
            // term is not.
            hard_state = HardState {
                term: base.term,
                vote: None,
            };
        }
        Loaded {
            hard_state,
            promised_to: self.promised_to,
            commit: self.commit.clamp(base.index, last),
            snapshot,
            entries,
        }
    }
}

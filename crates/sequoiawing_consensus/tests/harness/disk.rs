use sequoiawing_consensus::{Loaded, ReplicaId, Write};
use std::collections::VecDeque;

/// A simulated disk that loses unsynced writes in a crash.
pub(crate) struct Disk {
    pub(crate) id: ReplicaId,
    pub(crate) loaded: Loaded,
    pub(crate) unsynced: VecDeque<(u64, Write)>,
}

impl Disk {
    pub(crate) fn new(id: ReplicaId) -> Self {
        Self {
            id,
            loaded: Loaded::default(),
            unsynced: VecDeque::new(),
        }
    }

    /// Makes the writes up to `seq` durable.
    pub(crate) fn sync(&mut self, seq: u64) {
        while let Some((_, write)) = self.unsynced.pop_front_if(|(s, _)| *s <= seq) {
            self.apply(write);
        }
    }

    /// Discards the unsynced writes except the first `kept` ones.
    pub(crate) fn crash(&mut self, kept: u64) {
        for _ in 0..kept {
            if let Some((_, write)) = self.unsynced.pop_front() {
                self.apply(write);
            }
        }
        self.unsynced.clear();
    }

    fn apply(&mut self, write: Write) {
        let loaded = &mut self.loaded;
        if write.reset {
            loaded.entries.clear();
        }
        if let Some(snapshot) = write.snapshot {
            let index = snapshot.position.index;
            loaded.entries.retain(|e| e.index > index);
            loaded.snapshot = Some(snapshot);
        }
        loaded.hard_state = write.hard_state.unwrap_or(loaded.hard_state);
        loaded.promised_to = write.promised_to.or(loaded.promised_to);
        for entry in write.entries {
            loaded.entries.retain(|e| e.index < entry.index);
            loaded.entries.push(entry);
        }
        let base = loaded.snapshot.as_ref().map_or(0, |s| s.position.index);
        let last = base + loaded.entries.len() as u64;
        loaded.commit = write.commit.clamp(base, last);
    }
}

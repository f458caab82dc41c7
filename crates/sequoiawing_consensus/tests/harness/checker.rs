use sequoiawing_consensus::{Entry, Payload, Replica, ReplicaId, RoleName, Snapshot, Token, Write};
use sequoiawing_types::Name;
use std::{
    collections::{BTreeMap, HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

/// Checks the safety properties of the log during a simulation.
#[derive(Default)]
pub(crate) struct Checker {
    /// The leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// All entries that were written, by index and term.
    written: HashMap<(u64, u64), Entry>,
    /// The term of the entry before each written entry, by index and term.
    previous_terms: HashMap<(u64, u64), u64>,
    /// The entry applied at each index, and the hash of the resulting state.
    applied: BTreeMap<u64, (Entry, u64)>,
    /// The highest index applied on any host when each read was requested.
    reads: HashMap<Token, u64>,
    /// The last observed term and commit index of each running process.
    progress: BTreeMap<Name, (u64, u64)>,
    /// The hosts that hold a lease in the current step.
    lease_holders: Vec<Name>,
}

impl Checker {
    /// Returns the highest index applied on any host.
    pub(crate) fn highest_applied(&self) -> u64 {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Returns how many indexes the command was applied at.
    pub(crate) fn count(&self, command: &str) -> usize {
        let payload = |e: &Entry| matches!(&e.payload, Payload::Command(c) if **c == *command);
        self.applied.values().filter(|(e, _)| payload(e)).count()
    }

    pub(crate) fn check_write(&mut self, write: &Write) {
        for (i, entry) in write.entries.iter().enumerate() {
            let key = (entry.index, entry.term);
            let known = self.written.entry(key).or_insert_with(|| entry.clone());
            assert_eq!(
                known, entry,
                "log matching: one entry for an index and term"
            );
            if let Some(before) = i.checked_sub(1).map(|i| write.entries[i].term) {
                let known = *self.previous_terms.entry(key).or_insert(before);
                assert_eq!(known, before, "log matching: same entries before {key:?}");
            }
        }
    }

    pub(crate) fn check_apply(
        &mut self,
        host: &Name,
        state: (u64, u64),
        entry: &Entry,
    ) -> (u64, u64) {
        assert_eq!(
            state.0 + 1,
            entry.index,
            "{host} must apply entries without gaps"
        );
        let mut hasher = DefaultHasher::new();
        (state.1, format!("{:?}", entry.payload)).hash(&mut hasher);
        let after = hasher.finish();
        let known = self.applied.entry(entry.index);
        let (known, hash) = known.or_insert_with(|| (entry.clone(), after));
        assert_eq!(
            known, entry,
            "committed entries are never lost: {host} applied another"
        );
        assert_eq!(
            *hash, after,
            "the applied state must be the same on all hosts"
        );
        (entry.index, after)
    }

    pub(crate) fn check_restore(&self, snapshot: &Snapshot) -> (u64, u64) {
        let index = snapshot.position.index;
        let (entry, hash) = &self.applied[&index];
        assert_eq!(
            entry.term, snapshot.position.term,
            "a snapshot must contain committed entries only"
        );
        assert_eq!(
            *snapshot.data,
            format!("{index} {hash}"),
            "the snapshot must contain the state at its index"
        );
        (index, *hash)
    }

    pub(crate) fn check_election(&mut self, replica: &Replica) {
        let (term, id) = (replica.term(), replica.id());
        let known = *self.leaders.entry(term).or_insert(id);
        assert_eq!(known, id, "one leader in term {term}");
        let base = replica.snapshot().position.index;
        let held: HashMap<u64, u64> = replica.entries().map(|e| (e.index, e.term)).collect();
        for (index, (entry, _)) in self.applied.range(base + 1..) {
            let term = held.get(index).copied();
            assert_eq!(term, Some(entry.term), "leader completeness at {index}");
        }
    }

    pub(crate) fn record_read(&mut self, token: Token) {
        self.reads.insert(token, self.highest_applied());
    }

    pub(crate) fn check_read(&self, token: Token, applied: u64) {
        let asked = self.reads[&token];
        assert!(
            asked <= applied,
            "linearizable reads: {applied} is older than {asked}"
        );
    }

    pub(crate) fn observe(&mut self, host: &Name, replica: &Replica, has_lease: bool) {
        let now = (replica.term(), replica.commit());
        let known = self.progress.insert(host.clone(), now).unwrap_or_default();
        assert!(
            known.0 <= now.0 && known.1 <= now.1,
            "terms and commit indexes must not decrease"
        );
        if replica.role() == RoleName::Leader {
            let known = *self.leaders.entry(now.0).or_insert(replica.id());
            assert_eq!(known, replica.id(), "one leader in term {}", now.0);
        }
        if has_lease {
            self.lease_holders.push(host.clone());
        }
    }

    pub(crate) fn finish_step(&mut self) {
        assert!(
            self.lease_holders.len() <= 1,
            "leases overlap: {:?}",
            self.lease_holders
        );
        self.lease_holders.clear();
    }

    /// Forgets the progress of a process that ended, since its unsynced state may be
    /// lost.
    pub(crate) fn forget(&mut self, host: &Name) {
        self.progress.remove(host);
    }
}

use super::{Cluster, Node};
use sequoiawing_consensus::RoleName;
use sequoiawing_types::Name;

/// A fault injected into the storage or the driver, which the checker must detect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Votes are granted without being synced.
    VoteNotSynced,
    /// A restarted voter votes without waiting for granted leases to expire.
    LeaseNotWaited,
    /// Entries of earlier terms are applied once a majority holds them.
    OlderTermCommitted,
    /// A host that lost its disk rejoins with its previous identity.
    LostDiskVotes,
}

impl Cluster {
    /// Applies entries of earlier terms that a majority holds, if
    /// [`Fault::OlderTermCommitted`] is injected.
    pub(super) fn apply_older_terms(&mut self, host: &Name) {
        if self.fault != Fault::OlderTermCommitted {
            return;
        }
        let replica = self.nodes[host]
            .replica
            .as_ref()
            .expect("the replica is running");
        if replica.role() != RoleName::Leader {
            return;
        }
        let voters: Vec<_> = replica.membership().voters().collect();
        let majority = replica.membership().majority();
        let applied = replica.applied();
        let entries: Vec<_> = replica.entries().cloned().collect();
        let mut state = self.nodes[host].state;
        for entry in entries.iter().filter(|e| e.index > applied) {
            let holds =
                |n: &&Node| voters.contains(&n.disk.id) && n.disk.loaded.entries.contains(entry);
            if self.nodes.values().filter(holds).count() < majority {
                break;
            }
            state = self.checker.check_apply(host, state, entry);
        }
    }
}

use super::{Cluster, Node};
use sequoiawing_consensus::RoleName;
use sequoiawing_types::Name;

/// A fault in the storage or in the driver that the checker must catch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Votes are answered without being synced.
    VoteNotSynced,
    /// A restarted voter votes at once.
    LeaseNotWaited,
    /// Entries of older terms are applied once a majority holds them.
    OlderTermCommitted,
    /// A lost disk comes back under its former identity.
    LostDiskVotes,
}

impl Cluster {
    /// The planted fault of a leader that counts replicas of older entries.
    pub(super) fn commit_older_terms(&mut self, host: &Name) {
        if self.fault != Fault::OlderTermCommitted {
            return;
        }
        let replica = self.nodes[host].replica.as_ref().expect("it runs");
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

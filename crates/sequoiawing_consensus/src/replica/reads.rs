use super::{Replica, Role};
use crate::{Action, Refusal, Token};
use sequoiawing_types::Time;

/// A read that waits until leadership is confirmed and everything that was
/// committed when the read was requested has been applied.
///
/// Leadership is confirmed by a round of messages rather than by the lease, so
/// that reads are linearizable regardless of the clocks; see
/// [docs/design/consensus.md](../../../../docs/design/consensus.md).
pub(super) struct PendingRead {
    pub(super) token: Token,
    /// The round that a majority must answer.
    pub(super) round: u64,
    /// The index that must be applied; `None` until an entry of the current term
    /// is committed.
    pub(super) index: Option<u64>,
}

impl Replica {
    pub(super) fn handle_read(&mut self, now: Time, token: Token, out: &mut Vec<Action>) {
        let index = self.has_committed_in_term().then_some(self.commit);
        let Role::Leader(leader) = &mut self.role else {
            Self::refuse(token, Refusal::NotLeader, out);
            return;
        };
        let round = leader.round + 1;
        leader.reads.push(PendingRead {
            token,
            round,
            index,
        });
        self.broadcast(now, out);
    }

    pub(super) fn answer_reads(&mut self, out: &mut Vec<Action>) {
        let has_committed = self.has_committed_in_term();
        let id = self.id();
        let members = self.members().clone();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if leader.reads.is_empty() {
            return;
        }
        let current = leader.round;
        let progress = &leader.progress;
        let confirmed = members.majority_value(|voter| {
            if voter == id {
                return current;
            }
            progress.get(&voter).map_or(0, |p| p.round)
        });
        let (commit, applied) = (self.commit, self.applied);
        leader.reads.retain_mut(|read| {
            if read.index.is_none() && has_committed {
                read.index = Some(commit);
            }
            let is_ready =
                read.round <= confirmed && read.index.is_some_and(|index| index <= applied);
            if is_ready {
                out.push(Action::ReadReady(read.token));
            }
            !is_ready
        });
    }
}

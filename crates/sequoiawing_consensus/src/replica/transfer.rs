use super::{Replica, Role};
use crate::{Action, Message, ReplicaId};
use sequoiawing_types::Time;

impl Replica {
    /// Transfers leadership if this replica is shutting down and has no pending
    /// requests.
    ///
    /// It steps down before its successor can be elected and does not lead again
    /// in the same term, so it holds no lease when a delayed
    /// [`Message::TimeoutNow`] arrives.
    pub(super) fn try_transfer(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.shutting_down {
            return;
        }
        let Some(to) = self.successor() else {
            return;
        };
        let message = Message::TimeoutNow {
            term: self.hard_state.term,
        };
        self.step_down(now, self.hard_state.term, out);
        let after = 0;
        out.push(Action::Send { to, message, after });
    }

    /// Returns a voter that has the whole log, or `None` if requests are pending.
    fn successor(&self) -> Option<ReplicaId> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if !leader.tokens.is_empty() || !leader.reads.is_empty() {
            return None;
        }
        let last = self.log.last().index;
        let voters = self.members().voters();
        let has_whole_log = |id: &ReplicaId| {
            let progress = leader.progress.get(id);
            progress.is_some_and(|p| p.matched == last)
        };
        let candidates = voters.filter(has_whole_log);
        candidates.max_by_key(|id| leader.progress.get(id).and_then(|p| p.acked))
    }

    pub(super) fn handle_timeout_now(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        out: &mut Vec<Action>,
    ) {
        let is_current = term == self.hard_state.term && self.leader == Some(from);
        if is_current && !self.is_leader() && self.bootstrap.is_none() && !self.shutting_down {
            self.start_election(now, true, out);
        }
    }
}

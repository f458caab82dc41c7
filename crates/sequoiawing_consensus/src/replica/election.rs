use super::{LeaseGrant, Replica, Role};
use crate::{Action, Message, Position, ReplicaId};
use sequoiawing_types::Time;
use std::collections::BTreeSet;

impl Replica {
    pub(super) fn tick_election(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.election_at {
            return;
        }
        self.reset_election(now);
        if now >= self.lease_grant.until && self.can_campaign(now) {
            self.start_pre_vote(now, out);
        }
    }

    fn can_campaign(&self, now: Time) -> bool {
        let is_voter = self.bootstrap.is_none() && self.members().is_voter(self.id());
        is_voter && !self.shutting_down && !self.is_stalled(now)
    }

    /// Schedules the next election after a randomized timeout.
    ///
    /// A replica that is the only voter needs no timeout.
    pub(super) fn reset_election(&mut self, now: Time) {
        let span = self.settings.timing.election_timeout;
        let is_alone = self.members().electors().eq([self.id()]);
        let extra = if is_alone {
            std::time::Duration::ZERO
        } else {
            self.random_span(span)
        };
        let earliest = if is_alone { now } else { now + span };
        self.election_at = earliest.max(self.lease_grant.until) + extra;
    }

    /// Asks the voters whether this replica could win an election.
    ///
    /// This does not disrupt a leader that others are still in contact with.
    fn start_pre_vote(&mut self, now: Time, out: &mut Vec<Action>) {
        self.leader = None;
        let granted = BTreeSet::from([self.id()]);
        self.role = Role::PreCandidate { granted };
        let message = Message::PreVote {
            term: self.hard_state.term + 1,
            last: self.log.last(),
        };
        self.send_to_voters(&message, out);
        self.count_pre_votes(now, out);
    }

    fn send_to_voters(&self, message: &Message, out: &mut Vec<Action>) {
        for to in self.members().electors().filter(|v| *v != self.id()) {
            let message = message.clone();
            let after = 0;
            out.push(Action::Send { to, message, after });
        }
    }

    fn count_pre_votes(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::PreCandidate { granted } = &self.role else {
            return;
        };
        if self.is_majority(granted) {
            self.start_election(now, false, out);
        }
    }

    fn is_majority(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        self.members().has_majority(|id| granted.contains(&id))
    }

    /// Starts an election in a new term with a vote for itself.
    pub(super) fn start_election(&mut self, now: Time, transfer: bool, out: &mut Vec<Action>) {
        self.step_down(now, self.hard_state.term + 1, out);
        self.hard_state.vote = Some(self.id());
        self.write_hard_state();
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            self_vote: Some(self.seq + 1),
        };
        let message = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        };
        let id = self.id();
        let members = self.members().clone();
        for to in members.electors().filter(|v| *v != id) {
            self.send_after_write(to, message.clone());
        }
    }

    /// Counts the vote for itself once it is durable.
    pub(super) fn count_self_vote(&mut self, now: Time, seq: u64, out: &mut Vec<Action>) {
        let id = self.id();
        if let Role::Candidate { granted, self_vote } = &mut self.role
            && self_vote.is_some_and(|self_vote| self_vote <= seq)
        {
            *self_vote = None;
            granted.insert(id);
            self.count_votes(now, out);
        }
    }

    fn count_votes(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Candidate { granted, .. } = &self.role else {
            return;
        };
        if self.is_majority(granted) {
            self.become_leader(now, out);
        }
    }

    /// Returns `true` if a vote could let two leaders hold a lease at the same
    /// time.
    fn must_withhold_vote(&self, now: Time) -> bool {
        if self.is_leader() {
            return self.holds_lease(now);
        }
        now < self.lease_grant.until
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        last: Position,
        out: &mut Vec<Action>,
    ) {
        if self.bootstrap.is_some() {
            return;
        }
        let current = self.log.last();
        let granted = term > self.hard_state.term
            && last.is_up_to_date(current)
            && !self.must_withhold_vote(now);
        let term = if granted { term } else { self.hard_state.term };
        let message = Message::PreVoteReply { term, granted };
        out.push(Action::Send {
            to: from,
            message,
            after: 0,
        });
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if !granted {
            if term > self.hard_state.term && !self.must_withhold_vote(now) {
                self.step_down(now, term, out);
            }
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role
            && term == self.hard_state.term + 1
        {
            granted.insert(from);
            self.count_pre_votes(now, out);
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        last: Position,
        transfer: bool,
        out: &mut Vec<Action>,
    ) {
        if self.bootstrap.is_some() {
            return;
        }
        // The leader of the previous term released its lease, and the leases of
        // earlier leaders had expired when it was elected.
        let is_released = transfer && self.lease_grant.term < term && !self.is_leader();
        if self.must_withhold_vote(now) && !is_released {
            return;
        }
        if term > self.hard_state.term {
            self.step_down(now, term, out);
        }
        let is_free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted =
            term == self.hard_state.term && is_free && last.is_up_to_date(self.log.last());
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.write_hard_state();
            self.reset_election(now);
        }
        let term = self.hard_state.term;
        self.send_after_write(from, Message::VoteReply { term, granted });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if term > self.hard_state.term {
            self.step_down(now, term, out);
            return;
        }
        if let Role::Candidate { granted: votes, .. } = &mut self.role
            && granted
            && term == self.hard_state.term
        {
            votes.insert(from);
            self.count_votes(now, out);
        }
    }

    /// Handles the term of a message from a leader.
    ///
    /// Returns `true` if the sender is the current leader, and `false` if its term
    /// is outdated.
    pub(super) fn accept_leader(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        round: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard_state.term {
            let message = Message::AppendReply {
                term: self.hard_state.term,
                round,
                matched: None,
                hint: self.log.last().index,
            };
            self.send_after_write(from, message);
            return false;
        }
        if term > self.hard_state.term || !matches!(self.role, Role::Follower) {
            self.step_down(now, term, out);
        }
        self.leader = Some(from);
        self.last_contact = Some(now);
        self.lease_grant = LeaseGrant {
            term,
            until: now + self.settings.timing.election_timeout,
        };
        self.reset_election(now);
        true
    }

    /// Becomes a follower in `term` and refuses all pending requests.
    pub(super) fn step_down(&mut self, now: Time, term: u64, out: &mut Vec<Action>) {
        self.refuse_pending(out);
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write_hard_state();
        }
        self.role = Role::Follower;
        self.leader = None;
        self.incoming = None;
        self.reset_election(now);
    }
}

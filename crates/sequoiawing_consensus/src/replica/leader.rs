use super::{
    Replica, Role,
    progress::{Progress, ProgressState},
    reads::PendingRead,
    send,
};
use crate::{
    Action, Entry, Membership, Payload, Position, Proposal, Refusal, ReplicaId, Timing, Token,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

/// The maximum number of proposals that may wait to be committed.
const MAX_PENDING_PROPOSALS: usize = 8_192;

/// The state that only a leader has.
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// The index of the first entry of the term.
    pub(super) term_start: u64,
    /// The pending requests, by the index of the entry that they wait for.
    pub(super) tokens: BTreeMap<u64, Token>,
    pub(super) reads: Vec<PendingRead>,
    /// The replicas that requested to join.
    pub(super) join_requests: BTreeMap<ReplicaId, (Name, SocketAddr)>,
    /// The replicas of other deployments whose requests were refused and logged.
    pub(super) refused: BTreeSet<ReplicaId>,
    /// The number of the latest round of messages.
    pub(super) round: u64,
    /// When the most recent rounds were sent; the last element belongs to `round`.
    sent: VecDeque<Time>,
    pub(super) elected_at: Time,
    heartbeat_at: Time,
}

impl LeaderState {
    fn new(now: Time, term_start: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            term_start,
            tokens: BTreeMap::new(),
            reads: Vec::new(),
            join_requests: BTreeMap::new(),
            refused: BTreeSet::new(),
            round: 0,
            sent: VecDeque::new(),
            elected_at: now,
            heartbeat_at: now,
        }
    }

    pub(super) fn start_round(&mut self, now: Time, timing: &Timing) -> u64 {
        let is_old = |t: &mut Time| now - *t > timing.election_timeout * 2;
        while self.sent.pop_front_if(is_old).is_some() {}
        self.sent.push_back(now);
        self.round += 1;
        self.round
    }

    /// Returns when a round was sent, or `None` if it is too old.
    fn sent_at(&self, round: u64) -> Option<Time> {
        let back = usize::try_from(self.round.checked_sub(round)?).ok()?;
        let at = self.sent.len().checked_sub(back + 1)?;
        self.sent.get(at).copied()
    }

    /// Returns the latest time at which a majority is known to have followed this
    /// leader.
    pub(super) fn quorum_contact(
        &self,
        now: Time,
        id: ReplicaId,
        members: &Membership,
    ) -> Option<Time> {
        members.majority_value(|voter| {
            if voter == id {
                return Some(now);
            }
            self.progress.get(&voter).and_then(|p| p.acked)
        })
    }

    pub(super) fn lease_until(
        &self,
        now: Time,
        id: ReplicaId,
        members: &Membership,
        timing: &Timing,
    ) -> Option<Time> {
        let start = self.quorum_contact(now, id, members)?;
        Some(start + timing.lease())
    }

    /// Updates the set of followers to match the members.
    pub(super) fn set_members(&mut self, id: ReplicaId, members: &Membership, next: u64) {
        self.progress.retain(|p, _| members.member(*p).is_some());
        for member in members.members.iter().filter(|m| m.id != id) {
            let entry = self.progress.entry(member.id);
            entry.or_insert_with(|| Progress::new(next));
        }
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Time, out: &mut Vec<Action>) {
        let start = self.log.last().index + 1;
        let mut leader = LeaderState::new(now, start);
        leader.set_members(self.id(), self.members(), start);
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id());
        self.append_entry(Payload::Empty);
        self.broadcast(now, out);
    }

    fn append_entry(&mut self, payload: Payload) -> u64 {
        let index = self.log.last().index + 1;
        let term = self.hard_state.term;
        self.push_entry(Entry {
            index,
            term,
            payload,
        });
        index
    }

    pub(super) fn append_members(&mut self, members: Membership) -> u64 {
        let members = Arc::new(members);
        let index = self.append_entry(Payload::Members(members.clone()));
        let id = self.id();
        if let Role::Leader(leader) = &mut self.role {
            leader.set_members(id, &members, index);
        }
        index
    }

    pub(super) fn handle_propose(
        &mut self,
        now: Time,
        proposals: Vec<Proposal>,
        out: &mut Vec<Action>,
    ) {
        for proposal in proposals {
            let refusal = match &self.role {
                Role::Leader(_) if self.shutting_down => Some(Refusal::NotLeader),
                Role::Leader(l) if l.tokens.len() >= MAX_PENDING_PROPOSALS => Some(Refusal::Busy),
                Role::Leader(_) if self.is_overloaded() => Some(Refusal::Busy),
                Role::Leader(_) => None,
                _ => Some(Refusal::NotLeader),
            };
            if let Some(refusal) = refusal {
                Self::refuse(proposal.token, refusal, out);
                continue;
            }
            let index = self.append_entry(Payload::Command(proposal.command));
            self.add_waiter(index, proposal.token);
        }
        if self.is_leader() {
            self.send_entries(now, out);
        }
    }

    pub(super) fn add_waiter(&mut self, index: u64, token: Token) {
        if let Role::Leader(leader) = &mut self.role {
            leader.tokens.insert(index, token);
        }
    }

    /// Removes and returns the request that waits for the entry.
    pub(super) fn take_token(&mut self, position: Position) -> Option<Token> {
        match &mut self.role {
            Role::Leader(leader) if position.term == self.hard_state.term => {
                leader.tokens.remove(&position.index)
            }
            _ => None,
        }
    }

    /// Refuses all pending proposals and reads.
    pub(super) fn refuse_pending(&mut self, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for token in std::mem::take(&mut leader.tokens).into_values() {
            Self::refuse(token, Refusal::Uncertain, out);
        }
        for read in leader.reads.drain(..) {
            Self::refuse(read.token, Refusal::NotLeader, out);
        }
    }

    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Vec<Action>) {
        let timing = self.settings.timing;
        let stalled = self.is_stalled(now);
        let id = self.id();
        let members = self.members().clone();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = leader.quorum_contact(now, id, &members);
        let last_contact = confirmed.unwrap_or_default().max(leader.elected_at);
        if now - last_contact > timing.election_timeout || stalled {
            self.step_down(now, self.hard_state.term, out);
            return;
        }
        if now >= leader.heartbeat_at {
            leader.heartbeat_at = now + timing.heartbeat_interval;
            self.reconcile_members(now, out);
            self.broadcast(now, out);
        }
    }

    pub(super) fn holds_lease(&self, now: Time) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let timing = &self.settings.timing;
        let until = leader.lease_until(now, self.id(), self.members(), timing);
        until.is_some_and(|until| now < until)
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if self.commit >= l.term_start)
    }

    /// Commits the entries that are durable on a majority of the voters.
    ///
    /// Entries of earlier terms are committed only together with an entry of the
    /// current term, because a later leader may still overwrite them even when a
    /// majority holds them.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let id = self.settings.id;
        let matched = |voter| {
            if voter == id {
                return self.durable;
            }
            leader.progress.get(&voter).map_or(0, |p| p.matched)
        };
        let reached = self.members().majority_value(matched);
        if reached > self.commit && reached >= leader.term_start {
            self.commit = reached;
        }
    }

    /// Records that a follower answered a round.
    ///
    /// Returns `true` if the answer is valid for the current term.
    pub(super) fn accept_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        round: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        if term > self.hard_state.term {
            self.step_down(now, term, out);
            return false;
        }
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        if term < self.hard_state.term || round > leader.round {
            return false;
        }
        let sent = leader.sent_at(round);
        let Some(progress) = leader.progress.get_mut(&from) else {
            return false;
        };
        progress.round = progress.round.max(round);
        progress.acked = progress.acked.max(sent);
        true
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        matched: Option<u64>,
        hint: u64,
        out: &mut Vec<Action>,
    ) {
        let last = self.log.last().index;
        let snapshot = self.snapshot.clone();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        match matched {
            Some(matched) => {
                progress.matched = progress.matched.max(matched);
                progress.next = progress.next.max(progress.matched + 1);
                let is_install = matches!(&progress.state,
                    ProgressState::Install { snapshot, .. } if matched < snapshot.position.index);
                if !is_install {
                    progress.state = ProgressState::Replicate;
                }
            }
            None if matches!(progress.state, ProgressState::Install { .. }) => {}
            // A delayed reply: the follower's log has matched further since.
            None if hint < progress.matched => return,
            None if hint == 0 && progress.next == 1 => {
                progress.state = send::install_state(&snapshot);
            }
            None => {
                progress.next = (hint + 1).clamp(progress.matched + 1, last + 1);
                progress.state = ProgressState::Probe { waiting: false };
            }
        }
        if progress.next <= last || matched.is_none() {
            leader.start_round(now, &self.settings.timing);
            self.send_to(from, false, out);
        }
    }

    pub(super) fn handle_install_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        answered: u64,
        (index, received): (u64, usize),
        out: &mut Vec<Action>,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        if let ProgressState::Install {
            snapshot,
            offset,
            sent,
        } = &mut progress.state
            && snapshot.position.index == index
            && snapshot.data.is_char_boundary(received)
            && received < snapshot.data.len()
        {
            // The same offset in the answer to a later message: the chunk is lost.
            let is_lost = sent.is_some_and(|sent| answered > sent);
            if received == *offset && !is_lost {
                return;
            }
            *offset = received;
            *sent = None;
            leader.start_round(now, &self.settings.timing);
            self.send_to(from, false, out);
        }
    }
}

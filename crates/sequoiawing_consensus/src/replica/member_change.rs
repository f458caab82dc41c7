use super::{Replica, Role, progress::Progress};
use crate::{
    Action, DeploymentId, Member, MemberChange, Membership, Message, Position, Refusal, ReplicaId,
    Token,
};
use sequoiawing_types::{Name, Time};
use std::{net::SocketAddr, time::Duration};

/// The interval between bootstrap announcements or join requests.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of entries that a learner may lag behind to be promoted.
const MAX_PROMOTION_LAG: u64 = 64;

/// The maximum number of learners, and of pending join requests.
const MAX_LEARNERS: usize = 16;

impl Replica {
    /// Returns `true` and restarts the interval if announcements and join
    /// requests are due.
    pub(super) fn tick_contact(&mut self, now: Time) -> bool {
        if self
            .contacted_at
            .is_some_and(|at| now - at < CONTACT_INTERVAL)
        {
            return false;
        }
        self.contacted_at = Some(now);
        true
    }

    /// Sends a join request to all configured hosts, unless this replica is a
    /// member at its current address and is in contact with a leader.
    pub(super) fn request_join(&self, now: Time, out: &mut Vec<Action>) {
        let own = self.members().member(self.id());
        let is_current = own.is_some_and(|m| m.address == self.settings.address);
        let is_led = self.is_leader() || now < self.lease_grant.until;
        if self.bootstrap.is_none() && is_current && is_led {
            return;
        }
        for host in self
            .settings
            .voters
            .iter()
            .filter(|h| **h != self.settings.host)
        {
            let message = self.join_request();
            let host = host.clone();
            out.push(Action::SendToHost { host, message });
        }
    }

    /// Returns the request of this replica to be added as a learner.
    ///
    /// A driver may send it to a sender of messages for a former replica of this
    /// host, which is a member of the deployment that lost it.
    pub fn join_request(&self) -> Message {
        Message::Join {
            id: self.id(),
            host: self.settings.host.clone(),
            address: self.settings.address,
            deployment: self.deployment(),
            commit: self.commit_position(),
        }
    }

    pub(super) fn handle_join(
        &mut self,
        id: ReplicaId,
        (host, address): (Name, SocketAddr),
        deployment: Option<DeploymentId>,
        commit: Option<Position>,
        out: &mut Vec<Action>,
    ) {
        let members = self.members().clone();
        if !self.is_leader() {
            let message = Message::Join {
                id,
                host,
                address,
                deployment,
                commit,
            };
            let leader = self.leader.filter(|leader| *leader != id);
            out.extend(leader.map(|to| Action::Send {
                to,
                message,
                after: 0,
            }));
            return;
        }
        if !self.may_admit(id, deployment, commit) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let known = members.member(id);
        let is_current = known.is_some_and(|m| m.address == address);
        if !is_current && leader.join_requests.len() < MAX_LEARNERS {
            leader.join_requests.insert(id, (host, address));
        }
    }

    /// Returns `true` if the last membership change is committed, so that the next
    /// one may start.
    fn may_change(&self) -> bool {
        let (index, _) = self
            .memberships
            .last()
            .expect("the snapshot always has members");
        *index <= self.commit && self.has_committed_in_term()
    }

    /// Appends the next membership change that is needed, if any.
    ///
    /// It completes a replacement, adds a learner, promotes one, or replaces a voter.
    pub(super) fn reconcile_members(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.may_change() || self.shutting_down {
            return;
        }
        let next = self.complete_replacement();
        let next = next.or_else(|| self.identify_deployment());
        let next = next.or_else(|| self.admit_learner());
        let next = next.or_else(|| self.promote_learner(now));
        let next = next.or_else(|| self.grow_voters(now));
        let next = next.or_else(|| self.replace_voter(now));
        if let Some(members) = next {
            self.append_members(members);
            self.send_entries(now, out);
        }
    }

    /// Returns the members after the replacement of a voter, if one is in progress.
    fn complete_replacement(&self) -> Option<Membership> {
        let members = self.members();
        (!members.outgoing.is_empty()).then(|| members.without_outgoing())
    }

    /// Returns the members with one more learner or an updated address.
    fn admit_learner(&mut self) -> Option<Membership> {
        let members = self.members().clone();
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let (id, (host, address)) = leader.join_requests.pop_first()?;
        if let Some(known) = members.member(id) {
            let address_changed = Member {
                address,
                ..known.clone()
            };
            return Some(members.with(address_changed));
        }
        let mut next = Membership::clone(&members);
        next.members.retain(|m| m.voter || m.host != host);
        if next.members.iter().filter(|m| !m.voter).count() >= MAX_LEARNERS {
            return None;
        }
        let voter = false;
        Some(next.with(Member {
            id,
            host,
            address,
            voter,
        }))
    }

    /// Returns the members with the learner of a voter host promoted.
    ///
    /// It replaces an earlier voter on the same host, if that one is inactive.
    fn promote_learner(&self, now: Time) -> Option<Membership> {
        let members = self.members();
        let is_ready = |m: &&Member| {
            !m.voter && members.voter_hosts.contains(&m.host) && self.is_caught_up(now, m.id)
        };
        let learner = members.members.iter().find(is_ready)?;
        let Some(previous) = members.voter_of(&learner.host) else {
            let promoted = Member {
                voter: true,
                ..learner.clone()
            };
            return Some(members.with(promoted));
        };
        if previous.id == self.id() || self.is_active(now, previous.id) {
            return None;
        }
        let next = members.replacing(previous.id, learner.id);
        self.has_active_majority(now, &next).then_some(next)
    }

    /// Returns the members with one more voter host, whose learner has caught up,
    /// if there are fewer voters than `target_voters`.
    fn grow_voters(&self, now: Time) -> Option<Membership> {
        let members = self.members();
        let voters = members.voters().count().max(members.voter_hosts.len());
        if voters >= self.settings.target_voters {
            return None;
        }
        let spare = self.spare_learner(now)?;
        let promoted = Member {
            voter: true,
            ..spare.clone()
        };
        if !self.has_active_majority(now, &members.with(promoted)) {
            return None;
        }
        let mut next = Membership::clone(members);
        next.voter_hosts.push(spare.host.clone());
        Some(next)
    }

    /// Returns a learner that has caught up and is on no voter host.
    fn spare_learner(&self, now: Time) -> Option<&Member> {
        let members = self.members();
        let is_spare = |m: &&Member| {
            !m.voter && !members.voter_hosts.contains(&m.host) && self.is_caught_up(now, m.id)
        };
        members.members.iter().find(is_spare)
    }

    /// Returns the members with a voter that was unreachable for `replace_after`
    /// replaced by a learner that has caught up.
    ///
    /// This may also replace a voter that is only restarting; it then rejoins as
    /// a learner.
    fn replace_voter(&self, now: Time) -> Option<Membership> {
        let after = self.settings.replace_after?;
        let members = self.members();
        let spare = self.spare_learner(now)?;
        let is_lost = |m: &&Member| m.voter && self.is_unreachable(now, m.id, after);
        let lost = members.members.iter().find(is_lost)?;
        let mut next = members.replacing(lost.id, spare.id);
        next.voter_hosts.retain(|host| *host != lost.host);
        next.voter_hosts.push(spare.host.clone());
        self.has_active_majority(now, &next).then_some(next)
    }

    /// Returns `true` if a member has not answered this leader for `span`.
    fn is_unreachable(&self, now: Time, id: ReplicaId, span: Duration) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let acked = self.progress(id).and_then(|p| p.acked);
        let since = acked.unwrap_or(leader.elected_at).max(leader.elected_at);
        id != self.id() && now - since > span
    }

    fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(leader) => leader.progress.get(&id),
            _ => None,
        }
    }

    fn is_caught_up(&self, now: Time, id: ReplicaId) -> bool {
        let last = self.log.last().index;
        let is_close = |p: &Progress| {
            let lacks_few = p.matched + MAX_PROMOTION_LAG >= last;
            p.matched > 0 && p.matched >= self.commit && lacks_few
        };
        self.progress(id).is_some_and(is_close) && self.is_active(now, id)
    }

    fn is_active(&self, now: Time, id: ReplicaId) -> bool {
        let timeout = self.settings.timing.election_timeout;
        let acked = self.progress(id).and_then(|p| p.acked);
        id == self.id() || acked.is_some_and(|acked| now - acked <= timeout)
    }

    /// Returns `true` if a majority of the voters in `next` is active.
    fn has_active_majority(&self, now: Time, next: &Membership) -> bool {
        next.has_majority(|id| self.is_active(now, id))
    }

    pub(super) fn handle_change_members(
        &mut self,
        now: Time,
        token: Token,
        change: &MemberChange,
        out: &mut Vec<Action>,
    ) {
        if !self.is_leader() || self.shutting_down {
            Self::refuse(token, Refusal::NotLeader, out);
            return;
        }
        let Some(next) = self
            .members_after(now, change)
            .filter(|_| self.may_change())
        else {
            Self::refuse(token, Refusal::Unsuitable, out);
            return;
        };
        let index = self.append_members(next);
        self.add_waiter(index, token);
        self.send_entries(now, out);
    }

    fn members_after(&self, now: Time, change: &MemberChange) -> Option<Membership> {
        if !self.members().outgoing.is_empty() {
            return None;
        }
        let mut next = Membership::clone(self.members());
        match change {
            MemberChange::AddVoter(host) => {
                if next.voter_hosts.contains(host) {
                    return None;
                }
                next.voter_hosts.push(host.clone());
                Some(next)
            }
            MemberChange::Remove(host) => {
                let is_known = next.voter_hosts.contains(host) || next.voter_of(host).is_some();
                if *host == self.settings.host || !is_known {
                    return None;
                }
                next.voter_hosts.retain(|h| h != host);
                next.members.retain(|m| m.host != *host);
                self.has_active_majority(now, &next).then_some(next)
            }
        }
    }
}

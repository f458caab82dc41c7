use super::{Replica, Role, progress::Progress};
use crate::{Action, Member, MemberChange, Membership, Message, Refusal, ReplicaId, Token};
use sequoiawing_types::{Name, Time};
use std::{net::SocketAddr, time::Duration};

/// How often a replica contacts hosts outside the log.
const CONTACT_PAUSE: Duration = Duration::from_millis(500);

/// The entries that a learner may lack and still be let vote.
const CATCH_UP_SLACK: u64 = 64;

/// The learners that may be taken in at a time.
const MAX_LEARNERS: usize = 16;

impl Replica {
    /// Reports whether it is time to contact hosts outside the log again.
    pub(super) fn tick_contact(&mut self, now: Time) -> bool {
        if self.contacted.is_some_and(|at| now - at < CONTACT_PAUSE) {
            return false;
        }
        self.contacted = Some(now);
        true
    }

    /// Asks all known hosts to be taken in, unless a leader treats this replica
    /// as a member at its present address.
    pub(super) fn ask_to_join(&self, now: Time, out: &mut Vec<Action>) {
        let own = self.members().member(self.id());
        let is_current = own.is_some_and(|m| m.address == self.settings.address);
        let is_led = self.is_leader() || now < self.promise.until;
        if self.founding.is_none() && is_current && is_led {
            return;
        }
        for host in self
            .settings
            .voters
            .iter()
            .filter(|h| **h != self.settings.host)
        {
            let message = Message::Join {
                id: self.id(),
                host: self.settings.host.clone(),
                address: self.settings.address,
            };
            let host = host.clone();
            out.push(Action::Contact { host, message });
        }
    }

    pub(super) fn join(
        &mut self,
        id: ReplicaId,
        host: Name,
        address: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        let members = self.members().clone();
        let Role::Leader(leading) = &mut self.role else {
            let message = Message::Join { id, host, address };
            let leader = self.leader.filter(|leader| *leader != id);
            out.extend(leader.map(|to| Action::Send {
                to,
                message,
                after: 0,
            }));
            return;
        };
        let known = members.member(id);
        let is_current = known.is_some_and(|m| m.address == address);
        if !is_current && leading.joins.len() < MAX_LEARNERS {
            leading.joins.insert(id, (host, address));
        }
    }

    /// Reports whether the last change of members is committed, so that the
    /// next one may start.
    fn may_change(&self) -> bool {
        let (index, _) = self.memberships.last().expect("the snapshot has members");
        *index <= self.commit && self.has_committed_in_term()
    }

    /// Makes the next change that the members need, if any: takes in a learner,
    /// removes a voter whose disk was replaced, or lets a learner vote.
    pub(super) fn tend_members(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.may_change() || self.retiring {
            return;
        }
        let next = self.admit_next();
        let next = next.or_else(|| self.seat_next(now));
        let next = next.or_else(|| self.grow_next(now));
        let next = next.or_else(|| self.replace_next(now));
        if let Some(members) = next {
            self.append_members(members);
            self.send_entries(now, out);
        }
    }

    /// Returns the members with one more learner or a corrected address.
    fn admit_next(&mut self) -> Option<Membership> {
        let members = self.members().clone();
        let Role::Leader(leading) = &mut self.role else {
            return None;
        };
        let (id, (host, address)) = leading.joins.pop_first()?;
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

    /// Returns the members after the next step that gives a learner its seat.
    fn seat_next(&self, now: Time) -> Option<Membership> {
        let members = self.members();
        let is_ready = |m: &&Member| {
            !m.voter && members.seats.contains(&m.host) && self.is_caught_up(now, m.id)
        };
        let learner = members.members.iter().find(is_ready)?;
        let Some(former) = members.voter_of(&learner.host) else {
            let seated = Member {
                voter: true,
                ..learner.clone()
            };
            return Some(members.with(seated));
        };
        if former.id == self.id() || self.is_active(now, former.id) {
            return None;
        }
        let next = members.without(former.id);
        self.is_safe(now, &next).then_some(next)
    }

    /// Returns the members with one more seat, for a learner that has caught up,
    /// while there are fewer voters than there should be.
    fn grow_next(&self, now: Time) -> Option<Membership> {
        let members = self.members();
        let voters = members.voters().count().max(members.seats.len());
        if voters >= self.settings.grow_to {
            return None;
        }
        let spare = self.spare(now)?;
        let voting = Member {
            voter: true,
            ..spare.clone()
        };
        if !self.is_safe(now, &members.with(voting)) {
            return None;
        }
        let mut next = Membership::clone(members);
        next.seats.push(spare.host.clone());
        Some(next)
    }

    /// Returns a learner without a seat that has caught up.
    fn spare(&self, now: Time) -> Option<&Member> {
        let members = self.members();
        let is_spare = |m: &&Member| {
            !m.voter && !members.seats.contains(&m.host) && self.is_caught_up(now, m.id)
        };
        members.members.iter().find(is_spare)
    }

    /// Returns the members without a voter that has been away for long, and
    /// with its seat given to a learner that has caught up.
    ///
    /// The seat of a voter that only restarts may go as well; it comes back as
    /// a learner then.
    fn replace_next(&self, now: Time) -> Option<Membership> {
        let after = self.settings.replace_after?;
        let members = self.members();
        let spare = self.spare(now)?;
        let is_gone = |m: &&Member| m.voter && self.is_away(now, m.id, after);
        let gone = members.members.iter().find(is_gone)?;
        let mut next = members.without(gone.id);
        next.seats.retain(|seat| *seat != gone.host);
        next.seats.push(spare.host.clone());
        self.is_safe(now, &next).then_some(next)
    }

    /// Reports whether a member has not answered this leader for so long.
    fn is_away(&self, now: Time, id: ReplicaId, span: Duration) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let acked = self.progress(id).and_then(|p| p.acked);
        let since = acked.unwrap_or(leading.elected).max(leading.elected);
        id != self.id() && now - since > span
    }

    fn progress(&self, id: ReplicaId) -> Option<&Progress> {
        match &self.role {
            Role::Leader(leading) => leading.progress.get(&id),
            _ => None,
        }
    }

    fn is_caught_up(&self, now: Time, id: ReplicaId) -> bool {
        let last = self.log.last().index;
        let is_level = |p: &Progress| p.matched > 0 && p.matched + CATCH_UP_SLACK >= last;
        self.progress(id).is_some_and(is_level) && self.is_active(now, id)
    }

    fn is_active(&self, now: Time, id: ReplicaId) -> bool {
        let election = self.settings.timing.election;
        let acked = self.progress(id).and_then(|p| p.acked);
        id == self.id() || acked.is_some_and(|acked| now - acked <= election)
    }

    /// Reports whether a majority of the members-to-be is there to commit.
    fn is_safe(&self, now: Time, next: &Membership) -> bool {
        let active = next.voters().filter(|id| self.is_active(now, *id)).count();
        active >= next.majority()
    }

    pub(super) fn change(
        &mut self,
        now: Time,
        token: Token,
        change: &MemberChange,
        out: &mut Vec<Action>,
    ) {
        if !self.is_leader() || self.retiring {
            Self::refuse(token, Refusal::NotLeader, out);
            return;
        }
        let Some(next) = self.changed(now, change).filter(|_| self.may_change()) else {
            Self::refuse(token, Refusal::Unsuitable, out);
            return;
        };
        let index = self.append_members(next);
        self.wait_for(index, token);
        self.send_entries(now, out);
    }

    fn changed(&self, now: Time, change: &MemberChange) -> Option<Membership> {
        let mut next = Membership::clone(self.members());
        match change {
            MemberChange::Seat(host) => {
                if next.seats.contains(host) {
                    return None;
                }
                next.seats.push(host.clone());
                Some(next)
            }
            MemberChange::Remove(host) => {
                let is_known = next.seats.contains(host) || next.voter_of(host).is_some();
                if *host == self.settings.host || !is_known {
                    return None;
                }
                next.seats.retain(|seat| seat != host);
                next.members.retain(|m| m.host != *host);
                self.is_safe(now, &next).then_some(next)
            }
        }
    }
}

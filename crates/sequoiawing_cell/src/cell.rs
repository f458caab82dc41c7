use crate::{
    CellAction, CellEvent, CellReply, CellRequest, CellSettings, Lease, RequestKind,
    record::Records,
};
use sequoiawing_types::{Name, Time};
use std::collections::BTreeSet;

/// A promise to follow no other host.
#[derive(Clone, Debug)]
struct Promise {
    holder: Name,
    term: u64,
    until: Time,
}

/// A round of requests and the members that granted it.
#[derive(Clone, Debug)]
struct Round {
    number: u64,
    term: u64,
    epoch: u64,
    kind: RequestKind,
    started: Time,
    granted: BTreeSet<Name>,
}

/// A member of a cell.
pub struct Cell {
    host: Name,
    pub(crate) settings: CellSettings,
    silent_until: Time,
    pub(crate) epoch: u64,
    granted_epoch: u64,
    pub(crate) members: BTreeSet<Name>,
    /// The highest known term.
    term: u64,
    /// The highest term that was promised or may have been promised before the
    /// start.
    promised_term: u64,
    promise: Option<Promise>,
    pub(crate) lease: Option<Lease>,
    round: Option<Round>,
    last_round: u64,
    next_round: Time,
    settled_epoch: u64,
    resigned: bool,
    pub(crate) records: Records,
    /// When this host acquired its current lease.
    pub(crate) led_since: Time,
}

impl Cell {
    /// Creates a member that starts at `now`.
    ///
    /// `floor` must increase with each start of any member; the wall clock's
    /// milliseconds qualify. Terms and rounds begin above it, so that a cell
    /// never reuses a term even if all its members have lost their state.
    pub fn new(host: Name, settings: CellSettings, now: Time, floor: u64) -> Self {
        let silent_until = now + settings.promise_time();
        Self {
            host,
            settings,
            silent_until,
            epoch: 0,
            granted_epoch: 0,
            members: BTreeSet::new(),
            term: floor + 1,
            promised_term: floor,
            promise: None,
            lease: None,
            round: None,
            last_round: floor,
            next_round: now,
            settled_epoch: 0,
            resigned: false,
            records: Records::default(),
            led_since: now,
        }
    }

    /// Returns the lease if this host holds it.
    ///
    /// Must be called immediately before any order is sent: a process that was
    /// suspended learns here that its lease has expired.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        self.lease.filter(|l| now < l.until)
    }

    /// Returns the host that this member follows, possibly itself.
    pub fn leader(&self, now: Time) -> Option<&Name> {
        if self.lease(now).is_some() {
            return Some(&self.host);
        }
        let promise = self.promise.as_ref().filter(|p| now < p.until)?;
        (promise.holder != self.host).then_some(&promise.holder)
    }

    /// Returns the highest term known to this member.
    pub fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: CellEvent, out: &mut Vec<CellAction>) {
        self.expire(now, out);
        match event {
            CellEvent::Members { epoch, members } => self.reconfigure(epoch, members, out),
            CellEvent::Fence(fence) => self.term = self.term.max(fence),
            CellEvent::Request(request) => {
                let reply = self.respond(now, &request);
                out.push(CellAction::Reply(reply));
            }
            CellEvent::Reply(reply) => self.handle_reply(now, reply, out),
            CellEvent::Record { version, counts } => self.propose_record(now, version, counts),
            CellEvent::Resign => self.resign(now, out),
            CellEvent::Tick => self.tick(now, out),
        }
    }

    fn expire(&mut self, now: Time, out: &mut Vec<CellAction>) {
        if self.lease.is_some_and(|l| now >= l.until) {
            self.drop_lease(out);
        }
    }

    fn drop_lease(&mut self, out: &mut Vec<CellAction>) {
        if self.lease.take().is_some() {
            out.push(CellAction::LeaseLost);
        }
        self.records.reset();
        self.round = None;
    }

    /// Applies a newer membership. A host that is no longer a member stops
    /// leading; a remaining leader continues, and its next renewal uses the new
    /// membership.
    fn reconfigure(&mut self, epoch: u64, members: BTreeSet<Name>, out: &mut Vec<CellAction>) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.members = members;
        self.round = None;
        self.next_round = Time::ZERO;
        if !self.members.contains(&self.host) {
            self.drop_lease(out);
        }
        self.records.advance_epoch(epoch, self.lease.is_some());
    }

    fn respond(&mut self, now: Time, request: &CellRequest) -> CellReply {
        let granted = match request.kind {
            RequestKind::Probe => self.would_grant(now, request),
            RequestKind::Promise => self.grant(now, request),
            RequestKind::Release => self.release(now, request),
        };
        let current = self.promise.as_ref().filter(|p| now < p.until);
        let term = match current {
            None if !granted => self.term.max(self.promised_term + 1),
            _ => self.term,
        };
        CellReply {
            from: self.host.clone(),
            round: request.round,
            granted,
            term,
            epoch: self.epoch,
            holder: current.map(|p| p.holder.clone()),
            has: granted
                .then(|| self.record_version(request.epoch))
                .flatten(),
            newer: granted.then(|| self.newer_record(request)).flatten(),
        }
    }

    fn would_grant(&self, now: Time, request: &CellRequest) -> bool {
        let is_silent = now < self.silent_until;
        let is_outdated = request.epoch < self.epoch.max(self.granted_epoch);
        if is_silent || is_outdated {
            return false;
        }
        match &self.promise {
            Some(p) if p.holder != request.from && now < p.until => false,
            Some(p) if p.holder == request.from && p.term == request.term => true,
            _ => request.term >= self.term && request.term > self.promised_term,
        }
    }

    fn grant(&mut self, now: Time, request: &CellRequest) -> bool {
        if !self.would_grant(now, request) {
            return false;
        }
        self.term = self.term.max(request.term);
        self.promised_term = request.term;
        self.granted_epoch = self.granted_epoch.max(request.epoch);
        self.promise = Some(Promise {
            holder: request.from.clone(),
            term: request.term,
            until: now + self.settings.promise_time(),
        });
        if request.from != self.host {
            self.next_round = now + self.settings.promise_time() + self.election_delay();
        }
        if let Some(record) = &request.record {
            self.records.store(record);
        }
        true
    }

    fn release(&mut self, now: Time, request: &CellRequest) -> bool {
        let is_holder = |p: &Promise| p.holder == request.from && p.term == request.term;
        if self.promise.as_ref().is_some_and(is_holder) {
            self.next_round = now + self.election_delay();
            self.promise = None;
            return true;
        }
        false
    }

    /// Starts a round when it is due: a renewal by the leader or a probe by a
    /// candidate.
    fn tick(&mut self, now: Time, out: &mut Vec<CellAction>) {
        if self.apply_pending(now) {
            self.next_round = now;
        }
        let waiting = now < self.next_round || now < self.silent_until;
        if !self.may_lead() || waiting {
            return;
        }
        if let Some(lease) = self.lease {
            self.next_round = now + self.settings.renewal;
            let term = self.renewal_term(lease);
            self.start_round(now, term, RequestKind::Promise, out);
            return;
        }
        let following = self.promise.as_ref().filter(|p| now < p.until);
        if following.is_some_and(|p| p.holder != self.host) {
            return;
        }
        self.abandon_round(now, out);
        self.next_round = now + self.settings.renewal / 4 + self.election_delay();
        self.start_round(now, self.term + 1, RequestKind::Probe, out);
    }

    /// Returns the term of the next renewal.
    ///
    /// A restarted member promises only terms above all that it may have known.
    /// A leader that learns of a higher term therefore moves above it without a
    /// pause in its lease.
    fn renewal_term(&self, lease: Lease) -> u64 {
        if self.term > lease.term {
            self.term + 1
        } else {
            lease.term
        }
    }

    /// Returns whether the host is a member in the newest epoch seen in any
    /// request. An older membership must not elect leaders any more.
    fn may_lead(&self) -> bool {
        let current = self.epoch >= self.granted_epoch;
        current && !self.resigned && self.members.contains(&self.host)
    }

    /// Releases the promises of a round that found no majority.
    fn abandon_round(&mut self, now: Time, out: &mut Vec<CellAction>) {
        let failed = self.round.take().filter(|r| r.kind == RequestKind::Promise);
        if let Some(round) = failed {
            self.release_promises(now, round.term, out);
        }
    }

    /// Returns the delay that keeps candidates from competing: it grows with
    /// the number of hosts that precede this one by name, except for the
    /// previous leader.
    fn election_delay(&self) -> std::time::Duration {
        let previous = self.promise.as_ref().map(|p| &p.holder);
        let earlier = self.members.iter().take_while(|m| **m != self.host);
        let before = earlier.filter(|m| Some(*m) != previous).count();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        self.settings.renewal / 8 * before.min(8)
    }

    fn start_round(&mut self, now: Time, term: u64, kind: RequestKind, out: &mut Vec<CellAction>) {
        if kind == RequestKind::Probe {
            self.records.reset();
        }
        self.last_round += 1;
        let request = CellRequest {
            from: self.host.clone(),
            term,
            epoch: self.epoch,
            round: self.last_round,
            kind,
            has: self.record_version(self.epoch),
            record: None,
        };
        self.round = Some(Round {
            number: self.last_round,
            term,
            epoch: self.epoch,
            kind,
            started: now,
            granted: BTreeSet::new(),
        });
        for to in self.members.iter().filter(|m| **m != self.host) {
            let record = self
                .lease
                .and_then(|_| self.records.missing(self.epoch, to));
            let request = CellRequest {
                record,
                ..request.clone()
            };
            out.push(CellAction::Send {
                to: to.clone(),
                request,
            });
        }
        let own = self.respond(now, &request);
        self.handle_reply(now, own, out);
    }

    fn handle_reply(&mut self, now: Time, reply: CellReply, out: &mut Vec<CellAction>) {
        self.term = self.term.max(reply.term);
        let majority = self.majority();
        let is_member = self.members.contains(&reply.from);
        let Some(round) = self.round.as_mut().filter(|r| r.number == reply.round) else {
            return;
        };
        if !reply.granted || !is_member {
            return;
        }
        if round.kind == RequestKind::Promise {
            let from = reply.from.clone();
            self.records
                .record_reply(from, reply.has, reply.newer.as_ref());
        }
        let is_new = round.granted.insert(reply.from);
        if self.lease.is_some() {
            self.records.adopt_reported(self.epoch, majority);
        }
        if !is_new || round.granted.len() != majority {
            return;
        }
        let (term, kind, started, epoch) = (round.term, round.kind, round.started, round.epoch);
        match kind {
            RequestKind::Probe => self.start_round(now, term, RequestKind::Promise, out),
            RequestKind::Promise => self.acquire_lease(now, term, started, epoch, out),
            RequestKind::Release => {}
        }
    }

    /// Acquires the lease that a majority has promised, counted from `started`.
    fn acquire_lease(
        &mut self,
        now: Time,
        term: u64,
        started: Time,
        epoch: u64,
        out: &mut Vec<CellAction>,
    ) {
        let until = started + self.settings.lease_time();
        if now >= until {
            return;
        }
        let is_new = self.lease.is_none_or(|l| l.term != term);
        if self.lease.is_none() {
            self.led_since = now;
        }
        self.lease = Some(Lease { term, until });
        self.next_round = started + self.settings.renewal;
        self.records.adopt_reported(self.epoch, self.majority());
        if is_new {
            out.push(CellAction::LeaseAcquired { term });
        }
        if epoch > self.settled_epoch {
            self.settled_epoch = epoch;
            out.push(CellAction::Settled { epoch });
        }
    }

    fn resign(&mut self, now: Time, out: &mut Vec<CellAction>) {
        self.resigned = true;
        let Some(lease) = self.lease else {
            return;
        };
        self.drop_lease(out);
        self.release_promises(now, lease.term, out);
    }

    fn release_promises(&mut self, now: Time, term: u64, out: &mut Vec<CellAction>) {
        self.last_round += 1;
        let request = CellRequest {
            from: self.host.clone(),
            term,
            epoch: self.epoch,
            round: self.last_round,
            kind: RequestKind::Release,
            has: None,
            record: None,
        };
        self.release(now, &request);
        for to in self.members.iter().filter(|m| **m != self.host) {
            out.push(CellAction::Send {
                to: to.clone(),
                request: request.clone(),
            });
        }
    }
}

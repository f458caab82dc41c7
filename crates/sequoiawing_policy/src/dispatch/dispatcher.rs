use crate::{
    AffinityChoice, ChooseUpstream, DispatchAction, DispatchEvent, DispatchSettings, FairTokens,
    Refusal, ShareService, Work,
    dispatch::{
        demands::Asks,
        queue::Waiting,
        upstreams::{SeatKey, Seats},
    },
};
use sequoiawing_fleet::{Demand, OrderState, UpstreamKind};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The share of a refusal's pause by which pauses are spread, so that refused
/// callers do not all return at once: one part in this many.
const SPREAD_PARTS: u32 = 4;

/// The steps in which pauses are spread.
const SPREAD_STEPS: u32 = 16;

/// Matches the waiting requests of one pool with its upstreams.
///
/// Whenever an upstream has room, nothing that it could serve waits: each event
/// looks only at the upstreams and requests that it concerns. See
/// [docs/design/overload.md](../../../docs/design/overload.md).
pub struct Dispatcher {
    settings: DispatchSettings,
    choice: Box<dyn ChooseUpstream>,
    share: Box<dyn ShareService>,
    seats: Seats,
    waiting: Waiting,
    asks: Asks,
}

impl Dispatcher {
    /// Returns a dispatcher without upstreams.
    pub fn new(settings: DispatchSettings) -> Self {
        let seed = settings.host.as_str().bytes();
        let seed = seed.fold(0x9e37_79b9, |s: u64, b| s.wrapping_mul(31) ^ u64::from(b));
        let seats = Seats::new(settings.centre.clone());
        Self {
            settings,
            choice: Box::new(AffinityChoice::new(seed)),
            share: Box::new(FairTokens::default()),
            seats,
            waiting: Waiting::default(),
            asks: Asks::default(),
        }
    }

    /// Replaces the choice among ready upstreams.
    #[must_use]
    pub fn with_choice(mut self, choice: Box<dyn ChooseUpstream>) -> Self {
        self.choice = choice;
        self
    }

    /// Replaces the order in which customers are served.
    #[must_use]
    pub fn with_share(mut self, share: Box<dyn ShareService>) -> Self {
        self.share = share;
        self
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Reports whether the pool has an upstream of the kind.
    pub fn has_kind(&self, kind: UpstreamKind) -> bool {
        self.seats.has_kind(kind)
    }

    /// Takes in an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: DispatchEvent, out: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::Arrived(work) => self.arrive(now, work, out),
            DispatchEvent::Cancelled { id } => {
                self.waiting.remove(id);
            }
            DispatchEvent::Finished { id, healthy } => {
                let backoff = self.settings.backoff;
                if let Some(seat) = self.seats.finish(now, id, healthy, backoff) {
                    self.fill(now, seat, out);
                }
            }
            DispatchEvent::Announced(state) => {
                let seat = self.seats.announce(state);
                self.fill(now, seat, out);
            }
            DispatchEvent::Gone { upstream } => self.seats.remove(&upstream),
            DispatchEvent::Decided { model, state } => self.decide(now, &model, &state, out),
            DispatchEvent::Tick => self.tick(now, out),
        }
    }

    fn arrive(&mut self, now: Time, work: Work, out: &mut Vec<DispatchAction>) {
        let target = work.target();
        if work.deadline <= now {
            let pause = self.settings.backoff;
            out.push(refuse(work.id, Refusal::TooLate, pause));
            return;
        }
        let is_first = !self.waiting.has_target(&target);
        if is_first && let Some(seat) = self.seats.choose(now, &work, self.choice.as_mut()) {
            out.push(self.assign(now, seat, &work));
            return;
        }
        if let Some((reason, pause)) = self.objection(now, &work, &target) {
            out.push(refuse(work.id, reason, pause));
            return;
        }
        if !self.make_room(&work, out) {
            let pause = self.pause(now, &work.customer, &target);
            out.push(refuse(work.id, Refusal::QueueFull, pause));
            return;
        }
        let position = self.share.position(&work);
        self.waiting.insert(work, position);
        self.ask(now, &target, out);
    }

    /// Returns why the work cannot start before its deadline, if so, and when
    /// to ask again.
    fn objection(&self, now: Time, work: &Work, target: &Name) -> Option<(Refusal, Duration)> {
        let pause = self.pause(now, &work.customer, target);
        if self.seats.has_target(target) {
            let late = now + pause > work.deadline;
            return late.then_some((Refusal::TooLate, pause));
        }
        if self.asks.has_problem(target) || is_service(target) {
            return Some((Refusal::NoUpstream, self.settings.backoff));
        }
        let ready = self.asks.ready(target)?;
        let late = ready > work.deadline && ready > now;
        late.then_some((Refusal::TooLate, pause))
    }

    /// Estimates when one more request of the customer could start.
    fn pause(&self, now: Time, customer: &Name, target: &Name) -> Duration {
        if self.seats.has_target(target) {
            let ahead = self.waiting.ahead(target, customer);
            return self.seats.wait(target, ahead);
        }
        let ready = self.asks.ready(target);
        ready.map_or(self.settings.backoff, |at| at.since(now))
    }

    /// Makes room for one more waiting request and reports whether there is.
    ///
    /// A full queue is shared: whoever has less in it than another customer
    /// takes the place of that customer's last request.
    fn make_room(&mut self, work: &Work, out: &mut Vec<DispatchAction>) -> bool {
        let own = self.waiting.count(&work.customer);
        if own >= self.settings.customer_queue {
            return false;
        }
        if self.waiting.len() < self.settings.queue {
            return true;
        }
        let heaviest = self.waiting.heaviest();
        let Some((customer, _)) = heaviest.filter(|(_, count)| *count > own + 1) else {
            return false;
        };
        let last = self.waiting.last(&customer.clone());
        let Some(id) = last else {
            return false;
        };
        self.waiting.remove(id);
        let pause = self.settings.backoff;
        out.push(refuse(id, Refusal::QueueFull, pause));
        true
    }

    fn assign(&mut self, now: Time, seat: SeatKey, work: &Work) -> DispatchAction {
        let priority = self.share.priority(&work.customer);
        self.share.served(work);
        let upstream = self.seats.assign(now, seat, work);
        let id = work.id;
        DispatchAction::Assign {
            id,
            upstream,
            priority,
        }
    }

    /// Gives an upstream waiting requests for as long as it has room.
    fn fill(&mut self, now: Time, seat: SeatKey, out: &mut Vec<DispatchAction>) {
        while self.waiting.len() > 0 && self.seats.is_free(seat, now) {
            let seats = &self.seats;
            let suits = |work: &Work| work.deadline > now && seats.suits(seat, work);
            let Some(id) = self
                .waiting
                .next(self.share.as_ref(), seats.targets(seat), suits)
            else {
                return;
            };
            let Some(work) = self.waiting.remove(id) else {
                return;
            };
            out.push(self.assign(now, seat, &work));
        }
    }

    fn decide(
        &mut self,
        now: Time,
        target: &Name,
        state: &OrderState,
        out: &mut Vec<DispatchAction>,
    ) {
        let centres = self.seats.centres();
        self.asks.decide(now, target.clone(), state, centres);
        if self.seats.has_target(target) {
            return;
        }
        if self.asks.has_problem(target) {
            let all = Time::from_micros(u64::MAX);
            self.refuse_until(now, target, all, &Refusal::NoUpstream, out);
        } else if let Some(ready) = self.asks.ready(target) {
            self.refuse_until(now, target, ready, &Refusal::TooLate, out);
        }
    }

    fn refuse_until(
        &mut self,
        now: Time,
        target: &Name,
        until: Time,
        reason: &Refusal,
        out: &mut Vec<DispatchAction>,
    ) {
        let ready = self
            .asks
            .ready(target)
            .map_or(Duration::ZERO, |at| at.since(now));
        let pause = ready.max(self.settings.backoff);
        for id in self.waiting.late(target, until) {
            self.waiting.remove(id);
            out.push(refuse(id, reason.clone(), pause));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<DispatchAction>) {
        for id in self.waiting.expired(now) {
            let Some(work) = self.waiting.remove(id) else {
                continue;
            };
            let pause = self.pause(now, &work.customer, &work.target());
            let pause = pause.max(self.settings.backoff);
            out.push(refuse(id, Refusal::TooLate, pause));
        }
        if self.waiting.len() > 0 {
            for seat in self.seats.keys() {
                self.fill(now, seat, out);
            }
        }
        for target in self.waiting.targets() {
            if is_service(&target) && !self.seats.has_target(&target) {
                self.refuse_until(now, &target, Time::MAX, &Refusal::NoUpstream, out);
            }
            self.ask(now, &target, out);
        }
        let waiting = &self.waiting;
        self.asks.retain(now, |target| waiting.has_target(target));
    }

    /// Asks for a target that waiting requests need, at most once in the repeat
    /// interval.
    fn ask(&mut self, now: Time, target: &Name, out: &mut Vec<DispatchAction>) {
        let repeat = self.settings.repeat;
        if target.as_str().is_empty() || !self.asks.is_due(now, target, repeat) {
            return;
        }
        let Some(mut demand) = self.demand(now, target) else {
            return;
        };
        let is_adapter = demand.adapter.is_some();
        let centres = self.seats.best_centres(&demand.model, is_adapter);
        let tries = self.asks.tries(now, target);
        if self.settings.roam && !centres.is_empty() {
            demand.centre = centres[tries % centres.len()].clone();
        }
        demand.urgent = tries > 0 || !self.settings.roam;
        out.push(DispatchAction::Ask(demand));
    }

    fn demand(&self, now: Time, target: &Name) -> Option<Demand> {
        let sample = self.waiting.sample(target)?;
        let (waiting, tokens) = self.waiting.demand(target);
        let shares = self.waiting.shares(now, target);
        Some(Demand {
            host: self.settings.host.clone(),
            centre: Name::default(),
            urgent: false,
            recall: false,
            pool: self.settings.pool.clone(),
            model: sample.model.clone()?,
            adapter: sample.adapter.clone(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            tokens,
            deadline: shares.first().map_or(0, |s| s.deadline),
            pace: self.seats.pace(),
            shares,
        })
    }
}

/// Refuses a request; pauses are spread by its identifier.
/// Reports whether requests of the target need no model. No load brings an
/// upstream for them, so they wait only for one that is there.
fn is_service(target: &Name) -> bool {
    target.as_str().is_empty()
}

fn refuse(id: u64, reason: Refusal, pause: Duration) -> DispatchAction {
    let step = u32::try_from(id % u64::from(SPREAD_STEPS)).unwrap_or(0);
    let spread = pause * step / (SPREAD_PARTS * SPREAD_STEPS);
    let retry = pause + spread;
    DispatchAction::Refuse { id, reason, retry }
}

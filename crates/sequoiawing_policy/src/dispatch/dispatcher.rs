use crate::{
    AffinityChoice, ChooseUpstream, DispatchAction, DispatchEvent, DispatchRequest,
    DispatchSettings, FairQueueing, QueueDiscipline, Refusal,
    dispatch::{
        demands::Demands,
        queue::RequestQueue,
        upstreams::{UpstreamKey, Upstreams},
    },
};
use sequoiawing_fleet::{Demand, DemandStatus, UpstreamKind};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The jitter of retry delays, as a divisor: up to 1/4 of the delay is added,
/// so that refused callers do not all return at once.
const JITTER_DIVISOR: u32 = 4;

/// The number of distinct jitter values.
const JITTER_STEPS: u32 = 16;

/// Matches the queued requests of one pool with its upstreams.
///
/// No request is queued while an upstream that can serve it has a free slot.
/// Each event examines only the upstreams and requests that it affects. See
/// [docs/design/overload.md](../../../docs/design/overload.md).
pub struct Dispatcher {
    settings: DispatchSettings,
    choice: Box<dyn ChooseUpstream>,
    discipline: Box<dyn QueueDiscipline>,
    upstreams: Upstreams,
    queue: RequestQueue,
    demands: Demands,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub fn new(settings: DispatchSettings) -> Self {
        let seed = settings.host.as_str().bytes();
        let seed = seed.fold(0x9e37_79b9, |s: u64, b| s.wrapping_mul(31) ^ u64::from(b));
        let upstreams = Upstreams::new(settings.centre.clone());
        Self {
            settings,
            choice: Box::new(AffinityChoice::new(seed)),
            discipline: Box::new(FairQueueing::default()),
            upstreams,
            queue: RequestQueue::default(),
            demands: Demands::default(),
        }
    }

    /// Sets the policy that chooses among available upstreams.
    #[must_use]
    pub fn with_choice(mut self, choice: Box<dyn ChooseUpstream>) -> Self {
        self.choice = choice;
        self
    }

    /// Sets the order in which customers are served.
    #[must_use]
    pub fn with_discipline(mut self, discipline: Box<dyn QueueDiscipline>) -> Self {
        self.discipline = discipline;
        self
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the pool has an upstream of this kind.
    pub fn has_kind(&self, kind: UpstreamKind) -> bool {
        self.upstreams.has_kind(kind)
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: DispatchEvent, out: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::Arrived(request) => self.arrive(now, request, out),
            DispatchEvent::Cancelled { id } => {
                self.queue.remove(id);
            }
            DispatchEvent::Finished { id, healthy } => {
                let backoff = self.settings.backoff;
                if let Some(key) = self.upstreams.finish(now, id, healthy, backoff) {
                    self.fill(now, key, out);
                }
            }
            DispatchEvent::Announced(state) => {
                let key = self.upstreams.announce(state);
                self.fill(now, key, out);
            }
            DispatchEvent::Gone { upstream } => self.upstreams.remove(&upstream),
            DispatchEvent::DemandAnswered { model, state } => {
                self.process_answer(now, &model, &state, out);
            }
            DispatchEvent::Tick => self.tick(now, out),
        }
    }

    fn arrive(&mut self, now: Time, request: DispatchRequest, out: &mut Vec<DispatchAction>) {
        let target = request.target();
        if request.deadline <= now {
            let retry_delay = self.settings.backoff;
            out.push(refuse(request.id, Refusal::TooLate, retry_delay));
            return;
        }
        let is_first = !self.queue.has_target(&target);
        if is_first && let Some(key) = self.upstreams.choose(now, &request, self.choice.as_mut()) {
            out.push(self.assign(now, key, &request));
            return;
        }
        if let Some((reason, retry_delay)) = self.refusal(now, &request, &target) {
            out.push(refuse(request.id, reason, retry_delay));
            return;
        }
        if !self.make_room(&request, out) {
            let retry_delay = self.retry_delay(now, &request.customer, &target);
            out.push(refuse(request.id, Refusal::QueueFull, retry_delay));
            return;
        }
        let position = self.discipline.position(&request);
        self.queue.insert(request, position);
        self.send_demand(now, &target, out);
    }

    /// Returns why the request cannot start before its deadline, if so, with
    /// the delay before a retry.
    fn refusal(
        &self,
        now: Time,
        request: &DispatchRequest,
        target: &Name,
    ) -> Option<(Refusal, Duration)> {
        let retry_delay = self.retry_delay(now, &request.customer, target);
        if self.upstreams.has_target(target) {
            let is_late = now + retry_delay > request.deadline;
            return is_late.then_some((Refusal::TooLate, retry_delay));
        }
        if self.demands.has_problem(target) || is_service(target) {
            return Some((Refusal::NoUpstream, self.settings.backoff));
        }
        let ready = self.demands.ready(target)?;
        let is_late = ready > request.deadline && ready > now;
        is_late.then_some((Refusal::TooLate, retry_delay))
    }

    /// Estimates the time until one more request of the customer could start.
    fn retry_delay(&self, now: Time, customer: &Name, target: &Name) -> Duration {
        if self.upstreams.has_target(target) {
            let ahead = self.queue.ahead(target, customer);
            return self.upstreams.estimate_wait(target, ahead);
        }
        let ready = self.demands.ready(target);
        ready.map_or(self.settings.backoff, |at| at.since(now))
    }

    /// Makes room for one more queued request and returns whether there is
    /// room.
    ///
    /// When the queue is full, a request evicts the last request of the
    /// customer with the most queued requests, provided that its own customer
    /// has fewer.
    fn make_room(&mut self, request: &DispatchRequest, out: &mut Vec<DispatchAction>) -> bool {
        let own = self.queue.count(&request.customer);
        if own >= self.settings.customer_limit {
            return false;
        }
        if self.queue.len() < self.settings.queue_limit {
            return true;
        }
        let longest_queue = self.queue.longest_queue();
        let Some((customer, _)) = longest_queue.filter(|(_, count)| *count > own + 1) else {
            return false;
        };
        let latest_deadline = self.queue.latest_deadline(&customer.clone());
        let Some(id) = latest_deadline else {
            return false;
        };
        self.queue.remove(id);
        let retry_delay = self.settings.backoff;
        out.push(refuse(id, Refusal::QueueFull, retry_delay));
        true
    }

    fn assign(&mut self, now: Time, key: UpstreamKey, request: &DispatchRequest) -> DispatchAction {
        let priority = self.discipline.priority(&request.customer);
        self.discipline.record_served(request);
        let upstream = self.upstreams.assign(now, key, request);
        let id = request.id;
        DispatchAction::Assign {
            id,
            upstream,
            priority,
        }
    }

    /// Assigns queued requests to an upstream while it has free slots.
    fn fill(&mut self, now: Time, key: UpstreamKey, out: &mut Vec<DispatchAction>) {
        while self.queue.len() > 0 && self.upstreams.is_free(key, now) {
            let upstreams = &self.upstreams;
            let suits =
                |request: &DispatchRequest| request.deadline > now && upstreams.suits(key, request);
            let Some(id) = self
                .queue
                .next(self.discipline.as_ref(), upstreams.targets(key), suits)
            else {
                return;
            };
            let Some(request) = self.queue.remove(id) else {
                return;
            };
            out.push(self.assign(now, key, &request));
        }
    }

    fn process_answer(
        &mut self,
        now: Time,
        target: &Name,
        status: &DemandStatus,
        out: &mut Vec<DispatchAction>,
    ) {
        let centres = self.upstreams.centres();
        self.demands
            .process_answer(now, target.clone(), status, centres);
        if self.upstreams.has_target(target) {
            return;
        }
        if self.demands.has_problem(target) {
            let all = Time::from_micros(u64::MAX);
            self.refuse_until(now, target, all, &Refusal::NoUpstream, out);
        } else if let Some(ready) = self.demands.ready(target) {
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
            .demands
            .ready(target)
            .map_or(Duration::ZERO, |at| at.since(now));
        let retry_delay = ready.max(self.settings.backoff);
        for id in self.queue.due_until(target, until) {
            self.queue.remove(id);
            out.push(refuse(id, reason.clone(), retry_delay));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<DispatchAction>) {
        for id in self.queue.expired(now) {
            let Some(request) = self.queue.remove(id) else {
                continue;
            };
            let retry_delay = self.retry_delay(now, &request.customer, &request.target());
            let retry_delay = retry_delay.max(self.settings.backoff);
            out.push(refuse(id, Refusal::TooLate, retry_delay));
        }
        if self.queue.len() > 0 {
            for key in self.upstreams.keys() {
                self.fill(now, key, out);
            }
        }
        for target in self.queue.target_names() {
            if is_service(&target) && !self.upstreams.has_target(&target) {
                self.refuse_until(now, &target, Time::MAX, &Refusal::NoUpstream, out);
            }
            self.send_demand(now, &target, out);
        }
        let queue = &self.queue;
        self.demands.retain(now, |target| queue.has_target(target));
    }

    /// Sends a demand for a target of queued requests, at most once per demand
    /// interval.
    fn send_demand(&mut self, now: Time, target: &Name, out: &mut Vec<DispatchAction>) {
        let demand_interval = self.settings.demand_interval;
        if target.as_str().is_empty() || !self.demands.is_due(now, target, demand_interval) {
            return;
        }
        let Some(mut demand) = self.demand(now, target) else {
            return;
        };
        let is_adapter = demand.adapter.is_some();
        let centres = self.upstreams.best_centres(&demand.model, is_adapter);
        let failed_centres = self.demands.failed_centres(now, target);
        if self.settings.cross_centre && !centres.is_empty() {
            demand.centre = centres[failed_centres % centres.len()].clone();
        }
        demand.urgent = failed_centres > 0 || !self.settings.cross_centre;
        out.push(DispatchAction::SendDemand(demand));
    }

    fn demand(&self, now: Time, target: &Name) -> Option<Demand> {
        let sample = self.queue.sample(target)?;
        let (waiting, tokens) = self.queue.demand(target);
        let shares = self.queue.shares(now, target);
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
            pace: self.upstreams.token_rate(),
            shares,
        })
    }
}

/// Returns whether requests for the target need no model. Loading cannot provide
/// an upstream for them, so they can only wait for an existing one.
fn is_service(target: &Name) -> bool {
    target.as_str().is_empty()
}

/// Refuses a request, with a retry delay whose jitter depends on its ID.
fn refuse(id: u64, reason: Refusal, retry_delay: Duration) -> DispatchAction {
    let step = u32::try_from(id % u64::from(JITTER_STEPS)).unwrap_or(0);
    let spread = retry_delay * step / (JITTER_DIVISOR * JITTER_STEPS);
    let retry = retry_delay + spread;
    DispatchAction::Refuse { id, reason, retry }
}

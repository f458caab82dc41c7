//! Slots at upstreams and the wait for them.

use crate::{
    GatewayExchange, GatewayState, LimitNotice, ToleranceNotice, UpstreamNotice,
    adapter_use::AdapterUse, places::PlaceSearch, process_watch::ProcessEvidence,
    state::DemandEvent,
};
use futures_lite::FutureExt;
use sequoiawing_policy::serving::{Assignment, AttemptOutcome, BalancerRequest, PickResult};
use sequoiawing_router::{Code, Refused};
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, RequestRate, Time};
use std::{sync::Arc, time::Duration};

/// Divides the route's latency target to get the longest wait for capacity. A
/// longer wait only delays the refusal of callers that are refused anyway.
const CAPACITY_WAIT_DIVISOR: u32 = 8;

/// Divides the remaining time to get the longest wait for a model load.
const LOAD_WAIT_DIVISOR: u32 = 2;

/// The longest wait for a model load on routes with a shorter latency target.
/// Loads from memory and disk finish within it.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1_500);

/// Divides the remaining time to get the longest wait for notice of a load.
const PROPAGATION_WAIT_DIVISOR: u32 = 4;

/// Divides the remaining time to get the longest wait for notice of a load on routes whose
/// requests can wait for one. Engines load the models of waiting requests in turns.
const PATIENT_WAIT_DIVISOR: u32 = 3;

/// Divides the remaining time of a request that takes a stream up to get the time that is
/// kept for the rest of the stream. Most of its work is done, and its caller has already
/// waited for longer than the latency target.
const TAKE_UP_RESERVE_DIVISOR: u32 = 4;

/// How long a request waits past the estimated end of a load, since the
/// upstream's announcement arrives with the next report.
const LOAD_SLACK: Duration = Duration::from_millis(300);

/// The retry delay for callers whose request finds no part of brittle upstreams while the
/// hub that gives out places is out of reach. By then it is usually found.
const ALONE_RETRY: Duration = Duration::from_secs(1);

/// How often a waiting request looks for a place at brittle upstreams.
const PLACE_INTERVAL: Duration = Duration::from_millis(50);

/// The retry delay for callers whose model is not being loaded.
const MODEL_MISSING_RETRY: Duration = Duration::from_millis(1_500);

/// The retry delay for callers while no upstream is known.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// A slot for one request at an upstream, released on drop.
pub(crate) struct Slot {
    state: Arc<GatewayState>,
    pub(crate) assignment: Assignment,
    /// When the slot was assigned, just before the request is sent.
    pub(crate) assigned: Time,
    /// When the upstream's answer began.
    pub(crate) begun: Option<Time>,
    /// What shows that the upstream's process lives on, if its answer may need that.
    pub(crate) process: Option<ProcessEvidence>,
    /// The number of its place, if the upstream is brittle.
    place: Option<u64>,
    /// Counts the adapter of the request as in use.
    _adapter: Option<AdapterUse>,
    outcome: AttemptOutcome,
}

impl Slot {
    /// Returns the name of the upstream.
    pub(crate) fn upstream(&self) -> &Name {
        &self.assignment.name
    }

    /// Returns the milliseconds since the slot was assigned.
    pub(crate) fn millis_since_assigned(&self) -> u64 {
        let elapsed = self.state.now().since(self.assigned);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Applies what the head of an answer says of the upstream.
    pub(crate) fn apply_notice(&self, notice: &UpstreamNotice) {
        if let Some(load) = notice.load {
            self.state.report_load(&self.assignment, load);
        }
        match notice.limit {
            LimitNotice::Limited(rate) => self.observe_limit(Some(rate)),
            LimitNotice::Unlimited => self.observe_limit(None),
            LimitNotice::Unknown => {}
        }
        match notice.tolerance {
            ToleranceNotice::Brittle(rate) => self.observe_tolerance(Some(rate)),
            ToleranceNotice::Sound => self.observe_tolerance(None),
            ToleranceNotice::Unknown => {}
        }
        if let Some(left) = notice.cold {
            self.state.observe_cold(&self.assignment, left);
        }
        if notice.is_leaving {
            self.state.record_departure(&self.assignment);
        }
        if let Some(span) = notice.retry_after {
            self.state.request_backoff(self.upstream(), span);
        }
    }

    /// Records the limit that the upstream named in its answer.
    fn observe_limit(&self, limit: Option<RequestRate>) {
        let now = self.state.now();
        let mut balancer = self.state.balancer.lock();
        let has_changed = balancer.observe_limit(now, self.assignment.key, self.assigned, limit);
        drop(balancer);
        if has_changed {
            log::info!(
                target: "gateway", upstream = self.upstream().as_str(),
                start = self.assignment.epoch, limit = limit.map(|l| l.to_string());
                "Limit of the upstream changed."
            );
        }
    }

    /// Records how many requests the upstream can reject, as it said in its answer.
    fn observe_tolerance(&self, tolerance: Option<RequestRate>) {
        let now = self.state.now();
        let key = self.assignment.key;
        let mut balancer = self.state.balancer.lock();
        let has_changed = balancer.observe_tolerance(now, key, self.assigned, tolerance);
        drop(balancer);
        if has_changed {
            log::info!(
                target: "gateway", upstream = self.upstream().as_str(),
                start = self.assignment.epoch, rejections = tolerance.map(|t| t.to_string());
                "Tolerance of the upstream changed."
            );
        }
    }

    /// Releases the slot with the outcome of the request.
    pub(crate) fn release(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.release(&self.assignment, self.outcome);
        if let Some(place) = self.place {
            let is_rejected = self.outcome == AttemptOutcome::Full;
            self.state.end_place(place, is_rejected);
        }
    }
}

impl GatewayState {
    /// Records that the upstream of a waiting request is silent, or that it has
    /// gone on.
    pub(crate) fn set_responsive(&self, assignment: &Assignment, is_responsive: bool) {
        let mut balancer = self.balancer.lock();
        balancer.set_responsive(self.now(), assignment.key, is_responsive);
        drop(balancer);
        if is_responsive {
            self.upstreams_changed.notify(usize::MAX);
        } else {
            self.client.close_idle(assignment.address);
            self.urgent_report.notify(usize::MAX);
        }
    }
}

/// A search for a slot at an upstream.
pub(crate) struct SlotSearch<'a> {
    state: &'a Arc<GatewayState>,
    exchange: &'a GatewayExchange,
    started: Time,
    is_demand_recorded: bool,
}

impl<'a> SlotSearch<'a> {
    pub(crate) fn new(state: &'a Arc<GatewayState>, exchange: &'a GatewayExchange) -> Self {
        Self {
            state,
            exchange,
            started: state.now(),
            is_demand_recorded: false,
        }
    }

    /// Returns a slot if one is available now.
    pub(crate) fn try_acquire(&self, request: &BalancerRequest) -> Option<Slot> {
        match self.pick(request) {
            PickResult::Assigned(assignment) => Some(self.slot(assignment, None)),
            _ => None,
        }
    }

    /// Chooses an upstream, unless the request needs a software version and this host may
    /// know outdated ones.
    fn pick(&self, request: &BalancerRequest) -> PickResult {
        if self.is_version_unsure(request) {
            return PickResult::NoUpstream;
        }
        self.state.pick(request)
    }

    fn is_version_unsure(&self, request: &BalancerRequest) -> bool {
        request.software.is_some() && self.state.has_outdated_versions()
    }

    fn slot(&self, assignment: Assignment, place: Option<u64>) -> Slot {
        Slot {
            state: self.state.clone(),
            assignment,
            assigned: self.state.now(),
            begun: None,
            process: None,
            place,
            _adapter: self.state.use_adapter(self.exchange),
            outcome: AttemptOutcome::Cancelled,
        }
    }

    /// Waits for a slot, as long as one is likely to become available in time.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no slot became available.
    pub(crate) async fn acquire(&mut self, request: &BalancerRequest) -> Result<Slot, Refused> {
        let mut request = request.clone();
        // When a request that finds no place at brittle upstreams may come back.
        let mut crowded = None;
        loop {
            let changed = self.state.upstreams_changed.listen();
            let (until, refused) = match self.pick(&request) {
                PickResult::Assigned(assignment) => return Ok(self.slot(assignment, None)),
                PickResult::NoUpstream if self.is_version_unsure(&request) => {
                    self.state.urgent_report.notify(usize::MAX);
                    let problem = "the software versions of upstreams were not heard of lately";
                    let refused = Refused::new(Code::NoUpstream, problem);
                    let delay = self.state.propagation_delay();
                    let remaining = self.exchange.remaining(self.started);
                    let until = self.started + delay.min(remaining / PROPAGATION_WAIT_DIVISOR);
                    (until, refused.with_retry_after(NO_UPSTREAM_RETRY))
                }
                PickResult::NeedsPlace(candidates) => {
                    let retry = match self.state.find_place(&request, &candidates).await {
                        PlaceSearch::Found(assignment, place) => {
                            return Ok(self.slot(assignment, Some(place)));
                        }
                        PlaceSearch::Crowded(retry) => retry,
                        PlaceSearch::Alone => ALONE_RETRY,
                    };
                    crowded = crowded.max(Some(retry));
                    let names = candidates.into_iter().map(|candidate| candidate.name);
                    request.crowded.extend(names);
                    continue;
                }
                PickResult::Full(_) if let Some(retry) = crowded => {
                    self.record_demand(&request, DemandEvent::Saturated);
                    let problem = "no brittle upstream that can serve the request has a place";
                    let refused = Refused::new(Code::Overloaded, problem).with_retry_after(retry);
                    (self.capacity_deadline(), refused)
                }
                PickResult::Full(retry) => {
                    self.record_demand(&request, DemandEvent::Saturated);
                    let problem = "all upstreams that can serve the request are full";
                    let refused = Refused::new(Code::Overloaded, problem).with_retry_after(retry);
                    (self.capacity_deadline(), refused)
                }
                PickResult::BackingOff(wait) => self.wait_for_backoff(&request, wait),
                PickResult::Limited(retry) => self.wait_for_token(&request, retry),
                PickResult::NotLoaded => self.wait_for_model(&request),
                PickResult::Evacuated => (self.started, self.state.refuse_evacuated()),
                PickResult::NoUpstream => {
                    let problem = if request.software.is_some() {
                        "no upstream of the software version that began the stream is known"
                    } else {
                        "no upstream of the pool is known"
                    };
                    let refused =
                        Refused::new(Code::NoUpstream, problem).with_retry_after(NO_UPSTREAM_RETRY);
                    (self.capacity_deadline(), refused)
                }
            };
            let now = self.state.now();
            let until = until.min(self.exchange.deadline);
            if now >= until {
                return Err(refused);
            }
            // A load that ends changes no state here.
            let expected = self.state.next_expected(&request);
            let mut wake = expected.map_or(until, |ready| until.min(ready));
            if crowded.take().is_some() {
                wake = wake.min(now + PLACE_INTERVAL);
            }
            log::debug!(
                target: "gateway", request = self.exchange.meta.id.as_str(),
                cause = refused.message.as_str(),
                wait_ms = u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX);
                "Request waits for an upstream."
            );
            request.is_waiting = true;
            request.crowded.clear();
            sleep(wake - now).or(changed).await;
        }
    }

    /// Records unmet demand for the hubs, once per request.
    fn record_demand(&mut self, request: &BalancerRequest, event: DemandEvent) {
        if !self.is_demand_recorded {
            self.is_demand_recorded = true;
            self.state.record_demand(request, event);
        }
    }

    /// Returns the time until which the request waits for capacity.
    fn capacity_deadline(&self) -> Time {
        self.started + self.exchange.route.target_latency() / CAPACITY_WAIT_DIVISOR
    }

    /// Returns the time until which a request waits for the end of a backoff that all
    /// upstreams asked for, and the refusal after it. It does not wait for an end that is
    /// far off.
    fn wait_for_backoff(&mut self, request: &BalancerRequest, wait: Duration) -> (Time, Refused) {
        self.record_demand(request, DemandEvent::Saturated);
        let retry = self.state.common_backoff(request).unwrap_or(wait);
        let problem = "all upstreams that can serve the request want no requests for now";
        let refused = Refused::new(Code::Overloaded, problem).with_retry_after(retry);
        let due = self.state.now() + wait;
        let is_near = due <= self.capacity_deadline();
        (if is_near { due } else { self.started }, refused)
    }

    /// Returns the time until which a request waits for a token of a limited upstream,
    /// and the refusal after it. It does not wait if others have used up the limit for
    /// longer than that.
    fn wait_for_token(&mut self, request: &BalancerRequest, retry: Duration) -> (Time, Refused) {
        self.record_demand(request, DemandEvent::Saturated);
        self.state.urgent_report.notify(usize::MAX);
        let problem = "the limits of all upstreams that can serve the request are used up";
        let refused = Refused::new(Code::Overloaded, problem).with_retry_after(retry);
        let remaining = self.exchange.remaining(self.started);
        let delay = self.state.propagation_delay();
        let delay = delay.min(remaining / PROPAGATION_WAIT_DIVISOR);
        let until = if retry <= delay {
            self.started + delay
        } else {
            self.started
        };
        (until, refused)
    }

    /// Returns the time until which a request waits for a model that no upstream
    /// has loaded, and the refusal after it.
    fn wait_for_model(&mut self, request: &BalancerRequest) -> (Time, Refused) {
        let now = self.state.now();
        let remaining = self.exchange.remaining(self.started);
        // While no leader orders loads, or none is planned, a request that comes back
        // finds no more than one that waits.
        let target = self.exchange.route.target_latency();
        let is_take_up = request.software.is_some();
        let patience = remaining.saturating_sub(remaining / TAKE_UP_RESERVE_DIVISOR);
        let notice = if self.state.is_isolated() {
            Duration::ZERO
        } else if is_take_up {
            patience
        } else if self.state.settings.is_patient(target) {
            target.min(remaining / PATIENT_WAIT_DIVISOR)
        } else {
            target.min(remaining / PROPAGATION_WAIT_DIVISOR)
        };
        let ready = self.state.time_until_loaded(request);
        let refuse = |retry| {
            let problem = "no upstream has the model loaded";
            Refused::new(Code::NoUpstream, problem).with_retry_after(retry)
        };
        let Some(ready) = ready else {
            let until = (self.started + notice).max(self.capacity_deadline());
            // Another request's call may have ended without a load.
            self.state.request_load(request, until.since(now));
            return (until, refuse(MODEL_MISSING_RETRY));
        };
        let wait = ready + LOAD_SLACK;
        let bound = if is_take_up {
            patience
        } else {
            let longest = MAX_LOAD_WAIT.max(target);
            (remaining / LOAD_WAIT_DIVISOR).min(longest)
        };
        if now + wait <= self.started + bound {
            return (now + wait, refuse(LOAD_SLACK));
        }
        (self.capacity_deadline(), refuse(wait))
    }
}

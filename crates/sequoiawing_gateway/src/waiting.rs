//! Requests on their way to an upstream.

use crate::{GatewayExchange, GatewayState, state::Noted};
use futures_lite::FutureExt;
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, BalancerRequest, PickResult, ReportedLoad,
};
use sequoiawing_router::{Code, Refused};
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, Time};
use std::{sync::Arc, time::Duration};

/// The part of the aim for which a request waits for room; what it waits
/// beyond is lost to a caller that is refused in the end.
const ROOM_PART: u32 = 8;

/// The part of the time left for which a request waits for a load.
const LOAD_PART: u32 = 2;

/// The longest wait for a load where the aim is shorter; loads from memory and
/// disk are done by then.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(1_500);

/// The part of the time left for which a request waits for word of a load.
const NEWS_PART: u32 = 4;

/// How long after its estimated end a load is still waited for: announcements
/// travel with the next report.
const LOAD_SLACK: Duration = Duration::from_millis(300);

/// When a caller may come back whose model is not being loaded.
const ABSENT_RETRY: Duration = Duration::from_millis(1_500);

/// When a caller may come back when no upstream is known.
const EMPTY_RETRY: Duration = Duration::from_millis(500);

/// A place at an upstream, given back when it is dropped.
pub(crate) struct Slot {
    state: Arc<GatewayState>,
    pub(crate) assigned: Assignment,
    ended: AttemptOutcome,
}

impl Slot {
    /// Returns the upstream's name.
    pub(crate) fn upstream(&self) -> &Name {
        &self.assigned.name
    }

    /// Takes in the load that the upstream reported.
    pub(crate) fn report(&self, load: ReportedLoad) {
        self.state.report(&self.assigned, load);
    }

    /// Gives the place back, and says how the request ended.
    pub(crate) fn end(mut self, ended: AttemptOutcome) {
        self.ended = ended;
    }

    /// Says how the request ended when the place is given back.
    pub(crate) fn note(&mut self, ended: AttemptOutcome) {
        self.ended = ended;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.end(&self.assigned, self.ended);
    }
}

/// A search for an upstream.
pub(crate) struct Search<'a> {
    state: &'a Arc<GatewayState>,
    exchange: &'a GatewayExchange,
    started: Time,
    is_noted: bool,
}

impl<'a> Search<'a> {
    pub(crate) fn new(state: &'a Arc<GatewayState>, exchange: &'a GatewayExchange) -> Self {
        Self {
            state,
            exchange,
            started: state.now(),
            is_noted: false,
        }
    }

    /// Returns a place at an upstream if one is free now.
    pub(crate) fn try_once(&self, work: &BalancerRequest) -> Option<Slot> {
        match self.state.pick(work) {
            PickResult::Assigned(assigned) => Some(self.slot(assigned)),
            _ => None,
        }
    }

    fn slot(&self, assigned: Assignment) -> Slot {
        Slot {
            state: self.state.clone(),
            assigned,
            ended: AttemptOutcome::Cancelled,
        }
    }

    /// Waits for a place at an upstream, as long as that is of use.
    pub(crate) async fn run(&mut self, work: &BalancerRequest) -> Result<Slot, Refused> {
        loop {
            let changed = self.state.changed.listen();
            let (until, refused) = match self.state.pick(work) {
                PickResult::Assigned(assigned) => return Ok(self.slot(assigned)),
                PickResult::Full(retry) => {
                    self.note(work, Noted::Crowded);
                    let problem = "all upstreams that can serve the request are full";
                    let refused = Refused::new(Code::Overloaded, problem).with_retry(retry);
                    (self.room_limit(), refused)
                }
                PickResult::NotLoaded => self.absent(work),
                PickResult::NoUpstream => {
                    let problem = "no upstream of the pool is known";
                    let refused = Refused::new(Code::NoUpstream, problem).with_retry(EMPTY_RETRY);
                    (self.room_limit(), refused)
                }
            };
            let now = self.state.now();
            let until = until.min(self.exchange.deadline);
            if now >= until {
                return Err(refused);
            }
            log::debug!(
                target: "gateway", request = self.exchange.call.id.as_str(),
                cause = refused.message.as_str(),
                wait_ms = u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX);
                "A request waits."
            );
            sleep(until - now).or(changed).await;
        }
    }

    /// Tells the hubs once that the request can't be sent.
    fn note(&mut self, work: &BalancerRequest, noted: Noted) {
        if !self.is_noted {
            self.is_noted = true;
            self.state.note_demand(work, noted);
        }
    }

    /// Returns until when the request waits for room.
    fn room_limit(&self) -> Time {
        self.started + self.exchange.route.aim() / ROOM_PART
    }

    /// Decides about a request whose model no upstream has.
    fn absent(&mut self, work: &BalancerRequest) -> (Time, Refused) {
        self.note(work, Noted::Missed);
        let now = self.state.now();
        let wanted = work.adapter.as_ref().or(work.model.as_ref());
        let ready = wanted.and_then(|model| self.state.load_ready(&work.pool, model));
        let refuse = |retry| {
            let problem = "no upstream has the model loaded";
            Refused::new(Code::NoUpstream, problem).with_retry(retry)
        };
        let left = self.exchange.left(self.started);
        let Some(ready) = ready else {
            // Whether the model is being loaded is known when a report has gone
            // to the leader and its order has come back.
            let news = self.state.news_time().min(left / NEWS_PART);
            let until = (self.started + news).max(self.room_limit());
            return (until, refuse(ABSENT_RETRY));
        };
        let wait = ready + LOAD_SLACK;
        let longest = MAX_LOAD_WAIT.max(self.exchange.route.aim());
        let bound = (left / LOAD_PART).min(longest);
        if now + wait <= self.started + bound {
            return (now + wait, refuse(LOAD_SLACK));
        }
        (self.room_limit(), refuse(wait))
    }
}

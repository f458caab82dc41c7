use super::PartMemory;
use sequoiawing_fleet::UpstreamState;
use sequoiawing_types::Time;
use std::{sync::Arc, time::Duration};

/// How long a reported load counts; an engine runs most requests of that
/// moment to their end by then.
const LOAD_LIFE: Duration = Duration::from_secs(2);

/// How long an upstream is left alone after it could not be reached, at first.
const BACKOFF: Duration = Duration::from_millis(250);

/// How long it is left alone at most; its silence is known by then.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a failure to reach it is told to others, unless it was reached
/// again.
const MISSED_LIFE: Duration = Duration::from_secs(4);

/// How long it is told to others that it was reached: what answered before it
/// crashed must not outvote those that fail to reach it since.
const REACHED_LIFE: Duration = Duration::from_millis(600);

/// The weight of the newest end in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// What an upstream says of its load in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait at it.
    pub waiting: u32,
    /// The requests that it runs at once.
    pub slots: u32,
}

/// What a host knows of one upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) state: Arc<UpstreamState>,
    /// The requests of this host.
    pub(super) open: u32,
    /// The requests of other hosts, when it was last told.
    others: u32,
    others_at: Time,
    pub(super) is_silent: bool,
    /// When it may be tried again.
    pub(super) resting: Time,
    misses: u32,
    /// When it could not be reached last.
    missed: Time,
    /// When it answered last.
    reached: Option<Time>,
    /// The share of requests that failed lately.
    failures: f64,
    pub(super) parts: PartMemory,
}

impl Upstream {
    pub(super) fn new(state: Arc<UpstreamState>, kept: u64) -> Self {
        Self {
            state,
            open: 0,
            others: 0,
            others_at: Time::ZERO,
            is_silent: false,
            resting: Time::ZERO,
            misses: 0,
            missed: Time::ZERO,
            reached: None,
            failures: 0.0,
            parts: PartMemory::new(kept),
        }
    }

    /// Returns the requests that it is estimated to have.
    pub(super) fn load(&self, now: Time) -> u32 {
        let is_fresh = now < self.others_at + LOAD_LIFE;
        self.open + if is_fresh { self.others } else { 0 }
    }

    /// Takes in the load that an answer reported.
    pub(super) fn report(&mut self, now: Time, load: ReportedLoad) {
        let total = load.running + load.waiting;
        self.others = total.saturating_sub(self.open);
        self.others_at = now;
    }

    /// Notes that it took no more requests.
    pub(super) fn fill(&mut self, now: Time) {
        self.others = self.others.max(self.state.slots);
        self.others_at = now;
        self.resting = self.resting.max(now + BACKOFF / 2);
    }

    /// Notes that it answered, whatever it said.
    pub(super) fn reach(&mut self, now: Time) {
        self.reached = Some(now);
        self.misses = 0;
    }

    /// Reports whether it could not be reached when that was last tried.
    pub(super) fn is_missed(&self, now: Time) -> bool {
        self.misses > 0 && now < self.missed + MISSED_LIFE
    }

    /// Reports whether it answered when it was last tried.
    pub(super) fn is_reached(&self, now: Time) -> bool {
        let is_fresh = |at: Time| now < at + REACHED_LIFE;
        self.misses == 0 && self.reached.is_some_and(is_fresh)
    }

    /// Notes that it could not be reached, or sent nothing.
    pub(super) fn miss(&mut self, now: Time) {
        let pause = BACKOFF * 2_u32.saturating_pow(self.misses.min(8));
        self.resting = now + pause.min(MAX_BACKOFF);
        self.misses += 1;
        self.missed = now;
        self.count(1.0);
    }

    /// Reports whether it rests because it could not be reached.
    pub(super) fn is_unreachable(&self, now: Time) -> bool {
        self.misses > 0 && now < self.resting
    }

    pub(super) fn succeed(&mut self) {
        self.count(0.0);
    }

    pub(super) fn fail(&mut self) {
        self.count(1.0);
    }

    fn count(&mut self, failure: f64) {
        self.failures += (failure - self.failures) * FAILURE_WEIGHT;
    }

    /// Returns the share of requests that failed lately.
    pub(super) fn failures(&self) -> f64 {
        self.failures
    }
}

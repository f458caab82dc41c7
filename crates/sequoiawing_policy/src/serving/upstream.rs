use super::{NamedLimit, PrefixCache, upstream_limit::HostLimit};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_types::{RequestRate, Time};
use std::{sync::Arc, time::Duration};

/// How long a reported load stays valid. After this time an engine has finished
/// most of the requests that it counted.
const LOAD_TTL: Duration = Duration::from_secs(2);

/// The backoff after the first failure to reach an upstream.
const BACKOFF: Duration = Duration::from_millis(250);

/// The longest backoff. By then the other hosts know that the upstream is
/// silent.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a failure to reach an upstream is reported to other hosts, unless
/// it answers before.
const UNREACHABLE_TTL: Duration = Duration::from_secs(4);

/// How long a successful contact is reported to other hosts. An answer from
/// before a crash must not outvote the hosts that have failed to reach the
/// upstream since.
const REACHED_TTL: Duration = Duration::from_millis(600);

/// The weight of the newest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// The load that an upstream reports with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
}

/// The state that a host keeps for one upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) state: Arc<UpstreamState>,
    /// The requests that this host has open.
    pub(super) open: u32,
    /// The requests of other hosts, as of the last report.
    other_open: u32,
    other_open_at: Time,
    pub(super) is_silent: bool,
    /// The earliest time of the next attempt.
    pub(super) retry_at: Time,
    unreachable_count: u32,
    /// The time of the last failure to reach the upstream.
    unreachable_at: Time,
    /// The time of the last answer.
    reached_at: Option<Time>,
    /// The moving average of failed requests, from 0 to 1.
    failure_rate: f64,
    pub(super) prefixes: PrefixCache,
    /// The limit that it names.
    pub(super) limit: HostLimit,
    /// The rejections per second above which it says that it falls over.
    pub(super) tolerance: NamedLimit,
}

impl Upstream {
    pub(super) fn new(state: Arc<UpstreamState>, cache_tokens: u64) -> Self {
        Self {
            state,
            open: 0,
            other_open: 0,
            other_open_at: Time::ZERO,
            is_silent: false,
            retry_at: Time::ZERO,
            unreachable_count: 0,
            unreachable_at: Time::ZERO,
            reached_at: None,
            failure_rate: 0.0,
            prefixes: PrefixCache::new(cache_tokens),
            limit: HostLimit::default(),
            tolerance: NamedLimit::default(),
        }
    }

    /// Returns the rejections per second above which it falls over; `None` if it is not
    /// brittle. One that has not answered yet counts like the others of its pool.
    pub(super) fn tolerance(&self, of_pool: Option<RequestRate>) -> Option<RequestRate> {
        match self.tolerance.last() {
            Some(last) => last.rate,
            None => of_pool,
        }
    }

    /// Estimates the number of requests at the upstream.
    pub(super) fn load(&self, now: Time) -> u32 {
        let is_fresh = now < self.other_open_at + LOAD_TTL;
        let other = if is_fresh { self.other_open } else { 0 };
        self.open.saturating_add(other)
    }

    /// Returns the time since the upstream reported its load; `None` if that is outdated.
    pub(super) fn load_age(&self, now: Time) -> Option<Duration> {
        let age = now.since(self.other_open_at);
        (self.other_open_at > Time::ZERO && age < LOAD_TTL).then_some(age)
    }

    /// Applies the load reported with an answer.
    pub(super) fn report(&mut self, now: Time, load: ReportedLoad) {
        let total = load.running.saturating_add(load.waiting);
        self.other_open = total.saturating_sub(self.open);
        self.other_open_at = now;
    }

    /// Records that the upstream refused a request because it is full.
    pub(super) fn record_full(&mut self, now: Time) {
        self.other_open = self.other_open.max(self.state.slots);
        self.other_open_at = now;
        self.retry_at = self.retry_at.max(now + BACKOFF / 2);
    }

    /// Records that the upstream answered, whatever the status.
    pub(super) fn record_answer(&mut self, now: Time) {
        self.reached_at = Some(now);
        self.unreachable_count = 0;
    }

    /// Records that a silent upstream went on, and ends its backoff.
    pub(super) fn record_recovery(&mut self, now: Time) {
        if self.unreachable_count > 0 {
            self.retry_at = now;
        }
        self.record_answer(now);
    }

    /// Ends the backoff after failures to reach the upstream.
    pub(super) fn end_backoff(&mut self, now: Time) {
        if self.unreachable_count > 0 {
            self.retry_at = now;
            self.unreachable_count = 0;
        }
    }

    /// Returns `true` if the last attempt to reach the upstream failed
    /// recently.
    pub(super) fn was_unreachable(&self, now: Time) -> bool {
        self.unreachable_count > 0 && now < self.unreachable_at + UNREACHABLE_TTL
    }

    /// Returns `true` if the upstream answered the last attempt, and did so
    /// recently.
    pub(super) fn is_reached(&self, now: Time) -> bool {
        let is_fresh = |at: Time| now < at + REACHED_TTL;
        self.unreachable_count == 0 && self.reached_at.is_some_and(is_fresh)
    }

    /// Records that the upstream could not be reached or sent no response.
    pub(super) fn record_unreachable(&mut self, now: Time) {
        let backoff = BACKOFF * 2_u32.saturating_pow(self.unreachable_count.min(8));
        self.retry_at = now + backoff.min(MAX_BACKOFF);
        self.unreachable_count += 1;
        self.unreachable_at = now;
        self.update_failures(1.0);
    }

    /// Returns `true` during the backoff after a failure to reach the upstream.
    pub(super) fn is_backing_off(&self, now: Time) -> bool {
        self.unreachable_count > 0 && now < self.retry_at
    }

    pub(super) fn record_success(&mut self) {
        self.update_failures(0.0);
    }

    pub(super) fn record_failure(&mut self) {
        self.update_failures(1.0);
    }

    fn update_failures(&mut self, failure: f64) {
        self.failure_rate += (failure - self.failure_rate) * FAILURE_WEIGHT;
    }

    /// Returns the moving average of failed requests, from 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}

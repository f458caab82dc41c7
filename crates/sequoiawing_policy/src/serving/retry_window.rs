use crate::serving::FleetSize;
use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

/// The number of buckets into which a window is divided.
const BUCKETS: u32 = 10;

/// The share of the limits that a host uses, in percent. The remainder allows
/// for windows of hosts that are not aligned with those in which the limits are
/// checked.
const USED_PERCENT: u64 = 60;

/// The retry limits of a pool over all hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// The retries allowed per request, in thousandths.
    pub ratio: u64,
    /// The retries allowed per window in addition, over all hosts.
    pub slack: u64,
    /// The length of the window.
    pub window: Duration,
}

/// Whether a retry is allowed, with the figures that decided it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is allowed.
    pub is_granted: bool,
    /// The requests within the window on this host.
    pub requests: u64,
    /// The retries granted within the window on this host before.
    pub retries: u64,
    /// The retries allowed within the window on this host.
    pub limit: u64,
    /// Whether the limit contains a share of the slack.
    pub has_share: bool,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Time,
    requests: u64,
    retries: u64,
}

/// Counts the requests and retries of one pool on one host in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Time, limits: &RetryLimits) {
        self.bucket(now, limits).requests += 1;
    }

    /// Records a retry if the limits allow it and returns the decision.
    pub fn try_retry(
        &mut self,
        now: Time,
        limits: &RetryLimits,
        fleet: &FleetSize,
    ) -> RetryDecision {
        self.bucket(now, limits);
        let requests: u64 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u64 = self.buckets.iter().map(|b| b.retries).sum();
        let sharers = fleet.sharers(now, limits.window);
        let share = sharers.map_or(0, |hosts| limits.slack * 1_000 / u64::from(hosts));
        let limit = (requests * limits.ratio + share) * USED_PERCENT / 100 / 1_000;
        let is_granted = retries < limit;
        if is_granted {
            self.bucket(now, limits).retries += 1;
        }
        RetryDecision {
            is_granted,
            requests,
            retries,
            limit,
            has_share: sharers.is_some(),
        }
    }

    fn bucket(&mut self, now: Time, limits: &RetryLimits) -> &mut Bucket {
        let is_old = |b: &Bucket| now.since(b.start) >= limits.window;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        let span = limits.window / BUCKETS;
        let is_current = |b: &Bucket| now.since(b.start) < span;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("one was just added")
    }
}

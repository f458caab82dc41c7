use crate::serving::FleetSize;
use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

/// The number of buckets into which a window is divided.
const BUCKETS: u32 = 10;

/// The part of the retries earned by requests that a host uses, in percent. The
/// remainder allows for windows of hosts that are not aligned with those in which
/// the limits are checked.
const EARNED_PERCENT: u64 = 60;

/// The part of its share of the slack that a host uses, in percent. Both halves of a
/// partitioned fleet keep the limits together if each knows only itself.
const SLACK_PERCENT: u64 = 50;

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
    /// This host's share of the slack, in thousandths of a retry.
    pub share: u64,
}

/// The events of a short span.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    first: Time,
    last: Time,
    count: u64,
}

/// Counts events in buckets.
#[derive(Clone, Debug, Default)]
struct BucketCounter {
    buckets: VecDeque<Bucket>,
}

impl BucketCounter {
    fn record(&mut self, now: Time, span: Duration) {
        let current = self.buckets.back_mut();
        if let Some(bucket) = current.filter(|b| now.since(b.first) < span) {
            bucket.last = now;
            bucket.count += 1;
            return;
        }
        self.buckets.push_back(Bucket {
            first: now,
            last: now,
            count: 1,
        });
    }

    /// Drops the buckets at the front for which `is_old` returns true.
    fn drop_while<F>(&mut self, is_old: F)
    where
        F: Fn(&Bucket) -> bool,
    {
        while self.buckets.front().is_some_and(&is_old) {
            self.buckets.pop_front();
        }
    }

    fn total(&self) -> u64 {
        self.buckets.iter().map(|b| b.count).sum()
    }
}

/// Counts the requests and retries of one pool on one host in a sliding window.
///
/// Both counts err on the side of fewer retries: a bucket of requests is dropped
/// when its first one leaves the window, a bucket of retries with its last one.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: BucketCounter,
    retries: BucketCounter,
}

impl RetryWindow {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Time, limits: &RetryLimits) {
        self.expire(now, limits.window);
        self.requests.record(now, limits.window / BUCKETS);
    }

    /// Records a retry if the limits allow it and returns the decision.
    pub fn try_retry(
        &mut self,
        now: Time,
        limits: &RetryLimits,
        fleet: &FleetSize,
    ) -> RetryDecision {
        self.expire(now, limits.window);
        let (requests, retries) = (self.requests.total(), self.retries.total());
        let share = fleet.share(limits.slack, limits.window);
        let earned = requests * limits.ratio * EARNED_PERCENT;
        let limit = (earned + share * SLACK_PERCENT) / 100 / 1_000;
        let is_granted = retries < limit;
        if is_granted {
            self.retries.record(now, limits.window / BUCKETS);
        }
        RetryDecision {
            is_granted,
            requests,
            retries,
            limit,
            share,
        }
    }

    fn expire(&mut self, now: Time, window: Duration) {
        self.requests.drop_while(|b| now.since(b.first) >= window);
        self.retries.drop_while(|b| now.since(b.last) >= window);
    }
}

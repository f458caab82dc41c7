//! Limits the retries of a customer's requests to a pool.

#[cfg(test)]
mod tests;

use sequoiawing_types::{Name, Time};
use std::collections::HashMap;

/// The credit that each first attempt adds, in thousandths of a retry.
const CREDIT_PER_ATTEMPT: u64 = 200;

/// The credit that is added per second, in thousandths of a retry, so that
/// callers with few requests can retry as well.
const CREDIT_PER_SECOND: u64 = 1_000;

/// The cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;

/// The maximum credit, in thousandths of a retry. It must cover the requests of
/// a runner that fails with all of its slots in use.
const MAX_CREDIT: u64 = 100_000;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: u64,
    refilled_at: Time,
}

/// Limits retries to a fraction of first attempts, per customer and pool.
///
/// A pool that fails all requests then receives only slightly more than its
/// callers send, and customers do not use up each other's retries. See
/// [docs/design/retries.md](../../../docs/design/retries.md).
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    buckets: HashMap<(Name, Name), Bucket>,
}

impl RetryBudget {
    /// Records a first attempt, which adds credit for a fraction of a retry.
    pub(crate) fn record_attempt(&mut self, now: Time, customer: &Name, pool: &Name) {
        let bucket = self.bucket(now, customer, pool);
        bucket.credit = (bucket.credit + CREDIT_PER_ATTEMPT).min(MAX_CREDIT);
    }

    /// Charges one retry and reports whether the credit allows it.
    pub(crate) fn try_retry(&mut self, now: Time, customer: &Name, pool: &Name) -> bool {
        let bucket = self.bucket(now, customer, pool);
        let is_allowed = bucket.credit >= RETRY_COST;
        if is_allowed {
            bucket.credit -= RETRY_COST;
        }
        is_allowed
    }

    fn bucket(&mut self, now: Time, customer: &Name, pool: &Name) -> &mut Bucket {
        let full = Bucket {
            credit: MAX_CREDIT,
            refilled_at: now,
        };
        let key = (customer.clone(), pool.clone());
        let bucket = self.buckets.entry(key).or_insert(full);
        let micros = u64::try_from(now.since(bucket.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(CREDIT_PER_SECOND) / 1_000_000;
        if refill > 0 {
            bucket.credit = bucket.credit.saturating_add(refill).min(MAX_CREDIT);
            bucket.refilled_at = now;
        }
        bucket
    }
}

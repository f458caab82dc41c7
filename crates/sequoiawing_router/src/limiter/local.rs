use super::{Limiter, Reservation, ReserveFuture};
use parking_lot::Mutex;
use sequoiawing_budget::Denial;
use sequoiawing_tables::Customer;
use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, time::Duration};

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: u64,
    refilled_at: Time,
}

/// Limits customers by the requests of this host only.
///
/// It is exact only in deployments with a single router. It also serves as the
/// baseline for comparison with shared budgets.
#[derive(Debug, Default)]
pub struct LocalLimiter {
    buckets: Mutex<HashMap<Name, Bucket>>,
}

impl LocalLimiter {
    fn try_reserve(&self, now: Time, customer: &Customer, tokens: u64) -> Result<(), Denial> {
        let mut buckets = self.buckets.lock();
        let full = Bucket {
            tokens: customer.burst,
            refilled_at: now,
        };
        let bucket = buckets.entry(customer.name.clone()).or_insert(full);
        refill(bucket, now, customer);
        if tokens <= bucket.tokens {
            bucket.tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - bucket.tokens;
        let micros = missing.saturating_mul(1_000_000) / customer.rate.max(1);
        Err(Denial::Exhausted(Duration::from_micros(micros)))
    }
}

fn refill(bucket: &mut Bucket, now: Time, customer: &Customer) {
    let micros = u64::try_from(now.since(bucket.refilled_at).as_micros()).unwrap_or(u64::MAX);
    let refill = micros.saturating_mul(customer.rate) / 1_000_000;
    if refill == 0 {
        return;
    }
    bucket.tokens = bucket.tokens.saturating_add(refill).min(customer.burst);
    bucket.refilled_at = now;
}

impl Limiter for LocalLimiter {
    fn reserve<'a>(&'a self, now: Time, customer: &'a Customer, tokens: u64) -> ReserveFuture<'a> {
        let result = self.try_reserve(now, customer, tokens);
        Box::pin(async move {
            result.map(|()| Reservation {
                customer: customer.name.clone(),
                tokens,
                charge: None,
            })
        })
    }

    fn settle(&self, _now: Time, reservation: Reservation, used: u64) {
        let mut buckets = self.buckets.lock();
        if let Some(bucket) = buckets.get_mut(&reservation.customer) {
            bucket.tokens += reservation.tokens.saturating_sub(used);
        }
    }
}

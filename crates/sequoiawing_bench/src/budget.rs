use crate::RateScope;
use sequoiawing_tables::Customer;
use sequoiawing_types::{Name, Time};
use std::collections::BTreeMap;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Time,
}

impl TokenBucket {
    #[expect(clippy::cast_precision_loss, reason = "rates are small")]
    fn new(customer: &Customer, fraction: f64) -> Self {
        let burst = customer.burst as f64 * fraction;
        Self {
            rate: customer.rate as f64 * fraction,
            burst,
            level: burst,
            updated: Time::ZERO,
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
    fn try_take(&mut self, now: Time, tokens: u64) -> bool {
        let elapsed_s = now.since(self.updated).as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate).min(self.burst);
        self.updated = now;
        let fits = self.level >= tokens as f64;
        if fits {
            self.level -= tokens as f64;
        }
        fits
    }

    fn set_fraction(&mut self, now: Time, customer: &Customer, fraction: f64) {
        self.try_take(now, 0);
        let resized = Self::new(customer, fraction);
        self.rate = resized.rate;
        self.burst = resized.burst;
        self.level = self.level.min(resized.burst);
    }
}

/// A model of the customers' token budgets.
///
/// It replaces the fleet's budget, which has its own tests, and decides only
/// which requests reach the policies.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    scope: RateScope,
    centres: usize,
    customers: BTreeMap<Name, Customer>,
    buckets: BTreeMap<(Name, usize), TokenBucket>,
    /// The full entitlement of each customer: one bucket across all hosts.
    entitled: BTreeMap<Name, TokenBucket>,
    /// The tokens admitted per customer; must never exceed the entitlement.
    admitted: BTreeMap<Name, u64>,
}

/// The key of the bucket shared by all connected data centres.
const SHARED_BUCKET: usize = usize::MAX;

impl Budget {
    pub(crate) fn new(
        scope: RateScope,
        customers: &[Customer],
        routers: usize,
        centres: usize,
    ) -> Self {
        let mut buckets = BTreeMap::new();
        for customer in customers {
            let name = &customer.name;
            if scope == RateScope::Fleet {
                buckets.insert(
                    (name.clone(), SHARED_BUCKET),
                    TokenBucket::new(customer, 1.0),
                );
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "there are few routers")]
            let fraction = 1.0 / routers as f64;
            for router in 0..routers {
                buckets.insert((name.clone(), router), TokenBucket::new(customer, fraction));
            }
        }
        let names = customers.iter();
        let entitled = names.map(|c| (c.name.clone(), TokenBucket::new(c, 1.0)));
        Self {
            scope,
            centres,
            entitled: entitled.collect(),
            customers: customers
                .iter()
                .map(|c| (c.name.clone(), c.clone()))
                .collect(),
            buckets,
            admitted: BTreeMap::new(),
        }
    }

    /// Gives a disconnected data centre its own bucket, with an equal share
    /// taken from the shared bucket.
    pub(crate) fn disconnect(&mut self, now: Time, centre: usize) {
        if self.scope == RateScope::PerHost {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "there are few data centres")]
        let fraction = 1.0 / self.centres as f64;
        for (name, customer) in &self.customers {
            if let Some(shared) = self.buckets.get_mut(&(name.clone(), SHARED_BUCKET)) {
                let level = shared.level * fraction;
                shared.set_fraction(now, customer, 1.0 - fraction);
                shared.level = shared.level.min(shared.burst) - level.min(shared.level);
                let mut own = TokenBucket::new(customer, fraction);
                own.level = level.min(own.burst);
                own.updated = now;
                self.buckets.insert((name.clone(), centre), own);
            }
        }
    }

    /// Merges a reconnected data centre's bucket back into the shared one.
    pub(crate) fn reconnect(&mut self, now: Time, centre: usize) {
        for (name, customer) in &self.customers {
            let Some(mut own) = self.buckets.remove(&(name.clone(), centre)) else {
                continue;
            };
            own.try_take(now, 0);
            if let Some(shared) = self.buckets.get_mut(&(name.clone(), SHARED_BUCKET)) {
                shared.set_fraction(now, customer, 1.0);
                shared.level = (shared.level + own.level).min(shared.burst);
            }
        }
    }

    /// Charges the tokens of a request. Returns whether the router's bucket
    /// admitted it, and whether the customer was entitled to it.
    pub(crate) fn charge(
        &mut self,
        now: Time,
        customer: &Name,
        router: usize,
        disconnected_centre: Option<usize>,
        tokens: u64,
    ) -> (bool, bool) {
        let entitled = self.entitled.get_mut(customer);
        let entitled = entitled.is_some_and(|b| b.try_take(now, tokens));
        let key = match self.scope {
            RateScope::PerHost => router,
            RateScope::Fleet => disconnected_centre.unwrap_or(SHARED_BUCKET),
        };
        let bucket = self.buckets.get_mut(&(customer.clone(), key));
        let admitted = bucket.is_some_and(|b| b.try_take(now, tokens));
        if admitted {
            *self.admitted.entry(customer.clone()).or_default() += tokens;
        }
        (admitted, entitled)
    }

    /// Returns the number of customers whose admitted tokens exceed
    /// rate × time + burst.
    pub(crate) fn overshoot(&self, now: Time) -> u64 {
        let over = self.admitted.iter().filter(|(name, tokens)| {
            let customer = &self.customers[*name];
            let elapsed_s = now.since(Time::ZERO).as_secs() + 1;
            **tokens > customer.rate * elapsed_s + customer.burst
        });
        over.count() as u64
    }
}

use crate::{CustomerNeed, ReplicaDemand, place::allotments::Target};
use sequoiawing_fleet::Demand;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The latest demand of one router.
#[derive(Clone, Debug)]
struct RouterDemand {
    demand: Demand,
    deadline: Time,
    until: Time,
}

/// The demand of all routers for one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ModelDemand {
    routers: BTreeMap<Name, RouterDemand>,
    /// When the model was first requested.
    pub(crate) since: Time,
    /// The time until which the model is wanted even if no request waits.
    pub(crate) keep_until: Time,
}

impl ModelDemand {
    fn current(&self, now: Time) -> impl Iterator<Item = &RouterDemand> {
        self.routers.values().filter(move |e| e.until > now)
    }

    /// Returns whether other data centres were asked without success.
    pub(crate) fn is_urgent(&self, now: Time) -> bool {
        self.current(now).any(|e| e.demand.urgent)
    }

    pub(crate) fn has_waiting(&self, now: Time) -> bool {
        self.current(now).next().is_some()
    }

    /// Returns the earliest deadline of the waiting requests.
    pub(crate) fn deadline(&self, now: Time) -> Time {
        let deadlines = self.current(now).map(|e| e.deadline);
        deadlines.min().unwrap_or(Time::from_micros(u64::MAX))
    }

    /// Returns the demand of each customer with waiting requests.
    pub(crate) fn shares(&self, now: Time) -> Vec<CustomerNeed> {
        let mut shares: BTreeMap<&Name, CustomerNeed> = BTreeMap::new();
        for share in self.current(now).flat_map(|e| &e.demand.shares) {
            let sum = shares.entry(&share.customer).or_default();
            sum.customer = share.customer.clone();
            sum.weight = sum.weight.max(share.weight);
            sum.tokens += share.tokens;
        }
        shares.into_values().collect()
    }

    /// Returns the sum of the demands of all routers.
    pub(crate) fn sum(&self, now: Time) -> ReplicaDemand {
        let mut sum = ReplicaDemand::default();
        for entry in self.current(now) {
            sum.routers += 1;
            sum.waiting += entry.demand.waiting;
            sum.tokens += entry.demand.tokens;
            sum.token_rate = sum.token_rate.max(entry.demand.pace);
        }
        sum
    }
}

/// The demands of all routers of a data centre, by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTable {
    wanted: BTreeMap<Target, ModelDemand>,
}

impl DemandTable {
    /// Stores a router's latest demand.
    pub(crate) fn update(&mut self, now: Time, demand: &Demand, lifetime: Duration) {
        let target = (demand.pool.clone(), demand.model.clone());
        let wanted = self.wanted.entry(target).or_default();
        if !wanted.has_waiting(now) && wanted.keep_until <= now {
            wanted.since = now;
        }
        wanted.keep_until = wanted.keep_until.max(now + lifetime);
        // A router reports the demand for each adapter of a model separately.
        let key = demand.adapter.as_ref().unwrap_or(&demand.model);
        let key = Name::from(format!("{} {key}", demand.host));
        let entry = RouterDemand {
            demand: demand.clone(),
            deadline: now + Duration::from_millis(demand.deadline),
            until: now + lifetime,
        };
        wanted.routers.insert(key, entry);
    }

    /// Keeps a model wanted until `until` even if no request waits.
    pub(crate) fn keep_until(&mut self, now: Time, target: &Target, until: Time) {
        let wanted = self.wanted.entry(target.clone()).or_default();
        if !wanted.has_waiting(now) && wanted.keep_until <= now {
            wanted.since = now;
        }
        wanted.keep_until = wanted.keep_until.max(until);
    }

    pub(crate) fn get(&self, target: &Target) -> Option<&ModelDemand> {
        self.wanted.get(target)
    }

    pub(crate) fn has_waiting(&self, now: Time, target: &Target) -> bool {
        self.get(target).is_some_and(|w| w.has_waiting(now))
    }

    /// Returns whether the model should be loaded.
    pub(crate) fn is_wanted(&self, now: Time, target: &Target) -> bool {
        let wanted = self.get(target);
        wanted.is_some_and(|w| w.keep_until > now || w.has_waiting(now))
    }

    pub(crate) fn targets(&self) -> impl Iterator<Item = (&Target, &ModelDemand)> {
        self.wanted.iter()
    }

    /// Removes expired demands.
    pub(crate) fn expire(&mut self, now: Time) {
        for wanted in self.wanted.values_mut() {
            wanted.routers.retain(|_, e| e.until > now);
        }
        self.wanted
            .retain(|_, w| w.keep_until > now || !w.routers.is_empty());
    }
}

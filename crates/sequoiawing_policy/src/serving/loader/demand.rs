use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, time::Duration};

/// The time constant of the long-term request rate, in seconds. Rare models are
/// requested only every few seconds.
const LONG_TERM_SECONDS: f64 = 8.0;

/// The time constant of the short-term request rate, in seconds, which follows
/// a sudden increase.
const SHORT_TERM_SECONDS: f64 = 1.5;

/// The weight of the short-term rate. It is below 1 because a few simultaneous
/// requests are not an increase.
const SHORT_TERM_WEIGHT: f64 = 0.7;

/// How long a request that found no replica counts as waiting for the model or
/// as about to be retried.
const MISS_TTL: Duration = Duration::from_secs(2);

/// The approximate duration of a request.
const REQUEST_DURATION: Duration = Duration::from_millis(800);

#[derive(Clone, Debug, Default)]
struct DemandRate {
    /// The long-term count of requests, with exponential decay.
    long_term: f64,
    /// The short-term count of requests, which decays faster.
    short_term: f64,
    updated: Time,
    missed: Option<Time>,
    saturated: Option<Time>,
}

impl DemandRate {
    fn decay(&mut self, now: Time) {
        let age = now.since(self.updated).as_secs_f64();
        self.long_term *= (-age / LONG_TERM_SECONDS).exp();
        self.short_term *= (-age / SHORT_TERM_SECONDS).exp();
        self.updated = now;
    }

    /// Returns the requests per second: the larger of the long-term and the
    /// weighted short-term rate.
    fn per_second(&self, now: Time) -> f64 {
        let mut decayed = self.clone();
        decayed.decay(now);
        let short_term = decayed.short_term / SHORT_TERM_SECONDS * SHORT_TERM_WEIGHT;
        short_term.max(decayed.long_term / LONG_TERM_SECONDS)
    }
}

/// A number of requests and whether any of them was not served.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandSample {
    pub(super) requests: u64,
    pub(super) is_missed: bool,
    pub(super) is_saturated: bool,
}

/// Tracks the demand for models and adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTracker {
    models: HashMap<(Name, Name), DemandRate>,
    /// The last time that an adapter was missing, by pool, model and adapter.
    adapters: HashMap<(Name, Name, Name), Time>,
}

impl DemandTracker {
    pub(super) fn record(
        &mut self,
        now: Time,
        key: (Name, Name, Option<Name>),
        sample: DemandSample,
    ) {
        let (pool, model, adapter) = key;
        if let Some(adapter) = adapter.filter(|_| sample.is_missed) {
            let key = (pool.clone(), model.clone(), adapter);
            self.adapters.insert(key, now);
        }
        let rate = self.models.entry((pool, model)).or_default();
        rate.decay(now);
        let requests = f64::from(u32::try_from(sample.requests).unwrap_or(u32::MAX));
        rate.long_term += requests;
        rate.short_term += requests;
        if sample.is_missed {
            rate.missed = Some(now);
        }
        if sample.is_saturated {
            rate.saturated = Some(now);
        }
    }

    /// Returns the requests per second for a model.
    pub(super) fn rate(&self, now: Time, pool: &Name, model: &Name) -> f64 {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.map_or(0.0, |r| r.per_second(now))
    }

    /// Returns whether a recent request for a model found no replica.
    pub(super) fn is_missed(&self, now: Time, pool: &Name, model: &Name) -> bool {
        let found = self.models.get(&(pool.clone(), model.clone()));
        let missed = found.and_then(|r| r.missed);
        missed.is_some_and(|at| now < at + MISS_TTL)
    }

    /// Returns whether a recent request for a model found all replicas full.
    pub(super) fn is_saturated(&self, now: Time, pool: &Name, model: &Name) -> bool {
        let found = self.models.get(&(pool.clone(), model.clone()));
        let saturated = found.and_then(|r| r.saturated);
        saturated.is_some_and(|at| now < at + MISS_TTL)
    }

    /// Clears the record of full replicas, because one more replica was
    /// ordered.
    pub(super) fn clear_saturated(&mut self, pool: &Name, model: &Name) {
        if let Some(rate) = self.models.get_mut(&(pool.clone(), model.clone())) {
            rate.saturated = None;
        }
    }

    /// Returns whether a model was requested so recently that requests are
    /// probably still running on it.
    pub(super) fn is_recent(&self, now: Time, pool: &Name, model: &Name) -> bool {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.is_some_and(|r| now < r.updated + REQUEST_DURATION)
    }

    /// Returns the adapters of a pool that recent requests found missing, with
    /// their models.
    pub(super) fn missed_adapters(&mut self, now: Time, pool: &Name) -> Vec<(Name, Name)> {
        self.adapters.retain(|_, at| now < *at + MISS_TTL);
        let missed = self.adapters.keys().filter(|(p, _, _)| p == pool);
        let mut missed: Vec<_> = missed.map(|(_, m, a)| (m.clone(), a.clone())).collect();
        missed.sort();
        missed
    }
}

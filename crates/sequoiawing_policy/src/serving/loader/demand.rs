use super::{count, inventory::PoolInventory, turns::ModelDemand};
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

/// How long a request that can wait for a load counts as waiting. Gateways give up on
/// the load after about as long.
const PATIENT_MISS_TTL: Duration = Duration::from_secs(4);

/// The number of requests that can wait, with exponential decay, below which none is
/// expected.
const MIN_PATIENT: f64 = 0.01;

/// The number of late answers, with exponential decay, from which a model counts as
/// overloaded. Fewer may have other causes.
const MIN_LATE: f64 = 2.0;

/// The share of late answers from which a model counts as overloaded.
const LATE_SHARE: f64 = 0.1;

/// The part of the load under which replicas were overloaded that they are assumed to
/// serve in time.
const SUSTAINED_SHARE: f64 = 0.8;

/// The time constant with which the assumed capacity of a replica recovers, in seconds.
/// Prompts, adapters and the other models of its engine change.
const RECOVERY_SECONDS: f64 = 120.0;

/// How long after a load late answers are those of requests from before it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// The approximate duration of a request.
const REQUEST_DURATION: Duration = Duration::from_millis(800);

#[derive(Clone, Debug, Default)]
struct DemandRate {
    /// The long-term count of requests, with exponential decay.
    long_term: f64,
    /// The short-term count of requests, which decays faster.
    short_term: f64,
    /// The long-term count of requests that can wait for a load.
    patient: f64,
    /// The long-term count of late answers.
    late: f64,
    updated: Time,
    missed: Option<Time>,
    /// When the first request missed the model since it was last loaded, and how many
    /// have done so.
    waiting: Option<(Time, u64)>,
    saturated: Option<Time>,
    /// When the last replica that was loaded has shown its effect. Overload before that
    /// is that of the replicas before it.
    settled: Time,
    /// The requests per second that one replica serves in time, and when this was
    /// learned, if it was ever overloaded.
    capacity: Option<(f64, Time)>,
}

impl DemandRate {
    fn decay(&mut self, now: Time) {
        let age = now.since(self.updated).as_secs_f64();
        let long_term_decay = (-age / LONG_TERM_SECONDS).exp();
        self.long_term *= long_term_decay;
        self.late *= long_term_decay;
        self.patient *= long_term_decay;
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

    /// Returns how long a request that missed the model counts as waiting.
    fn miss_ttl(&self) -> Duration {
        if self.patient >= MIN_PATIENT {
            PATIENT_MISS_TTL
        } else {
            MISS_TTL
        }
    }

    fn demand(&self, now: Time) -> ModelDemand {
        let (since, missed) = self.waiting.unwrap_or((now, 0));
        let patience = if self.long_term > 0.0 {
            self.patient / self.long_term
        } else {
            0.0
        };
        ModelDemand {
            rate: self.per_second(now),
            patience: patience.clamp(0.0, 1.0),
            missed,
            waited: now.since(since),
        }
    }

    /// Returns whether replicas were full or answered late recently.
    fn is_overloaded(&self, now: Time) -> bool {
        let is_saturated = self.saturated.is_some_and(|at| now < at + MISS_TTL);
        let is_late = self.late >= MIN_LATE && self.late >= self.long_term * LATE_SHARE;
        is_saturated || is_late
    }

    /// Returns the requests per second that one replica serves in time.
    fn capacity(&self, now: Time, assumed: f64) -> f64 {
        let Some((capacity, learned)) = self.capacity else {
            return assumed;
        };
        let recovery = (now.since(learned).as_secs_f64() / RECOVERY_SECONDS).exp();
        (capacity * recovery).min(assumed)
    }
}

/// A number of requests and whether any of them was not served.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandSample {
    pub(super) requests: u64,
    pub(super) patient: u64,
    pub(super) is_missed: bool,
    pub(super) is_saturated: bool,
    pub(super) late: u64,
}

/// Tracks the demand for models and adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTracker {
    models: HashMap<(Name, Name), DemandRate>,
    /// When an adapter was first and last missing, by pool, model and adapter.
    adapters: HashMap<(Name, Name, Name), (Time, Time)>,
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
            let (_, last) = self.adapters.entry(key).or_insert((now, now));
            *last = now;
        }
        let rate = self.models.entry((pool, model)).or_default();
        rate.decay(now);
        let count = |number| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
        rate.long_term += count(sample.requests);
        rate.short_term += count(sample.requests);
        rate.patient += count(sample.patient);
        if now >= rate.settled {
            rate.late += count(sample.late);
        }
        if sample.is_missed {
            let is_over = rate.missed.is_none_or(|at| now >= at + rate.miss_ttl());
            let (since, missed) = rate.waiting.filter(|_| !is_over).unwrap_or((now, 0));
            rate.waiting = Some((since, missed + 1));
            rate.missed = Some(now);
        }
        if sample.is_saturated && now >= rate.settled {
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
        missed.is_some_and(|at| now < at + found.map_or(MISS_TTL, DemandRate::miss_ttl))
    }

    /// Returns whether requests for models of a pool can wait for a load.
    pub(super) fn has_patient(&self, pool: &Name) -> bool {
        self.models
            .iter()
            .any(|((p, _), rate)| p == pool && rate.patient >= MIN_PATIENT)
    }

    /// Returns what is known of the demand for a model.
    pub(super) fn demand(&self, now: Time, pool: &Name, model: &Name) -> ModelDemand {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.map_or_else(ModelDemand::default, |rate| rate.demand(now))
    }

    /// Forgets the requests that waited for models that are loaded now.
    pub(super) fn end_waits(&mut self, pool: &Name, inventory: &PoolInventory) {
        let models = self.models.iter_mut().filter(|((p, _), _)| p == pool);
        for ((_, model), rate) in models {
            if rate.waiting.is_some()
                && inventory.replicas(model) > 0
                && !inventory.is_loading(model)
            {
                rate.waiting = None;
            }
        }
    }

    /// Returns whether the replicas of a model were full or answered late recently.
    pub(super) fn is_overloaded(&self, now: Time, pool: &Name, model: &Name) -> bool {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.is_some_and(|r| r.is_overloaded(now))
    }

    /// Returns the requests per second that one replica of a model serves in time.
    /// `assumed` is that of a model that was never overloaded.
    pub(super) fn capacity(&self, now: Time, pool: &Name, model: &Name, assumed: f64) -> f64 {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.map_or(assumed, |r| r.capacity(now, assumed))
    }

    /// Learns from overloaded models of a pool what their replicas do not serve in time.
    /// Those that get one more replica are judged again once it serves.
    pub(super) fn learn_capacities(
        &mut self,
        now: Time,
        pool: &Name,
        assumed: f64,
        inventory: &PoolInventory,
    ) {
        let models = self.models.iter_mut().filter(|((p, _), _)| p == pool);
        for ((_, model), rate) in models {
            if inventory.is_loading(model) {
                rate.saturated = None;
                rate.late = 0.0;
                rate.settled = now + SETTLING_TIME;
                continue;
            }
            let replicas = count(inventory.replicas(model));
            if replicas > 0.0 && rate.is_overloaded(now) {
                let sustained = rate.per_second(now) / replicas * SUSTAINED_SHARE;
                rate.capacity = Some((sustained.min(assumed), now));
            }
        }
    }

    /// Records that replicas of a model lack room for adapters in use.
    pub(super) fn mark_overloaded(&mut self, now: Time, pool: &Name, model: &Name) {
        if let Some(rate) = self.models.get_mut(&(pool.clone(), model.clone()))
            && now >= rate.settled
        {
            rate.saturated = Some(now);
        }
    }

    /// Returns whether a model was requested so recently that requests are
    /// probably still running on it.
    pub(super) fn is_recent(&self, now: Time, pool: &Name, model: &Name) -> bool {
        let found = self.models.get(&(pool.clone(), model.clone()));
        found.is_some_and(|r| now < r.updated + REQUEST_DURATION)
    }

    /// Returns the adapters of a pool that recent requests found missing, with their
    /// models and for how long they have been missing.
    pub(super) fn missed_adapters(
        &mut self,
        now: Time,
        pool: &Name,
    ) -> Vec<(Name, Name, Duration)> {
        self.adapters.retain(|_, (_, last)| now < *last + MISS_TTL);
        let missed = self.adapters.iter().filter(|((p, _, _), _)| p == pool);
        let missed =
            missed.map(|((_, m, a), (first, _))| (m.clone(), a.clone(), now.since(*first)));
        let mut missed: Vec<_> = missed.collect();
        missed.sort();
        missed
    }
}

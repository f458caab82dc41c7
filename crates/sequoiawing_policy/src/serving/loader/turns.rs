//! The values of models that take turns at too few places.
//!
//! Where more models are requested than engines hold, and part of the requests can wait
//! for a load, the engines swap models all the time, and the number of swaps limits
//! service. A swap is worth the requests that it serves; taking a model away costs those
//! that cannot wait until it is back. See docs/design/model-turns.md.

use std::time::Duration;

/// The time for which a model that was loaded stays at least, in seconds.
const RESIDENCE: f64 = 0.7;

/// The time until a model that was evicted is loaded again, in seconds.
const ABSENCE: f64 = 3.0;

/// The part of a request that is lost when it has to wait for a load.
const WAIT_LOSS: f64 = 0.3;

/// The time after which a waiting request counts twice, so that models with few requests
/// get turns too.
const AGING: Duration = Duration::from_millis(750);

/// The requests lost by evicting a model that runs requests. The engine takes no other
/// order until they end.
const IN_USE: f64 = 0.5;

/// The requests lost by evicting a model that can be loaded again only from the weight
/// store.
const RELOAD: f64 = 25.0;

/// The demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ModelDemand {
    /// The requests per second.
    pub(super) rate: f64,
    /// The part of the requests that can wait for a load, from 0 to 1.
    pub(super) patience: f64,
    /// The number of reports of requests that wait for the model.
    pub(super) missed: u64,
    /// How long the first of them has waited.
    pub(super) waited: Duration,
}

/// Returns the requests that a load serves of a model that no engine holds.
pub(super) fn gain(demand: &ModelDemand) -> f64 {
    let missed = f64::from(u32::try_from(demand.missed).unwrap_or(u32::MAX));
    let waiting = missed.max(demand.rate * demand.waited.as_secs_f64());
    waiting.max(1.0) + demand.rate * RESIDENCE
}

/// Returns the rank of a model that no engine holds; the highest is loaded first. It is
/// the gain, and more for requests that have waited for longer.
pub(super) fn rank(demand: &ModelDemand) -> f64 {
    let ages = demand.waited.as_secs_f64() / AGING.as_secs_f64();
    gain(demand) * (1.0 + ages)
}

/// Returns the requests that one more replica serves while an evicted model is away,
/// given the requests per second that the others do not serve.
pub(super) fn replica_gain(unserved: f64) -> f64 {
    unserved * ABSENCE
}

/// Returns the requests lost by taking a model away from an engine. `share` is the part
/// of its requests that the other replicas do not serve.
pub(super) fn cost(demand: &ModelDemand, share: f64, is_cheap: bool, is_used: bool) -> f64 {
    let urgent = demand.rate * (1.0 - demand.patience) * ABSENCE;
    let patient = demand.rate * demand.patience * WAIT_LOSS;
    let reload = if is_cheap { 0.0 } else { RELOAD };
    let running = if is_used { IN_USE } else { 0.0 };
    (urgent + patient) * share + reload + running
}

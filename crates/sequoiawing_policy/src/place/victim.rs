use sequoiawing_types::Name;
use std::time::Duration;

/// A loaded model that could be evicted.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The model.
    pub model: Name,
    /// The memory of the model, in MiB.
    pub memory: u64,
    /// The time since its last use on this upstream.
    pub idle: Duration,
    /// The expected time until its next use, if any was learned.
    pub time_to_use: Option<Duration>,
    /// The estimated time to load it again.
    pub reload: Duration,
    /// Whether another replica of the model is loaded.
    pub has_other_replica: bool,
}

/// Ranks loaded models for eviction.
pub trait RankVictims: Send {
    /// Returns the expected cost of evicting the model, in seconds of load
    /// time. The model with the lowest cost is evicted first.
    fn eviction_cost(&self, victim: &Victim) -> f64;
}

/// Evicts the least recently used model first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastRecentlyUsed;

impl RankVictims for LeastRecentlyUsed {
    fn eviction_cost(&self, victim: &Victim) -> f64 {
        1.0 / (1.0 + victim.idle.as_secs_f64())
    }
}

/// Evicts first the models with a short reload and a late next use.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheapestReload;

/// The time until the next use at which half of the reload time counts as the
/// cost, in seconds.
const HORIZON_SECS: f64 = 30.0;

/// The part of the reload time that counts when another replica can serve
/// meanwhile.
const REPLICATED_FACTOR: f64 = 0.2;

impl RankVictims for CheapestReload {
    fn eviction_cost(&self, victim: &Victim) -> f64 {
        let expected = victim.time_to_use.unwrap_or(victim.idle);
        let soon = HORIZON_SECS / (HORIZON_SECS + expected.as_secs_f64());
        let factor = if victim.has_other_replica {
            REPLICATED_FACTOR
        } else {
            1.0
        };
        victim.reload.as_secs_f64() * soon * factor
    }
}

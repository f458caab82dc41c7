use sequoiawing_policy::Refusal;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The status of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum RequestStatus {
    /// Not decided yet.
    #[default]
    Open,
    /// Started on an upstream.
    Begun,
    /// Refused by a dispatcher.
    Refused(Refusal),
    /// Failed on its upstream, with no time left for a retry.
    Failed,
    /// Refused because the customer's rate and burst were exhausted.
    Limited,
    /// Rejected or cancelled because the customer's keys were withdrawn.
    Withdrawn,
}

/// The observed outcome of one request.
#[derive(Clone, Debug, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is observed independently of the others"
)]
pub struct RequestOutcome {
    /// The current status.
    pub status: RequestStatus,
    /// The customer.
    pub customer: Name,
    /// The data centre of its router.
    pub centre: Name,
    /// Whether no reachable runner could serve it at its arrival.
    pub is_cold: bool,
    /// Whether no reachable runner had its model loaded at its arrival.
    pub is_cold_model: bool,
    /// Whether its customer was entitled to its tokens.
    pub is_entitled: bool,
    /// When an upstream first started it.
    pub started: Option<Time>,
    /// From its arrival to its start.
    pub wait: Duration,
    /// The number of failed attempts.
    pub attempts: u32,
    /// Whether its answer was completed.
    pub is_complete: bool,
    /// The tokens of its prompt and answer.
    pub tokens: u64,
}

impl RequestOutcome {
    /// Returns whether it was refused although its customer was entitled to it.
    pub fn is_wrongly_refused(&self) -> bool {
        let is_refused = matches!(
            self.status,
            RequestStatus::Refused(_) | RequestStatus::Limited
        );
        is_refused && self.is_entitled
    }
}

/// The counters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// The number of model loads started.
    pub loads: u64,
    /// The idle time of loaded replicas, weighted by their fraction of the
    /// accelerator's memory.
    pub idle: Duration,
    /// The prompts whose prefix was in an engine's cache.
    pub cached: u64,
    /// The requests that reached a runner which had just unloaded their model.
    pub misses: u64,
    /// The speeds of the weight store, each with the time from which it holds.
    pub speeds: Vec<(Time, f64)>,
    /// The cold loads, including those not completed by the end of the run.
    pub cold_loads: Vec<ColdLoad>,
}

/// A request whose model was not loaded on any reachable runner at its arrival.
#[derive(Clone, Copy, Debug)]
pub struct ColdRequest {
    /// The number in the trace.
    pub number: usize,
    /// The arrival time.
    pub at: Time,
    /// The time after arrival within which it must start.
    pub deadline: Duration,
}

/// A load of a model that no reachable runner had loaded, from the first
/// request until the load completes.
#[derive(Clone, Debug)]
pub struct ColdLoad {
    /// The arrival of the first request.
    pub at: Time,
    /// When the first load was ordered.
    pub ordered: Option<Time>,
    /// When the first load started.
    pub started: Option<Time>,
    /// When the first load completed.
    pub ready: Option<Time>,
    /// The number of loads ordered.
    pub orders: u32,
    /// The load time at full speed from the nearest checkpoint.
    pub load_time: Duration,
    /// Whether the nearest checkpoint is in the weight store.
    pub is_remote: bool,
    /// The requests that arrived before the model was loaded.
    pub requests: Vec<ColdRequest>,
}

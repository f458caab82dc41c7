use std::time::Duration;

/// The combined demand of a data centre's routers for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaDemand {
    /// The number of routers with waiting requests.
    pub routers: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The tokens that the waiting requests ask for.
    pub tokens: u64,
    /// The tokens per second of one running request, or zero if unknown.
    pub token_rate: u32,
    /// The concurrent requests of one replica.
    pub slots: u32,
    /// The serving replicas.
    pub serving: u32,
    /// The loading replicas.
    pub loading: u32,
    /// The time until the earliest deadline.
    pub time_left: Duration,
    /// The time until an additional replica is ready.
    pub load_time: Duration,
}

/// Chooses the number of replicas of a model for a demand.
pub trait CountReplicas: Send {
    /// Returns the total number of replicas. The placer limits it to the
    /// maximum.
    fn count(&self, demand: &ReplicaDemand) -> u32;
}

/// Wants one replica for each router with waiting requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct OnePerRouter;

impl CountReplicas for OnePerRouter {
    fn count(&self, demand: &ReplicaDemand) -> u32 {
        demand.routers.max(1)
    }
}

/// Wants as many replicas as it takes to start all waiting requests before the
/// earliest deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenDemand;

/// The tokens per second assumed for a running request until a rate is known.
const DEFAULT_TOKEN_RATE: u32 = 50;

/// The minimum time to generate tokens that is assumed, so that a near deadline
/// does not call for one replica per request.
const MIN_SLACK: Duration = Duration::from_millis(500);

/// The maximum time to generate tokens that is assumed.
const MAX_SLACK: Duration = Duration::from_mins(10);

impl TokenDemand {
    /// Returns the tokens that one replica generates within `span`.
    fn generated(demand: &ReplicaDemand, span: Duration) -> u64 {
        let token_rate = match demand.token_rate {
            0 => DEFAULT_TOKEN_RATE,
            token_rate => token_rate,
        };
        let span = span.max(MIN_SLACK).min(MAX_SLACK).as_millis();
        let span = u64::try_from(span).unwrap_or(u64::MAX);
        u64::from(demand.slots.max(1)) * u64::from(token_rate) * span / 1_000
    }
}

impl CountReplicas for TokenDemand {
    fn count(&self, demand: &ReplicaDemand) -> u32 {
        let present = demand.serving + demand.loading;
        if demand.waiting == 0 {
            return present.max(1);
        }
        let mean = demand.tokens / u64::from(demand.waiting);
        let first_batch = u64::from(demand.slots.max(1)) * mean;
        // Serving replicas are full, since requests are waiting. A new one
        // starts a request in each slot at once.
        let by_serving = Self::generated(demand, demand.time_left);
        let by_new = first_batch
            + Self::generated(demand, demand.time_left.saturating_sub(demand.load_time));
        let covered = u64::from(demand.serving) * by_serving + u64::from(demand.loading) * by_new;
        let more = demand
            .tokens
            .saturating_sub(covered)
            .div_ceil(by_new.max(1));
        let more = u32::try_from(more).unwrap_or(u32::MAX);
        present.saturating_add(more).max(1)
    }
}

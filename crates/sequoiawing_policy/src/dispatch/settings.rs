use sequoiawing_types::Name;
use std::time::Duration;

/// The settings of a [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// The host of the router, named in its demands.
    pub host: Name,
    /// The data centre of the router. Upstreams elsewhere are second choice.
    pub centre: Name,
    /// The pool.
    pub pool: Name,
    /// The maximum number of queued requests.
    pub queue_limit: usize,
    /// The maximum number of queued requests of one customer.
    pub customer_limit: usize,
    /// The interval at which an unsatisfied demand is repeated.
    pub demand_interval: Duration,
    /// Whether demands are also sent to the leaders of other data centres. All
    /// routers then ask the leaders in the same order.
    pub cross_centre: bool,
    /// The backoff after the first failure of an upstream, doubled with each
    /// further failure.
    pub backoff: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            host: Name::default(),
            centre: Name::default(),
            pool: Name::default(),
            queue_limit: 10_000,
            customer_limit: 5_000,
            demand_interval: Duration::from_millis(250),
            cross_centre: true,
            backoff: Duration::from_millis(500),
        }
    }
}

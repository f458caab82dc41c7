use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How often a request of a route may run, and the form of its response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    #[default]
    Once,
    /// At most once, and the response is a stream of events.
    Stream,
    /// The response is a stream of events that another attempt may continue.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether a request that may have run already may be retried.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A pool that receives a share of a route's requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Target {
    /// The pool.
    pub pool: Name,
    /// The pool's share, relative to the sum over all targets.
    pub weight: u64,
}

/// A rule that assigns requests to pools and sets how they are processed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogRoute {
    /// The route's name.
    pub name: Name,
    /// The value of the `Host` header that requests must have.
    pub host: Name,
    /// The prefix that the path of requests must have.
    pub prefix: Name,
    /// Whether requests may be retried.
    pub repeat: RetryPolicy,
    /// The maximum time from the arrival of a request to the end of its response, in
    /// milliseconds.
    pub timeout: u64,
    /// The target latency of responses, in milliseconds.
    pub aim: u64,
    /// The target for the longest gap between events, in milliseconds.
    pub gap: u64,
    /// The priority rank; 0 is served first.
    pub rank: u32,
    /// The maximum number of upstreams that a request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests with a common prompt prefix should be sent to the same
    /// upstream.
    pub affine: bool,
    /// The pools that receive the requests.
    pub targets: Vec<Target>,
}

impl CatalogRoute {
    /// Returns the maximum time that a request may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout)
    }

    /// Returns the target latency of responses.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.aim)
    }

    /// Returns the pool for a uniformly distributed random number; `None` if the
    /// weights add up to 0.
    pub fn choose_pool(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|t| t.weight).sum();
        let mut rest = random.checked_rem(total)?;
        let chosen = self.targets.iter().find(|target| {
            let is_chosen = rest < target.weight;
            rest = rest.saturating_sub(target.weight);
            is_chosen
        });
        chosen.map(|target| &target.pool)
    }
}

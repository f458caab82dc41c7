use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// At most once.
    #[default]
    Once,
    /// At most once, and the answer is a stream of events.
    Stream,
    /// The answer is a stream of events that another run may go on with.
    Resumable,
}

impl RetryPolicy {
    /// Reports whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Reports whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A pool that takes a part of a route's requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Target {
    /// The pool.
    pub pool: Name,
    /// Its part, against the sum over all targets.
    pub weight: u64,
}

/// Which requests go to which pools, and how they are treated.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogRoute {
    /// The name.
    pub name: Name,
    /// The `Host` that a request names.
    pub host: Name,
    /// What its path begins with.
    pub prefix: Name,
    /// How often a request may run.
    pub repeat: RetryPolicy,
    /// The longest time from arrival to the end of the answer, in
    /// milliseconds.
    pub timeout: u64,
    /// The time within which an answer is on time, in milliseconds.
    pub aim: u64,
    /// The longest pause between events that is on time, in milliseconds.
    pub gap: u64,
    /// The rank; 0 is served first.
    pub rank: u32,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub open: bool,
    /// Whether requests that share the beginning of their prompt should meet
    /// at one upstream.
    pub affine: bool,
    /// Where requests go.
    pub targets: Vec<Target>,
}

impl CatalogRoute {
    /// Returns the longest time that a request may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout)
    }

    /// Returns the time within which an answer is on time.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(self.aim)
    }

    /// Returns the pool for a number that was drawn uniformly.
    pub fn choose_pool(&self, drawn: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|t| t.weight).sum();
        let mut rest = drawn.checked_rem(total)?;
        let chosen = self.targets.iter().find(|target| {
            let is_chosen = rest < target.weight;
            rest = rest.saturating_sub(target.weight);
            is_chosen
        });
        chosen.map(|target| &target.pool)
    }
}

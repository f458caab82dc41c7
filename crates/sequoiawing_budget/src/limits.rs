use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a budget is replenished.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refill {
    /// Accrues this many tokens per second.
    PerSecond(u64),
    /// Each holder returns its slots when its work ends. The slots of a lost
    /// holder become free when its lease expires.
    OnReturn,
}

/// The limits that all hosts together must not exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// How the total is replenished.
    pub refill: Refill,
    /// The bucket size in tokens, or the number of slots.
    pub burst: u64,
}

impl Limits {
    /// Returns the limits for a rate in tokens per second and a burst in
    /// tokens.
    pub fn tokens(rate: u64, burst: u64) -> Self {
        let refill = Refill::PerSecond(rate);
        Self { refill, burst }
    }

    /// Returns the limits for a number of slots.
    pub fn slots(count: u64) -> Self {
        Self {
            refill: Refill::OnReturn,
            burst: count,
        }
    }

    /// Returns the tokens that accrue per second; zero for slots.
    pub fn rate(&self) -> u64 {
        match self.refill {
            Refill::PerSecond(rate) => rate,
            Refill::OnReturn => 0,
        }
    }
}

/// The durations that lenders and borrowers must agree on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Timing {
    /// How long credit is valid after it was requested. A data centre that has
    /// received nothing from the owner for two leases accrues its own share.
    pub lease: Duration,
    /// The maximum drift between two clocks, in parts per million.
    pub drift: u32,
    /// How long work that holds a slot may continue after the lease has
    /// expired; zero if the holder ends it with the lease.
    #[serde(rename = "holding")]
    pub overrun: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(1),
            drift: 1_000,
            overrun: Duration::ZERO,
        }
    }
}

impl Timing {
    /// Covers the drift of both clocks and rounding.
    const DRIFT_FACTOR: u32 = 3;

    fn margin(&self) -> Duration {
        self.drift_of(self.lease)
    }

    fn drift_of(&self, span: Duration) -> Duration {
        span * self.drift / 1_000_000 * Self::DRIFT_FACTOR
    }

    /// Returns a duration on this clock after which the overrun has passed on
    /// every other clock.
    pub(crate) fn max_overrun(&self) -> Duration {
        self.overrun + self.drift_of(self.overrun)
    }

    /// Returns a duration on this clock after which a lease is still valid on
    /// every other clock.
    pub(crate) fn min_lease(&self) -> Duration {
        self.lease.saturating_sub(self.margin())
    }

    /// Returns a duration on this clock after which a lease has expired on
    /// every other clock.
    pub(crate) fn max_lease(&self) -> Duration {
        self.lease + self.margin()
    }
}

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a budget gets back what was used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refill {
    /// So many tokens accrue in a second.
    PerSecond(u64),
    /// Each holder gives back what it holds when it has finished; what a lost
    /// holder held comes back when its lease has run out.
    OnReturn,
}

/// The total that all hosts together must not exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Limits {
    /// How the total is replenished.
    pub refill: Refill,
    /// The tokens that may be used at once after a pause, or the slots.
    pub burst: u64,
}

impl Limits {
    /// Returns the limits of a rate in tokens a second and a burst in tokens.
    pub fn tokens(rate: u64, burst: u64) -> Self {
        let refill = Refill::PerSecond(rate);
        Self { refill, burst }
    }

    /// Returns the limits of so many slots.
    pub fn slots(count: u64) -> Self {
        Self {
            refill: Refill::OnReturn,
            burst: count,
        }
    }

    /// Returns the tokens that accrue in a second; zero for slots.
    pub fn rate(&self) -> u64 {
        match self.refill {
            Refill::PerSecond(rate) => rate,
            Refill::OnReturn => 0,
        }
    }
}

/// The spans that lenders and borrowers must agree on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Timing {
    /// How long credit may be used after it was asked for. A data centre that
    /// has heard nothing from the owner for two leases accrues its own share.
    pub lease: Duration,
    /// The most that two clocks may drift apart, in millionths.
    pub drift: u32,
    /// How long what was begun with a slot may go on after the lease; zero when
    /// the holder ends it with its lease.
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
    /// The drift of two clocks against each other, and a reserve for rounding.
    const DRIFT_FACTOR: u32 = 3;

    fn margin(&self) -> Duration {
        self.drift_of(self.lease)
    }

    fn drift_of(&self, span: Duration) -> Duration {
        span * self.drift / 1_000_000 * Self::DRIFT_FACTOR
    }

    /// Returns a span that has passed here only after the longest holding has
    /// on any clock.
    pub(crate) fn max_overrun(&self) -> Duration {
        self.overrun + self.drift_of(self.overrun)
    }

    /// Returns a span that has passed here before a lease has on any clock.
    pub(crate) fn min_lease(&self) -> Duration {
        self.lease.saturating_sub(self.margin())
    }

    /// Returns a span that has passed here only after a lease has on any clock.
    pub(crate) fn max_lease(&self) -> Duration {
        self.lease + self.margin()
    }
}

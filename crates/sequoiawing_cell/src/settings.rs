use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The timing shared by all members of a cell.
///
/// All members must use the same settings, since a restarted member waits by
/// its own settings for promises made under those of others.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CellSettings {
    /// The nominal duration of a promise.
    pub lease: Duration,
    /// The interval at which the leader renews its lease. A candidate asks four
    /// times as often.
    pub renewal: Duration,
    /// The maximum deviation of any clock from true time, in thousandths.
    pub drift: u32,
}

impl Default for CellSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1_500),
            renewal: Duration::from_millis(400),
            drift: 10,
        }
    }
}

impl CellSettings {
    /// Returns how long the holder of a lease may rely on a promise, measured
    /// from its request. Allows for clock drift.
    pub fn lease_time(&self) -> Duration {
        self.lease * (1_000 - self.drift) / 1_000
    }

    /// Returns how long a member keeps a promise, measured from when it was
    /// made, and how long a member grants nothing after a restart. Allows for
    /// clock drift.
    pub fn promise_time(&self) -> Duration {
        self.lease * (1_000 + self.drift) / 1_000
    }
}

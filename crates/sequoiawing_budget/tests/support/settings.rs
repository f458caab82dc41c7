use sequoiawing_budget::{Limits, Timing};
use std::time::Duration;

/// A fault that the checker has to catch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Plant {
    None,
    /// A share is granted before another data centre has released it.
    ShareBeforeRelease,
    /// A successor starts full, whatever the log says.
    WatermarkIgnored,
    /// The owner takes what it sent for heard.
    AccrualNotStopped,
    /// A cell leader waits for less than the leases that it grants.
    LeaseNotWaited,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub(crate) seed: u64,
    pub(crate) limits: Limits,
    pub(crate) timing: Timing,
    pub(crate) centres: usize,
    pub(crate) routers: usize,
    pub(crate) plant: Plant,
    /// Whether each refusal is compared with one bucket.
    pub(crate) judge: bool,
    /// What the budget may be behind one bucket, in tokens.
    pub(crate) slack: u64,
    /// Whether requests use all that they reserve.
    pub(crate) exact: bool,
    pub(crate) patience: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            limits: Limits::tokens(1_000, 4_000),
            timing: Timing {
                lease: Duration::from_millis(500),
                drift: 1_000,
                overrun: Duration::ZERO,
            },
            centres: 3,
            routers: 2,
            plant: Plant::None,
            judge: false,
            slack: 0,
            exact: false,
            patience: Duration::from_millis(50),
        }
    }
}

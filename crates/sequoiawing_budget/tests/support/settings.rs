use sequoiawing_budget::{Limits, Timing};
use std::time::Duration;

/// A fault that the checker must catch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    /// A share is granted before another data centre has released it.
    ShareBeforeRelease,
    /// A successor starts with a full bucket and ignores the log.
    WatermarkIgnored,
    /// The owner goes on accruing the share of a data centre that does not
    /// acknowledge its replies.
    AccrualNotStopped,
    /// A cell leader waits for less time than the leases that it grants.
    LeaseNotWaited,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub(crate) seed: u64,
    pub(crate) limits: Limits,
    pub(crate) timing: Timing,
    pub(crate) centres: usize,
    pub(crate) routers: usize,
    pub(crate) injected_fault: InjectedFault,
    /// Whether each refusal is compared with a single bucket.
    pub(crate) check_refusals: bool,
    /// How far the budget may lag behind a single bucket, in tokens.
    pub(crate) slack: u64,
    /// Whether requests use all tokens that they reserve.
    pub(crate) exact: bool,
    pub(crate) max_wait: Duration,
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
            injected_fault: InjectedFault::None,
            check_refusals: false,
            slack: 0,
            exact: false,
            max_wait: Duration::from_millis(50),
        }
    }
}

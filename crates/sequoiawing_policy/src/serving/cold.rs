//! Upstreams that have just started and take few requests for some seconds.
//!
//! While an upstream is cold, a host sends a request to it only with a token of the issuer
//! of [upstream limits](super::upstream_limit). See
//! [docs/design/cold-upstreams.md](../../../../docs/design/cold-upstreams.md).

use sequoiawing_types::{Name, RequestRate, Time};
use std::time::Duration;

/// The time over which requests without tokens come back to an upstream that is no longer
/// cold. Hosts see the load of others one to two report intervals late.
pub(super) const WARM_UP: Duration = Duration::from_millis(1_500);

/// How long tokens are granted and reported after the warm-up: hosts learn of a cold
/// upstream up to half a second apart, and return what they don't use a second or two later.
pub(super) const SETTLE: Duration = Duration::from_millis(2_500);

/// How long an upstream counts as cold without an announcement after its data centre is
/// used again: the interval of heartbeats (1.2 s), the way to the gateways (0.5 s), and a
/// margin. One that is cold has announced it by then.
const ASSUMED_SPAN: Duration = Duration::from_secs(2);

/// The time that an announcement takes to the gateways at most; one that arrives later was
/// made after the data centre was used again.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// The part of the rule's bound that may be granted per second, in tenths. The rest covers
/// tokens that are held, which must be enough for the time that a token takes to a host and
/// its use back to the issuer.
const GRANT_TENTHS: u64 = 6;

/// The part of what is left beside the rate that may be held, in tenths. The rest is for
/// requests whose connection takes longer than that of the ones after them.
const HELD_TENTHS: u64 = 8;

/// The bound on requests that a cold upstream gets in one second from all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBound {
    /// The allowed multiple of the rate, in thousandths.
    pub overrun: u64,
    /// The requests allowed in addition, in thousandths.
    pub slack: u64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overrun: 1_500,
            slack: 5_000,
        }
    }
}

impl ColdBound {
    /// Returns at which rate tokens are granted for an upstream of a rate, and how many of
    /// them may be unused.
    ///
    /// What hosts hold at the begin of a second and what is granted within it stay below
    /// the bound.
    pub fn grants(self, rate: RequestRate) -> ColdGrants {
        let product = rate.milli().saturating_mul(self.overrun) / 1_000;
        let bound = product.saturating_add(self.slack);
        let most = (bound / 10 * GRANT_TENTHS).min(bound.saturating_sub(1_000));
        let granted = rate.milli().min(most);
        let rest = bound - granted;
        let held = (rest / 10 * HELD_TENTHS).max(rest.min(1_000));
        ColdGrants {
            rate: granted,
            held: i128::from(held) * 1_000,
        }
    }
}

/// The tokens that are granted for a cold upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdGrants {
    /// The tokens per second, in thousandths.
    pub(super) rate: u64,
    /// The most tokens that hosts hold and that may be granted at once, in millionths.
    pub(super) held: i128,
}

impl ColdGrants {
    /// Returns the millionths of a token that are granted in a span.
    pub(super) fn earned(self, span: Duration) -> i128 {
        let micros = i128::try_from(span.as_micros()).unwrap_or(i128::MAX >> 64);
        i128::from(self.rate) * micros / 1_000
    }
}

/// An upstream that is cold, for the issuer of tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ColdUpstream {
    /// The name of the upstream.
    pub upstream: Name,
    /// Its start.
    pub epoch: u64,
    /// How long it stays cold.
    pub left: Duration,
    /// The tokens that are granted for it.
    pub grants: ColdGrants,
}

/// The time for which a host takes an upstream as cold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdPeriod {
    /// The end of the last period that was announced.
    end: Option<Time>,
    /// Since when and until when it counts as cold without an announcement.
    assumed: Option<(Time, Time)>,
}

impl ColdPeriod {
    /// Applies an announcement, which is the newest of its start, of how long the upstream
    /// stays cold.
    pub(super) fn announce(&mut self, now: Time, left: Duration) {
        self.assumed = self.assumed.filter(|(at, _)| now < *at + MAX_TRANSIT);
        if !left.is_zero() {
            self.end = Some(now + left);
        } else if self.end.is_some_and(|end| now < end) {
            self.end = Some(now);
        }
    }

    /// Applies what a response said, which may be older than the last announcement: it
    /// only extends the time.
    pub(super) fn extend(&mut self, now: Time, left: Duration) {
        if !left.is_zero() {
            self.end = self.end.max(Some(now + left));
        }
    }

    /// Takes the upstream as cold until it announces itself anew.
    pub(super) fn assume(&mut self, now: Time) {
        self.assumed = Some((now, now + ASSUMED_SPAN));
    }

    /// Returns when the upstream is no longer cold; `None` if it never was.
    pub(super) fn end(&self) -> Option<Time> {
        self.end.max(self.assumed.map(|(_, end)| end))
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.end().is_some_and(|end| now < end)
    }

    /// Returns how much of its coldness is left: 1 while it is cold, then less until the
    /// end of the warm-up.
    pub(super) fn remainder(&self, now: Time) -> f64 {
        let Some(end) = self.end() else {
            return 0.0;
        };
        let warm = now.since(end).min(WARM_UP);
        1.0 - warm.as_secs_f64() / WARM_UP.as_secs_f64()
    }

    /// Returns whether a request needs a token. `draw` is a number from 0 to 1 that
    /// spreads the requests over the warm-up.
    pub(super) fn needs_token(&self, now: Time, draw: f64) -> bool {
        self.is_cold(now) || draw < self.remainder(now)
    }

    /// Returns whether the issuer should know this host's tokens.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        self.end().is_some_and(|end| now < end + WARM_UP + SETTLE)
    }
}

//! The grace period in which a disconnected router still accepts keys.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The time at which a controller last confirmed the tables, as Unix time in
/// milliseconds.
///
/// It is saved with the tables, so that a restart of a disconnected router does
/// not start a new grace period.
#[derive(Debug, Default)]
pub(crate) struct KeyGrace(AtomicU64);

impl KeyGrace {
    /// Records a confirmation; an earlier one never replaces a later one.
    pub(crate) fn confirm(&self, now: u64) {
        self.0.fetch_max(now, Ordering::Relaxed);
    }

    /// Returns the time of the last confirmation.
    pub(crate) fn last_confirmed(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns whether keys are accepted; a grace period of zero never ends.
    pub(crate) fn accepts_keys(&self, now: u64, grace: Duration) -> bool {
        grace.is_zero() || now.saturating_sub(self.last_confirmed()) <= to_millis(grace)
    }
}

/// Returns the Unix time in milliseconds. Unlike monotonic clocks, it continues
/// while a router is down.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, to_millis)
}

/// Returns the Unix time in microseconds, which is higher at each start of a
/// process.
pub(crate) fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(1))
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

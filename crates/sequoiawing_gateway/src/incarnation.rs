//! The number that identifies a run of the gateway process.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

/// A number that is higher than those of all earlier runs on the same host.
///
/// It begins with the wall clock. If the clock was stepped back, hubs know a higher number
/// of an earlier run and ignore the reports of this one, until it has learned of that number
/// by a reply and has gone beyond it.
#[derive(Debug)]
pub(crate) struct Incarnation(AtomicU64);

impl Incarnation {
    /// Returns the number for a process that starts now.
    pub(crate) fn from_clock() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::new(since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)))
    }

    fn new(number: u64) -> Self {
        Self(AtomicU64::new(number))
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Goes beyond the number that a hub knows, if it is higher. A hub that knows this
    /// process names its own number, which stays.
    pub(crate) fn exceed(&self, known: u64) {
        let raise = |own| (known > own).then(|| known.saturating_add(1));
        let raised = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise);
        if let Ok(former) = raised {
            log::warn!(
                target: "gateway", former = former, known = known;
                "The clock was stepped back since an earlier run; the incarnation was raised."
            );
        }
    }
}

#[cfg(test)]
mod tests;

use sequoiawing_types::Time;
use std::{collections::HashMap, hash::Hash, time::Duration};

/// The settings of a [`Throttle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ThrottleSettings {
    /// The maximum number of records per key and interval.
    pub burst: u32,
    /// The length of an interval. It starts with the first record of a key after
    /// the previous interval.
    pub interval: Duration,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self {
            burst: 5,
            interval: Duration::from_secs(10),
        }
    }
}

/// The decision on a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The record is written.
    Allowed {
        /// The number of records of the same key that were suppressed since the
        /// last one that was written.
        suppressed: u64,
    },
    /// The record is dropped and counted.
    Suppressed,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    start: Time,
    allowed: u32,
    suppressed: u64,
}

/// Limits the rate of records per key, so that a repeated fault does not drown out
/// other records.
#[derive(Debug)]
pub struct Throttle<K> {
    settings: ThrottleSettings,
    windows: HashMap<K, Window>,
}

impl<K> Throttle<K>
where
    K: Eq + Hash,
{
    /// Creates a throttle without records.
    pub fn new(settings: ThrottleSettings) -> Self {
        let windows = HashMap::new();
        Self { settings, windows }
    }

    /// Decides whether to write a record with the given key, and counts it.
    pub fn admit(&mut self, now: Time, key: K) -> Admission {
        let window = self.windows.entry(key).or_insert(Window {
            start: now,
            allowed: 0,
            suppressed: 0,
        });
        if now.since(window.start) >= self.settings.interval {
            window.start = now;
            window.allowed = 0;
        }
        if window.allowed >= self.settings.burst {
            window.suppressed += 1;
            return Admission::Suppressed;
        }
        window.allowed += 1;
        let suppressed = std::mem::take(&mut window.suppressed);
        Admission::Allowed { suppressed }
    }
}

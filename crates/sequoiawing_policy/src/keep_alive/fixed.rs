use crate::KeepAlive;
use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, time::Duration};

/// Keeps every model loaded for a fixed time after its last use.
#[derive(Clone, Debug)]
pub struct FixedKeepAlive {
    keep_time: Duration,
    last_uses: HashMap<Name, Time>,
}

impl FixedKeepAlive {
    /// Creates a policy that keeps models loaded for `keep_time`.
    pub fn new(keep_time: Duration) -> Self {
        let last_uses = HashMap::new();
        Self {
            keep_time,
            last_uses,
        }
    }
}

impl KeepAlive for FixedKeepAlive {
    fn record_use(&mut self, now: Time, name: &Name) {
        self.last_uses.insert(name.clone(), now);
    }

    fn keep_time(&self, _name: &Name) -> Duration {
        self.keep_time
    }

    fn idle_time(&self, now: Time, name: &Name) -> Duration {
        let used = self.last_uses.get(name);
        used.map_or(Duration::MAX, |at| now.since(*at))
    }
}

use sequoiawing_types::Time;
use std::time::Duration;

/// The number of hosts that share the slack of the retry limits, as known on one
/// host.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    hosts: u32,
}

impl FleetSize {
    /// Records the number of hosts that a reply of a hub names.
    pub fn record(&mut self, _now: Time, hosts: u32) {
        self.hosts = hosts;
    }

    /// Returns the number of hosts; 0 if none is known.
    pub fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Returns the number of hosts among which the slack is divided evenly; `None`
    /// while this host has no share.
    pub fn sharers(&self, _now: Time, _window: Duration) -> Option<u32> {
        Some(self.hosts.max(1))
    }
}

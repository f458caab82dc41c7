//! Upstreams that are cold: log lines and metrics.

use crate::GatewayState;
use sequoiawing_fleet::RosterEntry;
use sequoiawing_policy::serving::Assignment;
use sequoiawing_telemetry::Meters;
use sequoiawing_types::Time;
use std::time::Duration;

/// Logs that an upstream turned cold or warm, as its announcement says.
pub(crate) fn log_change(listed: &RosterEntry, change: Option<bool>) {
    let Some(is_cold) = change else {
        return;
    };
    let state = &listed.state;
    log::info!(
        target: "gateway", upstream = state.name.as_str(), start = state.epoch,
        is_cold = is_cold, left_ms = state.cold, sequence = state.sequence;
        "Upstream turned cold or warm."
    );
}

impl GatewayState {
    /// Applies how long an upstream stays cold, as it said in a response.
    pub(crate) fn observe_cold(&self, assignment: &Assignment, left: Duration) {
        let now = self.now();
        let is_new = self.balancer.lock().observe_cold(now, assignment.key, left);
        if is_new {
            log::info!(
                target: "gateway", upstream = assignment.name.as_str(),
                start = assignment.epoch,
                left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                "Upstream said in a response that it is cold."
            );
        }
    }

    /// Updates the metrics of cold upstreams.
    pub(crate) fn update_cold_meters(&self, now: Time, meters: &Meters) {
        let balancer = self.balancer.lock();
        let (cold, counts) = (balancer.count_cold(now), balancer.cold_counts());
        drop(balancer);
        meters.set_cold(cold, counts.sent, counts.avoided);
    }
}

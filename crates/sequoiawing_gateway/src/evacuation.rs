//! Evacuated data centres.
//!
//! See [docs/design/evacuation.md](../../../docs/design/evacuation.md).

use crate::GatewayState;
use sequoiawing_policy::serving::{CentreState, Evacuations};
use sequoiawing_router::{Code, Refused};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The retry delay for callers whose upstreams are all evacuated. The end of an evacuation
/// is not known; callers that come back more often find the same.
const EVACUATED_RETRY: Duration = Duration::from_secs(2);

impl GatewayState {
    /// Applies the evacuated data centres that a hub told as of a time, if its tables are
    /// known to be of that time; the set is `None` if it has none that is newer.
    pub(crate) fn apply_evacuations(&self, as_of: Option<Time>, set: Option<&Evacuations>) {
        let now = self.now();
        let mut balancer = self.balancer.lock();
        let changes = balancer.apply_evacuations(now, as_of, set);
        let (revision, count) = (balancer.evacuation_revision(), balancer.evacuated_count());
        drop(balancer);
        if let Some(meters) = &self.meters {
            meters.set_evacuated_centres(count);
        }
        for change in &changes {
            let phase = match change.state {
                CentreState::Open => "Data centre is taken back.",
                CentreState::Avoided => {
                    "Data centre is evacuated, other data centres are preferred."
                }
                CentreState::Closed => "Data centre is evacuated and receives no requests.",
            };
            log::info!(
                target: "gateway", centre = change.centre.as_str(), revision = revision,
                evacuated = count,
                closes_ms = u64::try_from(change.remaining.as_millis()).unwrap_or(u64::MAX);
                "{phase}"
            );
        }
        if !changes.is_empty() {
            self.upstreams_changed.notify(usize::MAX);
        }
    }

    /// Returns the revision of the known evacuated data centres.
    pub(crate) fn evacuation_revision(&self) -> u64 {
        self.balancer.lock().evacuation_revision()
    }

    /// Returns whether the data centre of an upstream receives no requests.
    pub(crate) fn is_evacuated(&self, upstream: &Name) -> bool {
        let balancer = self.balancer.lock();
        let state = balancer.state(upstream);
        state.is_some_and(|state| balancer.is_closed(self.now(), &state.centre))
    }

    /// Returns the refusal of a request whose upstreams are all evacuated.
    pub(crate) fn refuse_evacuated(&self) -> Refused {
        if let Some(meters) = &self.meters {
            meters.record_evacuation_refusal();
        }
        let problem = "all upstreams that can serve the request are evacuated";
        Refused::new(Code::NoUpstream, problem).with_retry_after(EVACUATED_RETRY)
    }
}

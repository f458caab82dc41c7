use crate::UpstreamState;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A short announcement that an upstream sends between two full ones when only
/// its load has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Renewal {
    /// The upstream's name.
    pub name: Name,
    /// The upstream's epoch.
    pub epoch: u64,
    /// The sequence number of its last full announcement.
    pub base: u64,
    /// Numbers the announcements and renewals within an epoch.
    pub sequence: u64,
    /// The number of requests that it is running.
    pub running: u32,
    /// The models and adapters that are running requests, or ran any since the
    /// previous announcement or renewal.
    pub active: Vec<Name>,
}

impl Renewal {
    /// The interval at which upstreams should renew; see docs/UPSTREAMS.md.
    pub const INTERVAL: Duration = Duration::from_secs(1);

    /// The interval at which upstreams should send a full announcement.
    pub const FULL_INTERVAL: Duration = Duration::from_secs(2);

    /// Returns the renewal that replaces the full announcement of `state`.
    ///
    /// `base` is the sequence number of an earlier full announcement that
    /// differs in the load only.
    pub fn of(state: &UpstreamState, base: u64) -> Self {
        Self {
            name: state.name.clone(),
            epoch: state.epoch,
            base,
            sequence: state.sequence,
            running: state.running,
            active: state.active.clone(),
        }
    }
}

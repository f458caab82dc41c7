//! The software versions that began streams, as gateways report them.

use crate::hub::HubState;
use sequoiawing_link::StreamOrigin;
use sequoiawing_policy::serving::SoftwareVersion;

impl HubState {
    /// Records the streams that a gateway has reported.
    pub(crate) fn record_origins(&self, reported: &[StreamOrigin]) {
        if reported.is_empty() {
            return;
        }
        let now = self.now();
        let mut streams = self.streams.lock();
        for origin in reported {
            let software = SoftwareVersion::Announced(origin.software.clone());
            for attempt in &origin.attempts {
                streams.record(now, *attempt, &software);
            }
        }
    }

    /// Returns the software versions that began the streams of callers' attempts, as far
    /// as this hub knows them.
    pub(crate) fn find_origins(&self, attempts: &[u64]) -> Vec<StreamOrigin> {
        let now = self.now();
        let mut streams = self.streams.lock();
        let found = attempts.iter().filter_map(|attempt| {
            let SoftwareVersion::Announced(software) = streams.get(now, *attempt)? else {
                return None;
            };
            Some(StreamOrigin {
                software: software.clone(),
                attempts: vec![*attempt],
            })
        });
        found.collect()
    }
}

//! The software versions that began streams, as gateways report them.

use crate::hub::HubState;
use sequoiawing_link::{OnlySoftware, OriginReply, OriginRequest, StreamOrigin};
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
    /// as this hub knows them, and the only version of their pool.
    pub(crate) fn find_origins(&self, request: &OriginRequest) -> OriginReply {
        let now = self.now();
        let only = self.roster.lock().only_software(now, &request.pool);
        let only = only.map(|(software, age)| OnlySoftware {
            software,
            age: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        });
        let mut streams = self.streams.lock();
        let found = request.attempts.iter().filter_map(|attempt| {
            let SoftwareVersion::Announced(software) = streams.get(now, *attempt)? else {
                return None;
            };
            Some(StreamOrigin {
                software: software.clone(),
                attempts: vec![*attempt],
            })
        });
        let origins = found.collect();
        OriginReply { origins, only }
    }
}

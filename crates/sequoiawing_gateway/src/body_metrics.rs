//! Counts bodies that were not read, and the memory that bodies take, for metrics.

use crate::GatewayState;
use sequoiawing_http::UploadError;

impl GatewayState {
    /// Records that the body of a request was not read to its end.
    pub(crate) fn record_unread_body(&self, error: &UploadError) {
        let cause = match error {
            UploadError::TooLarge(_) => "too_large",
            UploadError::NoRoom => "no_room",
            UploadError::Ended => "ended",
            UploadError::TimedOut => "timed_out",
            UploadError::Broken(_) => "broken",
        };
        if let Some(meters) = &self.meters {
            meters.record_unread_body(cause);
        }
    }

    /// Updates the metrics of the memory that bodies take.
    pub(crate) fn record_body_memory(&self) {
        if let Some(meters) = &self.meters {
            let counts = self.bodies.budget.counts();
            meters.set_body_memory(counts.held, counts.total);
        }
    }
}

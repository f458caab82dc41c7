//! The ends of answers that have neither a length nor chunks.

use crate::{GatewayState, slots::Slot};
use sequoiawing_http::BodyFraming;
use sequoiawing_runtime::sleep;
use std::time::Duration;

/// The time between the end of such an answer and the check of its upstream. The kernel
/// closes the sockets of a killed process one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(50);

impl GatewayState {
    /// Checks that an answer whose body has ended is complete.
    ///
    /// One that ends with its connection ends in the same way if its upstream is killed.
    /// It is complete if the upstream still accepts connections.
    ///
    /// # Errors
    ///
    /// Returns why the answer may have been cut.
    pub(crate) async fn check_answer_end(
        &self,
        slot: &Slot,
        framing: BodyFraming,
    ) -> Result<(), String> {
        if framing != BodyFraming::Connection {
            return Ok(());
        }
        sleep(CHECK_DELAY).await;
        let address = slot.assignment.address;
        let connected = self.client.check_connection(address).await;
        connected.map_err(|error| {
            format!("the answer ended with its connection, and the upstream is gone: {error}")
        })
    }
}

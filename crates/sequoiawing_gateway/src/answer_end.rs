//! The ends of answers that have neither a length nor chunks.

use crate::{GatewayExchange, GatewayState, slots::Slot};
use hyper::{Method, http::response::Parts};
use sequoiawing_http::BodyFraming;

/// Returns how the answer to a request tells where its body ends.
pub(crate) fn answer_framing(exchange: &GatewayExchange, parts: &Parts) -> BodyFraming {
    if exchange.method == Method::HEAD {
        return BodyFraming::Length;
    }
    BodyFraming::of(parts.status, &parts.headers)
}

impl GatewayState {
    /// Checks that an answer whose body has ended is complete.
    ///
    /// One that ends with its connection ends in the same way if its upstream is killed.
    /// It is complete if the upstream's process responds on another connection, which was
    /// open before the request was sent: a process that has ended sends nothing. That
    /// something accepts connections at the address is no evidence: a process that was
    /// started again does so too.
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
        let cause = match &slot.process {
            Some(process) if process.has_lived().await => return Ok(()),
            Some(_) => "the upstream's process does not respond",
            None => "nothing shows that the upstream's process still runs",
        };
        log::warn!(
            target: "gateway", upstream = slot.upstream().as_str(), start = slot.assignment.epoch,
            observed = slot.process.is_some(), took_ms = slot.millis_since_assigned();
            "Answer without a length counts as cut: {cause}."
        );
        Err(format!("the answer ended with its connection, and {cause}"))
    }
}

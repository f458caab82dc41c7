use super::Check;
use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Code, Refused};
use std::{sync::Arc, time::Duration};

/// The retry delay for callers while this host has no configuration.
const NO_CATALOG_RETRY: Duration = Duration::from_millis(500);

/// Parses the request's headers, and refuses requests before the first
/// configuration has arrived.
pub(crate) struct ParseHeaders {
    state: Arc<GatewayState>,
}

impl ParseHeaders {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }
}

impl Check for ParseHeaders {
    fn name(&self) -> &'static str {
        "read-call"
    }

    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        exchange.meta = self.state.dialect.parse_request(&exchange.headers)?;
        if exchange.index.version().is_none() {
            let problem = "this host has no configuration yet";
            let refused = Refused::new(Code::Unavailable, problem);
            return Err(refused.with_retry_after(NO_CATALOG_RETRY));
        }
        Ok(())
    }
}

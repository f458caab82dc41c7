use super::Check;
use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Code, Refused};
use std::{sync::Arc, time::Duration};

/// When a caller may come back to a host that has no configuration yet.
const NO_CATALOG_RETRY: Duration = Duration::from_millis(500);

/// Decodes the headers.
pub(crate) struct ReadCall {
    state: Arc<GatewayState>,
}

impl ReadCall {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }
}

impl Check for ReadCall {
    fn name(&self) -> &'static str {
        "read-call"
    }

    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        exchange.call = self.state.dialect.read(&exchange.headers)?;
        if exchange.index.version() == 0 {
            let problem = "this host has no configuration yet";
            let refused = Refused::new(Code::Unavailable, problem);
            return Err(refused.with_retry(NO_CATALOG_RETRY));
        }
        Ok(())
    }
}

use super::Check;
use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Code, Refused};
use std::sync::Arc;

/// Authenticates the customer by its API key, and removes the headers that
/// upstreams must not receive.
pub(crate) struct Authenticate {
    state: Arc<GatewayState>,
}

impl Authenticate {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    fn authenticate(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        self.state.dialect.strip_headers(&mut exchange.headers);
        if exchange.route.open || !exchange.index.requires_keys() {
            return Ok(());
        }
        let index = exchange.index.clone();
        let key = exchange.meta.key.as_deref();
        let customer = key.and_then(|key| index.customer(key));
        let Some(customer) = customer else {
            return Err(Refused::new(Code::Unauthorized, "the key is not in force"));
        };
        exchange.customer = Some(customer.clone());
        Ok(())
    }
}

impl Check for Authenticate {
    fn name(&self) -> &'static str {
        "authenticate"
    }

    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        self.authenticate(exchange)
    }
}

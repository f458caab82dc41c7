use super::Check;
use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Code, Refused};
use sequoiawing_types::Name;
use std::sync::Arc;

/// Selects the route and a pool of it, and sets the request's deadline.
pub(crate) struct SelectRoute {
    state: Arc<GatewayState>,
}

impl SelectRoute {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    fn select(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        let index = exchange.index.clone();
        let Some(route) = index.route(exchange.host(), exchange.uri.path()) else {
            return Err(Refused::new(Code::NotFound, "no route matches"));
        };
        let limit = exchange.meta.deadline.unwrap_or(route.timeout());
        exchange.deadline = exchange.arrival + limit.min(route.timeout());
        let pool: Option<&Name> = route.choose_pool(rand::random());
        exchange.pool = pool.cloned().unwrap_or_default();
        exchange.route = route.clone();
        if exchange.remaining(self.state.now()).is_zero() {
            return Err(Refused::new(Code::TooLate, "the request's time is up"));
        }
        Ok(())
    }
}

impl Check for SelectRoute {
    fn name(&self) -> &'static str {
        "route"
    }

    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        self.select(exchange)
    }
}

//! The filters of a gateway, one job each.

mod authenticate;
mod forward;
mod limit;
mod read_body;
mod read_call;
mod route;

use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Answer, Chain, Filter, Next, Refused};
use std::sync::Arc;

/// A filter that fills in a part of the exchange or refuses the request, and
/// has no part in the answer.
trait Check: Send + Sync {
    /// Returns the name under which the filter stands in the state dump.
    fn name(&self) -> &'static str;

    /// Fills in what it decides.
    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused>;
}

/// Runs the rest of the chain behind a check that passed.
struct Checked<C>(C);

impl<C> Filter<GatewayExchange> for Checked<C>
where
    C: Check,
{
    fn name(&self) -> &'static str {
        self.0.name()
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut GatewayExchange,
        next: Next<'a, GatewayExchange>,
    ) -> Answer<'a> {
        Box::pin(async move {
            self.0.check(exchange)?;
            next.run(exchange).await
        })
    }
}

/// Returns the filters in their order.
pub(crate) fn chain(state: &Arc<GatewayState>) -> Chain<GatewayExchange> {
    let mut chain = Chain::default();
    chain.push(Checked(read_call::ReadCall::new(state.clone())));
    chain.push(Checked(route::SelectRoute::new(state.clone())));
    chain.push(Checked(authenticate::Authenticate::new(state.clone())));
    chain.push(read_body::ReadBody);
    chain.push(limit::Limit::new(state.clone()));
    chain.push(forward::Forward::new(state.clone()));
    chain
}

//! The filters that each request passes through.

mod authenticate;
mod forward;
mod parse_headers;
mod rate_limit;
mod read_body;
mod route;

use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Chain, Filter, FilterFuture, Next, Refused};
use std::sync::Arc;

/// A filter that sets fields of the exchange or refuses the request, and does
/// not see the response.
trait Check: Send + Sync {
    /// Returns the filter's name in the state dump.
    fn name(&self) -> &'static str;

    /// Checks the request and sets the fields that the check decides.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the request.
    fn check(&self, exchange: &mut GatewayExchange) -> Result<(), Refused>;
}

/// Adapts a [`Check`] to a filter that runs the rest of the chain if it passes.
struct CheckFilter<C>(C);

impl<C> Filter<GatewayExchange> for CheckFilter<C>
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
    ) -> FilterFuture<'a> {
        Box::pin(async move {
            self.0.check(exchange)?;
            next.run(exchange).await
        })
    }
}

/// Returns the chain of filters, in order.
pub(crate) fn chain(state: &Arc<GatewayState>) -> Chain<GatewayExchange> {
    let mut chain = Chain::default();
    chain.push(CheckFilter(parse_headers::ParseHeaders::new(state.clone())));
    chain.push(CheckFilter(route::SelectRoute::new(state.clone())));
    chain.push(CheckFilter(authenticate::Authenticate::new(state.clone())));
    chain.push(read_body::ReadBody::new(state.clone()));
    chain.push(rate_limit::RateLimit::new(state.clone()));
    chain.push(forward::Forward::new(state.clone()));
    chain
}

use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Code, Filter, FilterFuture, Next, Refused};
use sequoiawing_types::Ran;
use std::{sync::Arc, time::Duration};

/// The minimum retry delay for callers that exceed their rate.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Enforces the customers' rate limits, which apply across all hosts.
pub(crate) struct RateLimit {
    state: Arc<GatewayState>,
}

impl RateLimit {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    fn charge(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        let Some(customer) = exchange.customer.clone() else {
            return Ok(());
        };
        let units = customer.cost(exchange.meta.total_tokens());
        self.state
            .charge(&customer, units)
            .map_err(|(retry, view)| {
                log::info!(
                    target: "gateway", request = exchange.meta.id.as_str(),
                    customer = customer.name.as_str(), units = units, rate = customer.rate,
                    burst = customer.burst, used_here = self.state.usage_of(&customer.name),
                    hosts = view.hosts, missing = view.missing, cut_off = view.is_isolated;
                    "Request exceeds the customer's rate limit."
                );
                let problem = "the customer's rate and burst are used up";
                Refused::new(Code::RateLimited, problem)
                    .with_retry_after(retry.max(MIN_RETRY_DELAY))
            })?;
        exchange.units = units;
        Ok(())
    }
}

impl Filter<GatewayExchange> for RateLimit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut GatewayExchange,
        next: Next<'a, GatewayExchange>,
    ) -> FilterFuture<'a> {
        Box::pin(async move {
            self.charge(exchange)?;
            let (customer, units) = (exchange.customer.clone(), exchange.units);
            let result = next.run(exchange).await;
            if let (Err(refused), Some(customer)) = (&result, customer)
                && refused.ran == Ran::No
            {
                self.state.refund(&customer, units);
            }
            result
        })
    }
}

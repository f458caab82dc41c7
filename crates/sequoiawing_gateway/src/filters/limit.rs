use crate::{GatewayExchange, GatewayState};
use sequoiawing_router::{Answer, Code, Filter, Next, Refused};
use sequoiawing_types::Ran;
use std::{sync::Arc, time::Duration};

/// The shortest time after which a caller beyond its rate may come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// Holds customers to their rates over all hosts.
pub(crate) struct Limit {
    state: Arc<GatewayState>,
}

impl Limit {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    fn charge(&self, exchange: &mut GatewayExchange) -> Result<(), Refused> {
        let Some(customer) = exchange.customer.clone() else {
            return Ok(());
        };
        let units = customer.cost(exchange.call.total_tokens());
        self.state
            .charge(&customer, units)
            .map_err(|(retry, view)| {
                log::info!(
                    target: "gateway", request = exchange.call.id.as_str(),
                    customer = customer.name.as_str(), units = units, rate = customer.rate,
                    burst = customer.burst, used_here = self.state.used_by(&customer.name),
                    hosts = view.hosts, missing = view.missing, cut_off = view.is_isolated;
                    "A request is beyond its customer's rate."
                );
                let problem = "the customer's rate and burst are used up";
                Refused::new(Code::RateLimited, problem).with_retry(retry.max(LEAST_RETRY))
            })?;
        exchange.units = units;
        Ok(())
    }
}

impl Filter<GatewayExchange> for Limit {
    fn name(&self) -> &'static str {
        "limit"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut GatewayExchange,
        next: Next<'a, GatewayExchange>,
    ) -> Answer<'a> {
        Box::pin(async move {
            self.charge(exchange)?;
            let (customer, units) = (exchange.customer.clone(), exchange.units);
            let answer = next.run(exchange).await;
            if let (Err(refused), Some(customer)) = (&answer, customer)
                && refused.ran == Ran::No
            {
                self.state.give_back(&customer, units);
            }
            answer
        })
    }
}

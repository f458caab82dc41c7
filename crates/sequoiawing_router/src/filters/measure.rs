use crate::{Code, Exchange, Filter, FilterFuture, Next, Refused, RouterState};
use hyper::Response;
use sequoiawing_http::Body;
use sequoiawing_telemetry::{RequestAttributes, WithinRate};
use std::sync::Arc;

/// Measures the time until responses begin, and counts refusals.
pub(crate) struct MeasureRequest {
    state: Arc<RouterState>,
}

impl MeasureRequest {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn record(&self, exchange: &Exchange, result: &Result<Response<Body>, Refused>) {
        let Some(meters) = &self.state.meters else {
            return;
        };
        let attributes = request_attributes(exchange);
        let elapsed = self.state.now() - exchange.arrival;
        match result {
            Ok(response) => {
                meters.record_response(&attributes, response.status().as_u16(), elapsed);
            }
            Err(refused) => {
                meters.record_response(&attributes, refused.code.status().as_u16(), elapsed);
                let code = serde_json::to_string(&refused.code).unwrap_or_default();
                let within = within_rate(exchange, refused.code);
                meters.record_refusal(&attributes, code.trim_matches('"'), within);
            }
        }
    }
}

fn request_attributes(exchange: &Exchange) -> RequestAttributes {
    RequestAttributes {
        customer: exchange.customer_name(),
        route: exchange.route.name.clone(),
        model: exchange.model.clone().unwrap_or_default(),
    }
}

/// Returns whether a refused request was within its customer's rate; this is
/// unknown for requests that were refused before the budget was checked.
fn within_rate(exchange: &Exchange, code: Code) -> WithinRate {
    match code {
        Code::RateLimited => WithinRate::No,
        Code::TooLate | Code::Overloaded | Code::NoUpstream | Code::UpstreamFailed
            if exchange.customer.is_some() =>
        {
            WithinRate::Yes
        }
        _ => WithinRate::Unknown,
    }
}

impl Filter for MeasureRequest {
    fn name(&self) -> &'static str {
        "measure"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(async move {
            let result = next.run(exchange).await;
            self.record(exchange, &result);
            result
        })
    }
}

/// Measures the time that requests take whose model or adapter is not loaded
/// when they are ready to be sent.
pub(crate) struct MeasureColdStart {
    state: Arc<RouterState>,
}

impl MeasureColdStart {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn is_cold(&self, exchange: &Exchange) -> bool {
        let Some(model) = &exchange.model else {
            return false;
        };
        let registry = self.state.registry.lock();
        let mut pool = registry.iter().filter(|u| u.pool == exchange.route.pool);
        let adapter = exchange.adapter.as_ref();
        !pool.any(|u| u.has_model(model) && adapter.is_none_or(|a| u.has_adapter(a)))
    }
}

impl Filter for MeasureColdStart {
    fn name(&self) -> &'static str {
        "measure-cold-start"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> FilterFuture<'a> {
        let meters = self
            .state
            .meters
            .as_ref()
            .filter(|_| self.is_cold(exchange));
        let Some(meters) = meters else {
            return next.run(exchange);
        };
        Box::pin(async move {
            let result = next.run(exchange).await;
            let elapsed = self.state.now() - exchange.arrival;
            meters.record_cold_start(&request_attributes(exchange), result.is_ok(), elapsed);
            result
        })
    }
}

use crate::{Answer, Code, Exchange, Filter, Next, Refused, RouterState};
use hyper::Response;
use sequoiawing_http::Body;
use sequoiawing_telemetry::{RequestAttributes, WithinRate};
use std::sync::Arc;

/// Measures how long answers take to begin, and counts refusals.
pub(crate) struct MeasureRequest {
    state: Arc<RouterState>,
}

impl MeasureRequest {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    fn record(&self, exchange: &Exchange, answer: &Result<Response<Body>, Refused>) {
        let Some(meters) = &self.state.meters else {
            return;
        };
        let asked = asked(exchange);
        let took = self.state.now() - exchange.arrival;
        match answer {
            Ok(response) => meters.record_response(&asked, response.status().as_u16(), took),
            Err(refused) => {
                meters.record_response(&asked, refused.code.status().as_u16(), took);
                let code = serde_json::to_string(&refused.code).unwrap_or_default();
                let within = within_rate(exchange, refused.code);
                meters.record_refusal(&asked, code.trim_matches('"'), within);
            }
        }
    }
}

fn asked(exchange: &Exchange) -> RequestAttributes {
    RequestAttributes {
        customer: exchange.customer_name(),
        route: exchange.route.name.clone(),
        model: exchange.model.clone().unwrap_or_default(),
    }
}

/// Says whether a refused request was within its customer's rate; those that
/// were refused before the budget was asked are not known to be.
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

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> Answer<'a> {
        Box::pin(async move {
            let answer = next.run(exchange).await;
            self.record(exchange, &answer);
            answer
        })
    }
}

/// Measures how long requests take whose model or adapter is not loaded when
/// they come to be sent.
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

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, next: Next<'a>) -> Answer<'a> {
        let meters = self
            .state
            .meters
            .as_ref()
            .filter(|_| self.is_cold(exchange));
        let Some(meters) = meters else {
            return next.run(exchange);
        };
        Box::pin(async move {
            let answer = next.run(exchange).await;
            let took = self.state.now() - exchange.arrival;
            meters.record_cold_start(&asked(exchange), answer.is_ok(), took);
            answer
        })
    }
}

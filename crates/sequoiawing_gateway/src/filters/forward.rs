use crate::{
    GatewayExchange, GatewayState, ResponseKind,
    attempt::{AttemptError, UpstreamResponse, buffered_response, send},
    hedge::{Race, RaceError, Winner},
    relay::relay,
    retry_budget::RetryCause,
    slots::{Slot, SlotSearch},
    state::DemandEvent,
};
use bytes::Bytes;
use hyper::{Response, http::response::Parts};
use sequoiawing_http::Body;
use sequoiawing_policy::serving::{BalancerRequest, Hedge, HedgeSettings};
use sequoiawing_router::{Code, Filter, FilterFuture, Next, Refused};
use sequoiawing_types::{Name, Ran};
use std::{sync::Arc, time::Duration};

/// The number of failed connects after which a request is refused.
const MAX_CONNECT_FAILURES: u32 = 4;

/// The retry delay for callers whose request no upstream accepted.
const OVERLOADED_RETRY: Duration = Duration::from_millis(200);

/// The silence timeout of an attempt, in multiples of the route's latency
/// target.
const SILENCE_TIMEOUT_FACTOR: u32 = 2;

/// The minimum silence timeout of an attempt.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Forwards requests to upstreams and retries failed attempts.
pub(crate) struct Forward {
    state: Arc<GatewayState>,
}

/// The progress of a request through its attempts.
struct Progress {
    request: BalancerRequest,
    /// The number of times the request was sent.
    attempts: u32,
    /// The number of failed connects.
    connect_failures: u32,
    ran: Ran,
}

impl Forward {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    async fn forward(&self, exchange: &mut GatewayExchange) -> Result<Response<Body>, Refused> {
        let mut progress = Progress {
            request: exchange.balancer_request(),
            attempts: 0,
            connect_failures: 0,
            ran: Ran::No,
        };
        self.state.check_quarantine(exchange)?;
        progress.request.software = self.state.required_software(exchange).await?;
        let tokens = exchange.meta.total_tokens().unwrap_or_default();
        let is_patient = self
            .state
            .settings
            .is_patient(exchange.route.target_latency());
        let event = DemandEvent::Requested { tokens, is_patient };
        self.state.record_demand(&progress.request, event);
        self.state.record_request(&exchange.pool);
        loop {
            self.recheck(exchange, &progress)?;
            let slot = SlotSearch::new(&self.state, exchange)
                .acquire(&progress.request)
                .await;
            let slot = slot.map_err(|refused| final_refusal(refused, progress.ran))?;
            self.recheck(exchange, &progress)?;
            let upstream = slot.upstream().clone();
            let epoch = slot.assignment.epoch;
            log::info!(
                target: "gateway", request = exchange.meta.id.as_str(),
                digest = exchange.digest().to_string(),
                route = exchange.route.name.as_str(), version = exchange.index.version(),
                model = exchange.model(), customer = exchange.customer(),
                upstream = upstream.as_str(), load = slot.assignment.load,
                software = slot.assignment.software.to_string(),
                behind = exchange.meta.last_event_id,
                missing = slot.assignment.uncached, attempt = progress.attempts + 1,
                waited_ms = exchange.millis_since_arrival(self.state.now());
                "Sending request to an upstream."
            );
            progress.request.tried.push(upstream.clone());
            match self.send(exchange, slot, &mut progress).await {
                Ok(UpstreamResponse::Stream(parts, source)) => {
                    let exchange = exchange.detach();
                    let (request, attempts) = (progress.request, progress.attempts);
                    let response = (parts, source);
                    return Ok(relay(
                        self.state.clone(),
                        exchange,
                        request,
                        attempts,
                        response,
                    ));
                }
                Ok(UpstreamResponse::Buffered(parts, bytes)) => {
                    return Ok(self.answer(exchange, &upstream, parts, bytes));
                }
                Err(failure) => {
                    log::info!(
                        target: "gateway", request = exchange.meta.id.as_str(),
                        upstream = upstream.as_str(), start = epoch,
                        digest = exchange.digest().to_string(),
                        parts = exchange.meta.shared_ids(), sent = progress.attempts,
                        cause = failure.to_string();
                        "Attempt failed."
                    );
                    if let AttemptError::ServerError(parts, bytes) = failure {
                        if self.may_retry(exchange, &progress) {
                            progress.ran = Ran::Yes;
                            continue;
                        }
                        return Ok(self.answer(exchange, &upstream, *parts, bytes));
                    }
                    self.handle_failure(exchange, &mut progress, failure)?;
                }
            }
        }
    }

    /// Sends a request to an upstream, and to a second one if the first is silent.
    async fn send(
        &self,
        exchange: &GatewayExchange,
        slot: Slot,
        progress: &mut Progress,
    ) -> Result<UpstreamResponse, AttemptError> {
        let assignment = slot.assignment.clone();
        let settings = hedge_settings(exchange);
        let mut hedge = Hedge::new(self.state.now(), settings, progress.attempts + 1);
        let first = send(&self.state, exchange, slot, None);
        let race = Race {
            state: &self.state,
            exchange,
            request: &mut progress.request,
            assignment: &assignment,
            last_event_id: None,
            has_begun: false,
            hedge: &mut hedge,
        };
        let result = race.run(first).await;
        progress.attempts = hedge.attempts();
        match result {
            Ok(Winner::First(response) | Winner::Second(response)) => Ok(response),
            Err(RaceError { first, second }) => match second {
                Some(error @ AttemptError::ServerError(..)) => Err(error),
                Some(AttemptError::MayHaveRun(_) | AttemptError::TimedOut) => {
                    progress.ran = Ran::Unknown;
                    Err(first)
                }
                _ => Err(first),
            },
        }
    }

    fn answer(
        &self,
        exchange: &GatewayExchange,
        upstream: &Name,
        parts: Parts,
        bytes: Bytes,
    ) -> Response<Body> {
        log::info!(
            target: "gateway", request = exchange.meta.id.as_str(),
            upstream = upstream.as_str(), status = parts.status.as_u16(),
            took_ms = exchange.millis_since_arrival(self.state.now());
            "Request answered."
        );
        buffered_response(parts, bytes)
    }

    /// Returns `Ok` if a failed request may be retried, or else its refusal.
    fn handle_failure(
        &self,
        exchange: &GatewayExchange,
        progress: &mut Progress,
        failure: AttemptError,
    ) -> Result<(), Refused> {
        let ran = progress.ran;
        match failure {
            AttemptError::NotSent(cause) | AttemptError::Unwanted(cause) => {
                progress.connect_failures += 1;
                if progress.connect_failures < MAX_CONNECT_FAILURES {
                    return Ok(());
                }
                let problem = format!("no upstream could be reached: {cause}");
                let refused = Refused::new(Code::NoUpstream, problem);
                Err(final_refusal(
                    refused.with_retry_after(OVERLOADED_RETRY),
                    ran,
                ))
            }
            AttemptError::NotRun(kind) => {
                let backoff = self.state.common_backoff(&progress.request);
                if backoff.is_none() && self.may_retry(exchange, progress) {
                    return Ok(());
                }
                let problem = match kind {
                    _ if backoff.is_some() => "all upstreams want no requests for now",
                    ResponseKind::Lacking => "the upstream lacks the model",
                    ResponseKind::Elsewhere => "the upstream is gone",
                    _ => "the upstream is full",
                };
                let refused = Refused::new(Code::Overloaded, problem);
                let retry = backoff.unwrap_or(OVERLOADED_RETRY);
                Err(final_refusal(refused.with_retry_after(retry), ran))
            }
            AttemptError::MayHaveRun(cause) => {
                progress.ran = Ran::Unknown;
                if exchange.route.repeat.allows_retry() && self.may_retry(exchange, progress) {
                    return Ok(());
                }
                let problem = format!("the upstream failed: {cause}");
                Err(Refused::new(Code::UpstreamFailed, problem).with_ran(Ran::Unknown))
            }
            AttemptError::TimedOut | AttemptError::ServerError(..) => {
                let problem = "the upstream did not answer in time";
                Err(Refused::new(Code::TimedOut, problem).with_ran(Ran::Unknown))
            }
        }
    }

    /// Refuses a request with a cause of crashes that was quarantined meanwhile, or that
    /// cannot end before this host does.
    fn recheck(&self, exchange: &GatewayExchange, progress: &Progress) -> Result<(), Refused> {
        let is_repeat = progress.ran != Ran::No;
        let rechecked = self.state.recheck_quarantine(exchange, is_repeat);
        let rechecked = rechecked.and_then(|()| self.state.check_stop(exchange));
        rechecked.map_err(|refused| final_refusal(refused, progress.ran))
    }

    fn may_retry(&self, exchange: &GatewayExchange, progress: &Progress) -> bool {
        let is_allowed = progress.attempts < exchange.route.attempts.max(1);
        let has_time = !exchange.remaining(self.state.now()).is_zero();
        is_allowed && has_time && self.state.take_retry(exchange, RetryCause::Failure)
    }
}

/// Returns when a request is sent to a second upstream beside a silent one.
fn hedge_settings(exchange: &GatewayExchange) -> HedgeSettings {
    let route = &exchange.route;
    let may_repeat = route.repeat.allows_retry();
    let silence = route.target_latency() * SILENCE_TIMEOUT_FACTOR;
    HedgeSettings {
        silence: silence.max(MIN_SILENCE_TIMEOUT),
        max_attempts: if may_repeat { route.attempts } else { 1 },
    }
}

/// Returns the refusal of a request whose earlier attempts may have run.
fn final_refusal(refused: Refused, ran: Ran) -> Refused {
    if ran == Ran::No {
        return refused;
    }
    Refused::new(Code::UpstreamFailed, refused.message).with_ran(ran)
}

impl Filter<GatewayExchange> for Forward {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn handle<'a>(
        &'a self,
        exchange: &'a mut GatewayExchange,
        _next: Next<'a, GatewayExchange>,
    ) -> FilterFuture<'a> {
        Box::pin(self.forward(exchange))
    }
}

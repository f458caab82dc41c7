use crate::{
    GatewayExchange, GatewayState, Judged,
    attempt::{Answered, Failed, send, whole_response},
    relay::relay,
    state::Noted,
    waiting::Search,
};
use hyper::Response;
use sequoiawing_catalog::Repeat;
use sequoiawing_http::Body;
use sequoiawing_policy::serving::BalancerRequest;
use sequoiawing_router::{Answer, Code, Filter, Next, Refused};
use sequoiawing_types::Ran;
use std::{sync::Arc, time::Duration};

/// The upstreams that one request may fail to reach before it is given up.
const MAX_CONNECTS: u32 = 4;

/// When a caller may come back whose request no upstream took.
const FULL_RETRY: Duration = Duration::from_millis(200);

/// The aims of a route for which an upstream may be silent before another is
/// tried.
const SILENT_AIMS: u32 = 2;

/// The shortest time for which an upstream may be silent.
const LEAST_PATIENCE: Duration = Duration::from_millis(300);

/// Sends requests to upstreams.
pub(crate) struct Forward {
    state: Arc<GatewayState>,
}

/// What became of a request so far.
struct Progress {
    work: BalancerRequest,
    /// The upstreams that it was sent to.
    sent: u32,
    /// The upstreams that could not be reached.
    unreached: u32,
    ran: Ran,
}

impl Forward {
    pub(crate) fn new(state: Arc<GatewayState>) -> Self {
        Self { state }
    }

    async fn forward(&self, exchange: &mut GatewayExchange) -> Result<Response<Body>, Refused> {
        let mut progress = Progress {
            work: exchange.work(),
            sent: 0,
            unreached: 0,
            ran: Ran::No,
        };
        let tokens = exchange.call.total_tokens().unwrap_or_default();
        let noted = Noted::Asked { tokens };
        self.state.note_demand(&progress.work, noted);
        self.state.note_request(&exchange.pool);
        loop {
            let found = Search::new(&self.state, exchange).run(&progress.work).await;
            let slot = found.map_err(|refused| give_up(refused, progress.ran))?;
            let upstream = slot.upstream().clone();
            log::info!(
                target: "gateway", request = exchange.call.id.as_str(),
                route = exchange.route.name.as_str(), version = exchange.index.version(),
                model = exchange.model(), customer = exchange.customer(),
                upstream = upstream.as_str(), load = slot.assigned.load,
                missing = slot.assigned.uncached, attempt = progress.sent + 1,
                waited_ms = exchange.millis_since_arrival(self.state.now());
                "A request is sent."
            );
            progress.work.tried.push(upstream.clone());
            let patience = patience(exchange, &progress);
            match send(&self.state, exchange, slot, None, patience).await {
                Ok(Answered::Stream(parts, body, slot)) => {
                    let exchange = exchange.detach();
                    let answer = (parts, body, slot);
                    let (work, sent) = (progress.work, progress.sent + 1);
                    return Ok(relay(self.state.clone(), exchange, work, sent, answer));
                }
                Ok(Answered::Whole(parts, bytes)) => {
                    progress.sent += 1;
                    let is_failure = parts.status.is_server_error();
                    let repeats = is_failure && exchange.route.repeat == Repeat::Idempotent;
                    if repeats && self.may_send_again(exchange, &progress) {
                        progress.ran = Ran::Yes;
                        continue;
                    }
                    log::info!(
                        target: "gateway", request = exchange.call.id.as_str(),
                        upstream = upstream.as_str(), status = parts.status.as_u16(),
                        took_ms = exchange.millis_since_arrival(self.state.now());
                        "A request is answered."
                    );
                    return Ok(whole_response(parts, bytes));
                }
                Err(failed) => {
                    log::info!(
                        target: "gateway", request = exchange.call.id.as_str(),
                        upstream = upstream.as_str(), sent = progress.sent + 1,
                        cause = format!("{failed:?}");
                        "An attempt failed."
                    );
                    self.settle(exchange, &mut progress, failed)?;
                }
            }
        }
    }

    /// Decides whether a request is sent again.
    fn settle(
        &self,
        exchange: &GatewayExchange,
        progress: &mut Progress,
        failed: Failed,
    ) -> Result<(), Refused> {
        let ran = progress.ran;
        match failed {
            Failed::NotSent(cause) => {
                progress.unreached += 1;
                if progress.unreached < MAX_CONNECTS {
                    return Ok(());
                }
                let problem = format!("no upstream could be reached: {cause}");
                let refused = Refused::new(Code::NoUpstream, problem);
                Err(give_up(refused.with_retry(FULL_RETRY), ran))
            }
            Failed::NotRun(judged) => {
                progress.sent += 1;
                if self.may_send_again(exchange, progress) {
                    return Ok(());
                }
                let problem = match judged {
                    Judged::Lacking => "the upstream lacks the model",
                    Judged::Elsewhere => "the upstream is gone",
                    _ => "the upstream is full",
                };
                let refused = Refused::new(Code::Overloaded, problem);
                Err(give_up(refused.with_retry(FULL_RETRY), ran))
            }
            Failed::MayHaveRun(cause) => {
                progress.sent += 1;
                progress.ran = Ran::Unknown;
                if exchange.route.repeat.may_repeat() && self.may_send_again(exchange, progress) {
                    return Ok(());
                }
                let problem = format!("the upstream failed: {cause}");
                Err(Refused::new(Code::UpstreamFailed, problem).with_ran(Ran::Unknown))
            }
            Failed::TimedOut => {
                let problem = "the upstream did not answer in time";
                Err(Refused::new(Code::TimedOut, problem).with_ran(Ran::Unknown))
            }
        }
    }

    fn may_send_again(&self, exchange: &GatewayExchange, progress: &Progress) -> bool {
        let is_allowed = progress.sent < exchange.route.attempts.max(1);
        let has_time = !exchange.left(self.state.now()).is_zero();
        is_allowed && has_time && self.state.take_repeat(&exchange.pool)
    }
}

/// Returns how long an upstream may be silent before another is tried; where
/// none may be, it is waited for as long as for the request.
fn patience(exchange: &GatewayExchange, progress: &Progress) -> Option<Duration> {
    let route = &exchange.route;
    let may_repeat = route.repeat.may_repeat() && progress.sent + 1 < route.attempts;
    may_repeat.then(|| (route.aim() * SILENT_AIMS).max(LEAST_PATIENCE))
}

/// Says what is true of a request that may have run.
fn give_up(refused: Refused, ran: Ran) -> Refused {
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
    ) -> Answer<'a> {
        Box::pin(self.forward(exchange))
    }
}

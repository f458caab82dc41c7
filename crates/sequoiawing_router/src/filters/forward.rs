use crate::{
    Code, Exchange, Filter, FilterFuture, Next, Refused, RouterState,
    attempt::{AttemptError, AttemptSender, RequestTemplate, UpstreamResponse},
    first_ok::{Either, first_ok},
    relay::{RelayedBody, relay_error_response},
    shard::{Assignment, PoolShard},
};
use futures_lite::FutureExt;
use hyper::Response;
use sequoiawing_http::Body;
use sequoiawing_policy::Refusal;
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, Ran, Time};
use std::{pin::pin, sync::Arc, time::Duration};

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 3;

/// The delay after which a caller may retry when an upstream failed.
const FAILURE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Waits for an upstream, sends the request and relays the response.
///
/// A request is retried if its failed attempt is known not to have run. On
/// repeatable routes it is also retried after any other failure; see
/// [docs/design/retries.md](../../../../docs/design/retries.md).
pub(crate) struct Forward {
    sender: AttemptSender,
}

/// The attempts of one request so far.
#[derive(Default)]
struct AttemptHistory {
    started: u32,
    failures: u32,
    avoid: Vec<Name>,
    ran: Ran,
}

impl AttemptHistory {
    /// Counts a new attempt and returns its number.
    fn start(&mut self) -> u32 {
        self.started += 1;
        self.started - 1
    }

    /// Returns whether the request ran, or unknown while an attempt is in progress.
    fn ran_so_far(&self) -> Ran {
        if self.started > self.failures {
            return Ran::Unknown;
        }
        self.ran
    }

    fn record_failure(&mut self, error: &AttemptError) {
        self.failures += 1;
        self.avoid.extend(error.upstream.clone());
        if self.ran == Ran::No {
            self.ran = error.ran;
        }
    }
}

impl Forward {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let sender = AttemptSender { state };
        Self { sender }
    }

    /// Forwards a request, and refuses it if its key is withdrawn meanwhile.
    async fn forward(&self, exchange: &Exchange) -> Result<Response<Body>, Refused> {
        let Some(key) = exchange.key.clone() else {
            return self.run(exchange, &mut AttemptHistory::default()).await;
        };
        let mut history = AttemptHistory::default();
        let withdrawn = async {
            self.sender.state.wait_withdrawn(key).await;
            None
        };
        let forwarded = async { Some(self.run(exchange, &mut history).await) };
        if let Some(result) = forwarded.or(withdrawn).await {
            return result;
        }
        let problem = "the key was withdrawn";
        Err(Refused::new(Code::Unauthorized, problem).with_ran(history.ran_so_far()))
    }

    async fn run(
        &self,
        exchange: &Exchange,
        history: &mut AttemptHistory,
    ) -> Result<Response<Body>, Refused> {
        let state = &self.sender.state;
        let shard = state.shard(&exchange.route.pool);
        let template = Arc::new(RequestTemplate::new(exchange));
        let hedged = HedgedAttempt {
            forward: self,
            exchange,
            template: &template,
            shard: &shard,
            deadline: exchange.response_deadline(),
        };
        state.record_attempt(&template.dispatch_request.customer, &exchange.route.pool);
        loop {
            let dispatch_request = template.dispatch_request(
                state.next_request(),
                hedged.deadline,
                history.avoid.clone(),
            );
            let waited = shard.acquire(dispatch_request).await;
            let assignment = waited
                .map_err(|(refusal, retry_after)| refuse(&refusal, retry_after, history.ran))?;
            let error = match hedged.run(assignment, history).await {
                Ok((response, assignment)) => {
                    let (template, shard) = (template.clone(), shard.clone());
                    return Ok(self.relay(exchange, template, shard, response, assignment));
                }
                Err(error) => error,
            };
            let request_id = &exchange.request_id;
            log::warn!(target: "forward", "An attempt of request {request_id} failed: {}.", error.cause);
            if !self.may_retry(exchange, history, &error) {
                return final_result(exchange, history, error);
            }
        }
    }

    /// Returns whether a failed request is retried.
    ///
    /// Attempts that reached no upstream put no load on one, so they are not
    /// charged to the retry budget.
    fn may_retry(
        &self,
        exchange: &Exchange,
        history: &AttemptHistory,
        error: &AttemptError,
    ) -> bool {
        let is_safe = history.ran == Ran::No || exchange.route.repeatable;
        let in_time = exchange.response_deadline() > self.sender.state.now();
        is_safe
            && in_time
            && history.started < MAX_ATTEMPTS
            && (!error.reached || self.take_retry(exchange))
    }

    fn take_retry(&self, exchange: &Exchange) -> bool {
        let customer = exchange.customer_name();
        self.sender
            .state
            .take_retry(&customer, &exchange.route.pool)
    }

    fn relay(
        &self,
        exchange: &Exchange,
        template: Arc<RequestTemplate>,
        shard: Arc<PoolShard>,
        response: UpstreamResponse,
        assignment: Assignment,
    ) -> Response<Body> {
        let withdrawn = exchange.key.clone();
        let withdrawn = withdrawn.map(|key| self.sender.state.wait_withdrawn(key));
        let sender = self.sender.clone();
        RelayedBody::relay(sender, template, shard, response, assignment, withdrawn)
    }
}

/// Returns the response or refusal for a request that is not retried.
fn final_result(
    exchange: &Exchange,
    history: &AttemptHistory,
    error: AttemptError,
) -> Result<Response<Body>, Refused> {
    if let Some(response) = error.response {
        return Ok(relay_error_response(*response));
    }
    let problem = format!("the upstream failed: {}", error.cause);
    let refused = Refused::new(Code::UpstreamFailed, problem).with_ran(history.ran);
    if history.ran == Ran::No || exchange.route.repeatable {
        return Err(refused.with_retry_after(FAILURE_RETRY_DELAY));
    }
    Err(refused)
}

/// An attempt that is hedged with a second one when it is slow or its upstream
/// is gone.
struct HedgedAttempt<'a> {
    forward: &'a Forward,
    exchange: &'a Exchange,
    template: &'a RequestTemplate,
    shard: &'a Arc<PoolShard>,
    deadline: Time,
}

type StartedResponse = (UpstreamResponse, Assignment);

impl HedgedAttempt<'_> {
    /// Runs one attempt, and a second one concurrently if there is no response
    /// after half of the remaining time; the first response wins.
    ///
    /// A frozen upstream then costs no more than a slow one. The first attempt
    /// is not cancelled, since the second one may be slower.
    async fn run(
        &self,
        assignment: Assignment,
        history: &mut AttemptHistory,
    ) -> Result<StartedResponse, AttemptError> {
        let upstream = assignment.upstream.clone();
        let health = assignment.health();
        let mut first = Box::pin(self.send(assignment, history.start()));
        let hedge_trigger = async {
            self.wait_for_hedge_trigger(&upstream).await;
            None
        };
        let early = async { Some(first.as_mut().await) }.or(hedge_trigger).await;
        let result = match early {
            Some(result) => result,
            None if !self.may_hedge(history) => first.as_mut().await,
            None => {
                let second = pin!(self.hedge(upstream, history.start()));
                match first_ok(first.as_mut(), second).await {
                    Ok(Either::Left(started)) => Ok(started),
                    Ok(Either::Right(started)) => {
                        health.mark_failed();
                        Ok(started)
                    }
                    Err((error, last)) => {
                        history.record_failure(&error);
                        Err(last)
                    }
                }
            }
        };
        result.inspect_err(|error| history.record_failure(error))
    }

    async fn send(
        &self,
        assignment: Assignment,
        number: u32,
    ) -> Result<StartedResponse, AttemptError> {
        let sender = &self.forward.sender;
        let number = number.to_string();
        let sent = sender.send(self.template, &assignment, &number, self.deadline, None);
        match sent.await {
            Ok(response) => Ok((response, assignment)),
            Err(error) => {
                if error.unhealthy {
                    assignment.health().mark_failed();
                }
                Err(error.with_upstream(assignment.upstream.clone()))
            }
        }
    }

    /// Waits until half of the remaining time has passed or the upstream is gone.
    async fn wait_for_hedge_trigger(&self, upstream: &Name) {
        let remaining = self.deadline.since(self.forward.sender.state.now());
        sleep(remaining / 2)
            .or(self.shard.wait_removed(upstream))
            .await;
    }

    fn may_hedge(&self, history: &AttemptHistory) -> bool {
        self.exchange.route.repeatable
            && history.started < MAX_ATTEMPTS
            && self.forward.take_retry(self.exchange)
    }

    async fn hedge(
        &self,
        slow_upstream: Name,
        number: u32,
    ) -> Result<StartedResponse, AttemptError> {
        let id = self.forward.sender.state.next_request();
        let dispatch_request =
            self.template
                .dispatch_request(id, self.deadline, vec![slow_upstream]);
        let waited = self.shard.acquire(dispatch_request).await;
        let assignment =
            waited.map_err(|_| AttemptError::not_sent("no other upstream was free"))?;
        self.send(assignment, number).await
    }
}

fn refuse(reason: &Refusal, retry_after: Duration, ran: Ran) -> Refused {
    let (code, message) = match reason {
        Refusal::TooLate => (Code::TooLate, "no upstream can start before the deadline"),
        Refusal::QueueFull => (Code::Overloaded, "too many requests wait"),
        Refusal::NoUpstream => (Code::NoUpstream, "no upstream can serve the request"),
    };
    Refused::new(code, message)
        .with_retry_after(retry_after)
        .with_ran(ran)
}

impl Filter for Forward {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, _next: Next<'a>) -> FilterFuture<'a> {
        Box::pin(self.forward(exchange))
    }
}

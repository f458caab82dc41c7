use crate::{
    Answer, Code, Exchange, Filter, Next, Refused, RouterState,
    attempt::{Attempts, Failed, Template, UpstreamAnswer},
    first_ok::{First, first_ok},
    relay::{RelayedBody, relay_held},
    shard::{Assignment, PoolShard},
};
use futures_lite::FutureExt;
use hyper::Response;
use sequoiawing_http::Body;
use sequoiawing_policy::Refusal;
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, Ran, Time};
use std::{pin::pin, sync::Arc, time::Duration};

/// The most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// When a caller may ask again after an upstream failed.
const FAILURE_RETRY: Duration = Duration::from_secs(1);

/// Waits for an upstream, sends the request and relays the answer.
///
/// A request whose attempt provably did nothing is sent again, and one that
/// may be repeated also after any other failure; see
/// [docs/design/retries.md](../../../../docs/design/retries.md).
pub(crate) struct Forward {
    attempts: Attempts,
}

/// How far the attempts of one request have come.
#[derive(Default)]
struct Tries {
    started: u32,
    failed: u32,
    avoid: Vec<Name>,
    ran: Ran,
}

impl Tries {
    /// Draws the number of the next attempt.
    fn start(&mut self) -> u32 {
        self.started += 1;
        self.started - 1
    }

    /// Returns what is known while an attempt may still run.
    fn ran_by_now(&self) -> Ran {
        if self.started > self.failed {
            return Ran::Unknown;
        }
        self.ran
    }

    /// Notes a failed attempt.
    fn note(&mut self, failed: &Failed) {
        self.failed += 1;
        self.avoid.extend(failed.upstream.clone());
        if self.ran == Ran::No {
            self.ran = failed.ran;
        }
    }
}

impl Forward {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let attempts = Attempts { state };
        Self { attempts }
    }

    /// Forwards a request until its key is withdrawn.
    async fn forward(&self, exchange: &Exchange) -> Result<Response<Body>, Refused> {
        let Some(key) = exchange.key.clone() else {
            return self.run(exchange, &mut Tries::default()).await;
        };
        let mut tries = Tries::default();
        let withdrawn = async {
            self.attempts.state.wait_withdrawn(key).await;
            None
        };
        let answered = async { Some(self.run(exchange, &mut tries).await) };
        if let Some(result) = answered.or(withdrawn).await {
            return result;
        }
        let problem = "the key was withdrawn";
        Err(Refused::new(Code::Unauthorized, problem).with_ran(tries.ran_by_now()))
    }

    async fn run(&self, exchange: &Exchange, tries: &mut Tries) -> Result<Response<Body>, Refused> {
        let state = &self.attempts.state;
        let shard = state.shard(&exchange.route.pool);
        let template = Arc::new(Template::new(exchange));
        let race = Race {
            forward: self,
            exchange,
            template: &template,
            shard: &shard,
            deadline: exchange.latest(),
        };
        state.record_attempt(&template.work.customer, &exchange.route.pool);
        loop {
            let work = template.work(state.next_request(), race.deadline, tries.avoid.clone());
            let waited = shard.acquire(work).await;
            let assignment = waited.map_err(|(why, retry)| refuse(&why, retry, tries.ran))?;
            let failed = match race.run(assignment, tries).await {
                Ok((answer, assignment)) => {
                    let (template, shard) = (template.clone(), shard.clone());
                    return Ok(self.relay(exchange, template, shard, answer, assignment));
                }
                Err(failed) => failed,
            };
            let request = &exchange.request;
            log::warn!(target: "forward", "An attempt of request {request} failed: {}.", failed.cause);
            if !self.may_retry(exchange, tries, &failed) {
                return give_up(exchange, tries, failed);
            }
        }
    }

    /// Decides whether a failed request is sent again.
    ///
    /// Attempts that reached no upstream burden none, so they cost nothing of
    /// the retry budget.
    fn may_retry(&self, exchange: &Exchange, tries: &Tries, failed: &Failed) -> bool {
        let is_safe = tries.ran == Ran::No || exchange.route.repeatable;
        let in_time = exchange.latest() > self.attempts.state.now();
        is_safe
            && in_time
            && tries.started < MAX_ATTEMPTS
            && (!failed.reached || self.take_retry(exchange))
    }

    fn take_retry(&self, exchange: &Exchange) -> bool {
        let customer = exchange.customer_name();
        self.attempts
            .state
            .take_retry(&customer, &exchange.route.pool)
    }

    fn relay(
        &self,
        exchange: &Exchange,
        template: Arc<Template>,
        shard: Arc<PoolShard>,
        answer: UpstreamAnswer,
        assignment: Assignment,
    ) -> Response<Body> {
        let withdrawn = exchange.key.clone();
        let withdrawn = withdrawn.map(|key| self.attempts.state.wait_withdrawn(key));
        let attempts = self.attempts.clone();
        RelayedBody::relay(attempts, template, shard, answer, assignment, withdrawn)
    }
}

/// Answers a request that is not sent again.
fn give_up(exchange: &Exchange, tries: &Tries, failed: Failed) -> Result<Response<Body>, Refused> {
    if let Some(answer) = failed.answer {
        return Ok(relay_held(*answer));
    }
    let problem = format!("the upstream failed: {}", failed.cause);
    let refused = Refused::new(Code::UpstreamFailed, problem).with_ran(tries.ran);
    if tries.ran == Ran::No || exchange.route.repeatable {
        return Err(refused.with_retry(FAILURE_RETRY));
    }
    Err(refused)
}

/// An attempt that a second one joins when it is slow or its upstream is gone.
struct Race<'a> {
    forward: &'a Forward,
    exchange: &'a Exchange,
    template: &'a Template,
    shard: &'a Arc<PoolShard>,
    deadline: Time,
}

type Begun = (UpstreamAnswer, Assignment);

impl Race<'_> {
    /// Runs one attempt, and beside it a second one when half of the time has
    /// passed without an answer; the first answer wins.
    ///
    /// A frozen upstream is so no worse than a slow one, and a slow one is not
    /// cut off for a second that might be slower.
    async fn run(&self, assignment: Assignment, tries: &mut Tries) -> Result<Begun, Failed> {
        let upstream = assignment.upstream.clone();
        let health = assignment.health();
        let mut first = Box::pin(self.send(assignment, tries.start()));
        let doubtful = async {
            self.wait_doubtful(&upstream).await;
            None
        };
        let early = async { Some(first.as_mut().await) }.or(doubtful).await;
        let result = match early {
            Some(result) => result,
            None if !self.may_hedge(tries) => first.as_mut().await,
            None => {
                let second = pin!(self.hedge(upstream, tries.start()));
                match first_ok(first.as_mut(), second).await {
                    Ok(First::Left(begun)) => Ok(begun),
                    Ok(First::Right(begun)) => {
                        health.mark_failed();
                        Ok(begun)
                    }
                    Err((failed, last)) => {
                        tries.note(&failed);
                        Err(last)
                    }
                }
            }
        };
        result.inspect_err(|failed| tries.note(failed))
    }

    async fn send(&self, assignment: Assignment, number: u32) -> Result<Begun, Failed> {
        let attempts = &self.forward.attempts;
        let number = number.to_string();
        let sent = attempts.send(self.template, &assignment, &number, self.deadline, None);
        match sent.await {
            Ok(answer) => Ok((answer, assignment)),
            Err(failed) => {
                if failed.unhealthy {
                    assignment.health().mark_failed();
                }
                Err(failed.with_upstream(assignment.upstream.clone()))
            }
        }
    }

    /// Waits until half of the time has passed or the upstream is gone.
    async fn wait_doubtful(&self, upstream: &Name) {
        let left = self.deadline.since(self.forward.attempts.state.now());
        sleep(left / 2).or(self.shard.wait_removed(upstream)).await;
    }

    fn may_hedge(&self, tries: &Tries) -> bool {
        self.exchange.route.repeatable
            && tries.started < MAX_ATTEMPTS
            && self.forward.take_retry(self.exchange)
    }

    async fn hedge(&self, slow: Name, number: u32) -> Result<Begun, Failed> {
        let id = self.forward.attempts.state.next_request();
        let work = self.template.work(id, self.deadline, vec![slow]);
        let waited = self.shard.acquire(work).await;
        let assignment = waited.map_err(|_| Failed::unsent("no other upstream was free"))?;
        self.send(assignment, number).await
    }
}

fn refuse(reason: &Refusal, retry: Duration, ran: Ran) -> Refused {
    let (code, message) = match reason {
        Refusal::TooLate => (Code::TooLate, "no upstream can start before the deadline"),
        Refusal::QueueFull => (Code::Overloaded, "too many requests wait"),
        Refusal::NoUpstream => (Code::NoUpstream, "no upstream can serve the request"),
    };
    Refused::new(code, message).with_retry(retry).with_ran(ran)
}

impl Filter for Forward {
    fn name(&self) -> &'static str {
        "forward"
    }

    fn handle<'a>(&'a self, exchange: &'a mut Exchange, _next: Next<'a>) -> Answer<'a> {
        Box::pin(self.forward(exchange))
    }
}

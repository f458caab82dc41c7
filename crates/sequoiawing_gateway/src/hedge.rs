//! Sends a request to a second upstream while the first one is silent.

use crate::{
    GatewayExchange, GatewayState,
    attempt::{AttemptError, UpstreamResponse, send},
    retry_budget::RetryCause,
    slots::SlotSearch,
};
use futures_lite::FutureExt;
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, BalancerRequest, Hedge, HedgeAction, HedgeAttempt, HedgeEvent,
};
use sequoiawing_runtime::{sleep, timeout};
use std::{
    future::{Future, pending},
    pin::{Pin, pin},
    sync::Arc,
    time::Duration,
};

/// How long two upstreams may work on one stream: the second one has begun its
/// answer, and has sent no event yet.
const MAX_OVERLAP: Duration = Duration::from_millis(200);

/// The answer that is used.
pub(crate) enum Winner<A, B> {
    First(A),
    Second(B),
}

/// The errors of both attempts; of the second one, those of the last that was
/// started.
pub(crate) struct RaceError {
    pub(crate) first: AttemptError,
    pub(crate) second: Option<AttemptError>,
}

/// A request that waits for an upstream, and for another one if it is silent.
pub(crate) struct Race<'a> {
    pub(crate) state: &'a Arc<GatewayState>,
    pub(crate) exchange: &'a GatewayExchange,
    pub(crate) request: &'a mut BalancerRequest,
    /// The upstream of the first attempt.
    pub(crate) assignment: &'a Assignment,
    /// The last event that the caller has received.
    pub(crate) last_event_id: Option<u64>,
    /// Whether the upstream has sent a part of its answer.
    pub(crate) has_begun: bool,
    pub(crate) hedge: &'a mut Hedge,
}

type Attempt<'a> =
    Pin<Box<dyn Future<Output = Result<UpstreamResponse, AttemptError>> + Send + 'a>>;

enum Step<A> {
    First(Result<A, AttemptError>),
    /// The attempt that took the place of the first one.
    Promoted(Result<UpstreamResponse, AttemptError>),
    Second(Result<UpstreamResponse, AttemptError>),
    Elapsed,
}

/// The attempts beside the first one, and what came of all of them.
struct Attempts<'a, A> {
    promoted: Option<Attempt<'a>>,
    second: Option<Attempt<'a>>,
    answer: Option<Winner<A, UpstreamResponse>>,
    first_error: Option<AttemptError>,
    second_error: Option<AttemptError>,
}

impl<A> Attempts<'_, A> {
    /// Records the end of an attempt.
    fn record(&mut self, step: Step<A>) -> HedgeEvent {
        match step {
            Step::First(Ok(first)) => {
                self.answer = Some(Winner::First(first));
                HedgeEvent::Answered(HedgeAttempt::First)
            }
            Step::Promoted(Ok(response)) => {
                self.answer = Some(Winner::Second(response));
                HedgeEvent::Answered(HedgeAttempt::First)
            }
            Step::Second(Ok(response)) => {
                self.answer = Some(Winner::Second(response));
                HedgeEvent::Answered(HedgeAttempt::Second)
            }
            Step::First(Err(error)) => {
                let event = failed(HedgeAttempt::First, &error);
                self.first_error = Some(error);
                event
            }
            Step::Promoted(Err(error)) => {
                self.promoted = None;
                let event = failed(HedgeAttempt::First, &error);
                self.second_error = Some(error);
                event
            }
            Step::Second(Err(error)) => {
                self.second = None;
                let event = failed(HedgeAttempt::Second, &error);
                self.second_error = Some(error);
                event
            }
            Step::Elapsed => HedgeEvent::Elapsed,
        }
    }
}

impl Race<'_> {
    /// Waits for the first answer; the other attempt is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error when no attempt is left.
    pub(crate) async fn run<F, A>(self, first: F) -> Result<Winner<A, UpstreamResponse>, RaceError>
    where
        F: Future<Output = Result<A, AttemptError>>,
    {
        let Self {
            state,
            exchange,
            request,
            assignment,
            last_event_id,
            has_begun,
            hedge,
        } = self;
        let mut first = pin!(first);
        let mut attempts = Attempts {
            promoted: None,
            second: None,
            answer: None,
            first_error: None,
            second_error: None,
        };
        let mut is_silent = false;
        let mut actions = Vec::new();
        loop {
            let due = hedge.due();
            let is_first_open = attempts.first_error.is_none();
            let promoted = &mut attempts.promoted;
            let first_step = async {
                match promoted {
                    Some(promoted) => Step::Promoted(promoted.await),
                    None if is_first_open => Step::First(first.as_mut().await),
                    None => pending().await,
                }
            };
            let second = &mut attempts.second;
            let second_step = async {
                match second {
                    Some(second) => Step::Second(second.await),
                    None => pending().await,
                }
            };
            let elapsed = async {
                match due {
                    Some(due) => sleep(due.since(state.now())).await,
                    None => pending().await,
                }
                Step::Elapsed
            };
            // If both have sent something, the second one is used: its run began
            // last, and a resumed stream must not go on at two upstreams.
            let step = second_step.or(first_step).or(elapsed).await;
            let now = state.now();
            let event = attempts.record(step);
            hedge.handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                match action {
                    HedgeAction::Search => {
                        let found = start_second(state, exchange, request, last_event_id);
                        // A pause within an answer alone is no reason to send the
                        // upstream no other requests.
                        if !is_silent && (found.is_some() || !has_begun) {
                            is_silent = true;
                            state.set_responsive(assignment, false);
                        }
                        let event = match found {
                            Some(second) => {
                                attempts.second = Some(Box::pin(second));
                                HedgeEvent::Sent
                            }
                            None => HedgeEvent::NotFound,
                        };
                        hedge.handle(now, event, &mut actions);
                    }
                    HedgeAction::Promote => attempts.promoted = attempts.second.take(),
                    HedgeAction::Use(_) => {
                        if let Some(answer) = attempts.answer.take() {
                            if is_silent {
                                let is_first = matches!(answer, Winner::First(_));
                                state.set_responsive(assignment, is_first);
                            }
                            return Ok(answer);
                        }
                    }
                    HedgeAction::Fail => {
                        if let Some(first) = attempts.first_error.take() {
                            let second = attempts.second_error.take();
                            return Err(RaceError { first, second });
                        }
                    }
                }
            }
        }
    }
}

fn failed(attempt: HedgeAttempt, error: &AttemptError) -> HedgeEvent {
    HedgeEvent::Failed {
        attempt,
        was_sent: error.was_sent(),
    }
}

/// Sends the request to another upstream, if one has a free slot and the retry
/// budget allows it.
///
/// The future ends once the response has begun, in general with the first event
/// of a stream.
fn start_second<'a>(
    state: &'a Arc<GatewayState>,
    exchange: &'a GatewayExchange,
    request: &mut BalancerRequest,
    last_event_id: Option<u64>,
) -> Option<impl Future<Output = Result<UpstreamResponse, AttemptError>> + use<'a>> {
    if !state.may_hedge(exchange) {
        return None;
    }
    let slot = SlotSearch::new(state, exchange).try_acquire(request)?;
    if !state.take_retry(exchange, RetryCause::Silence) {
        return None;
    }
    let upstream = slot.upstream().clone();
    request.tried.push(upstream.clone());
    log::info!(
        target: "gateway", request = exchange.meta.id.as_str(),
        upstream = upstream.as_str(), behind = last_event_id,
        waited_ms = exchange.millis_since_arrival(state.now());
        "Sending request to a second upstream, since the first is silent."
    );
    Some(async move {
        let sent = pin!(send(state, exchange, slot, last_event_id));
        let response = match sent.await {
            Ok(response) => wait_for_event(state, exchange, response, last_event_id).await,
            Err(error) => Err(error),
        };
        response.inspect_err(|error| {
            log::info!(
                target: "gateway", request = exchange.meta.id.as_str(),
                upstream = upstream.as_str(), cause = error.to_string();
                "Second attempt failed."
            );
        })
    })
}

/// Waits for the first event of a stream, for as long as two upstreams may work
/// on it.
async fn wait_for_event(
    state: &Arc<GatewayState>,
    exchange: &GatewayExchange,
    response: UpstreamResponse,
    last_event_id: Option<u64>,
) -> Result<UpstreamResponse, AttemptError> {
    let (parts, mut source) = match response {
        UpstreamResponse::Stream(parts, source) => (parts, source),
        UpstreamResponse::Buffered(parts, bytes) if exchange.route.repeat.is_stream() => {
            return Err(AttemptError::ServerError(Box::new(parts), bytes));
        }
        response @ UpstreamResponse::Buffered(..) => return Ok(response),
    };
    let last_event_id = last_event_id.or(exchange.meta.last_event_id);
    let steps = state.event_numbering(&exchange.pool, &source.slot.assignment);
    let read_ahead = source.stream.read_ahead(last_event_id, steps);
    match timeout(MAX_OVERLAP, read_ahead).await {
        Some(Err(cause)) => {
            state.record_broken_answer(exchange, &source.slot);
            source.slot.release(AttemptOutcome::Aborted);
            Err(AttemptError::MayHaveRun(cause))
        }
        Some(Ok(())) | None => Ok(UpstreamResponse::Stream(parts, source)),
    }
}

//! Relays event streams from upstreams to callers.

use crate::{
    GatewayExchange, GatewayState,
    attempt::{AttemptError, UpstreamResponse, describe_answer, send},
    hedge::{Race, Winner},
    retry_budget::RetryCause,
    slots::{Slot, SlotSearch},
    source::Source,
    stream_position::StreamPosition,
};
use bytes::Bytes;
use futures::stream::unfold;
use hyper::{Response, http::response::Parts};
use sequoiawing_catalog::RetryPolicy;
use sequoiawing_http::{Body, BodyError, from_stream, remove_hop_headers};
use sequoiawing_policy::serving::{AttemptOutcome, BalancerRequest, Hedge, HedgeSettings};
use sequoiawing_runtime::timeout;
use std::{sync::Arc, time::Duration};

/// The silence timeout of a stream, in multiples of the route's longest event
/// gap.
const SILENCE_GAPS: u32 = 2;

/// The minimum silence timeout of a stream.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// A stream that is being relayed.
struct StreamRelay {
    state: Arc<GatewayState>,
    exchange: Arc<GatewayExchange>,
    request: BalancerRequest,
    /// The number of times the request was sent.
    attempts: u32,
    source: Option<Box<Source>>,
    position: StreamPosition,
    /// Whether an event was passed on.
    has_begun: bool,
    is_finished: bool,
}

/// Relays a stream in whole events, and resumes it at another upstream after a
/// failure if the route allows.
pub(crate) fn relay(
    state: Arc<GatewayState>,
    exchange: GatewayExchange,
    request: BalancerRequest,
    attempts: u32,
    response: (Parts, Box<Source>),
) -> Response<Body> {
    let (mut parts, source) = response;
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    let steps = state.event_numbering(&exchange.pool, &source.slot.assignment);
    let position = StreamPosition::new(exchange.meta.last_event_id, steps);
    let relay = StreamRelay {
        state,
        exchange: Arc::new(exchange),
        request,
        attempts,
        source: Some(source),
        position,
        has_begun: false,
        is_finished: false,
    };
    let stream = unfold(relay, async |mut relay| {
        let item = relay.next().await?;
        Some((item, relay))
    });
    Response::from_parts(parts, from_stream(Box::pin(stream)))
}

impl StreamRelay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.is_finished {
            return None;
        }
        let state = self.state.clone();
        let next = state.stop.last_answer.or(self.next_events()).await;
        next.unwrap_or_else(|| {
            let cause = "this host ends before the stream does";
            Some(Err(self.abort(AttemptOutcome::Cancelled, cause)))
        })
    }

    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let remaining = self.exchange.remaining(self.state.now());
            match timeout(remaining, self.wait()).await {
                None => {
                    return Some(Err(
                        self.abort(AttemptOutcome::Failed, "the request's deadline has passed")
                    ));
                }
                Some(Ok(Some(events))) => {
                    self.record_first_event();
                    return Some(Ok(events));
                }
                Some(Ok(None)) => {
                    self.finish("whole");
                    return None;
                }
                Some(Err(cause)) => {
                    if !self.fail_over(&cause).await {
                        return Some(Err(self.abort(AttemptOutcome::Aborted, &cause)));
                    }
                }
            }
        }
    }

    /// Records the latency of the first event of a stream of a single attempt.
    fn record_first_event(&mut self) {
        let has_begun = std::mem::replace(&mut self.has_begun, true);
        let source = self.source.as_ref();
        if let Some(source) = source.filter(|_| !has_begun) {
            let assignment = &source.slot.assignment;
            self.state
                .bind_stream(&self.exchange, &mut self.request, assignment);
        }
        if let Some(source) = source.filter(|_| !has_begun && self.attempts <= 1) {
            let (exchange, request) = (&self.exchange, &self.request);
            self.state
                .record_first_event(exchange, request, &source.slot);
        }
    }

    /// Returns whether another upstream can go on behind the last event.
    fn is_resumable(&self) -> bool {
        self.exchange.route.repeat == RetryPolicy::Resumable && self.position.may_resume()
    }

    /// Returns when another upstream is tried beside a silent one.
    fn hedge_settings(&self) -> HedgeSettings {
        let route = &self.exchange.route;
        let gap = Duration::from_millis(route.gap) * SILENCE_GAPS;
        let is_first = self.position.count() == 0;
        let limit = if is_first {
            gap.max(route.target_latency())
        } else {
            gap
        };
        let is_resumable = self.is_resumable();
        HedgeSettings {
            silence: limit.max(MIN_SILENCE_TIMEOUT),
            max_attempts: if is_resumable { route.attempts } else { 1 },
        }
    }

    /// Waits for complete events, of another upstream if the current one is
    /// silent; returns `None` at the end of the stream.
    async fn wait(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            let settings = self.hedge_settings();
            let Some(source) = &mut self.source else {
                return Err("the stream has no upstream".to_owned());
            };
            let mut hedge = Hedge::new(self.state.now(), settings, self.attempts);
            let assignment = source.slot.assignment.clone();
            let last_event_id = self.position.last_id();
            let (source, position) = (source.as_mut(), &mut self.position);
            let state = &self.state;
            let mut broken = None;
            let first = async {
                let read = source.read(state, position).await;
                if let Err(cause) = &read {
                    broken = Some(cause.clone());
                }
                read.map_err(AttemptError::MayHaveRun)
            };
            let race = Race {
                state,
                exchange: &self.exchange,
                request: &mut self.request,
                assignment: &assignment,
                last_event_id,
                has_begun: true,
                hedge: &mut hedge,
            };
            let result = race.run(first).await;
            self.attempts = hedge.attempts();
            match result {
                Ok(Winner::First(events)) => return Ok(events),
                Ok(Winner::Second(UpstreamResponse::Stream(_, source))) => {
                    // Closing the connection ends the former run.
                    match broken {
                        Some(cause) => self.drop_source(AttemptOutcome::Aborted, &cause),
                        None => {
                            self.drop_source(AttemptOutcome::Cancelled, "the upstream is silent");
                        }
                    }
                    self.resume_from(source);
                }
                Ok(Winner::Second(UpstreamResponse::Buffered(parts, _))) => {
                    return Err(describe_answer(&parts));
                }
                Err(error) => return Err(error.first.to_string()),
            }
        }
    }

    /// Closes the stream of the current upstream.
    fn drop_source(&mut self, outcome: AttemptOutcome, cause: &str) {
        let Some(source) = self.source.take() else {
            return;
        };
        let framing = source.stream.framing();
        let slot = source.slot;
        log::info!(
            target: "gateway", request = self.exchange.meta.id.as_str(),
            upstream = slot.upstream().as_str(), start = slot.assignment.epoch,
            digest = self.exchange.digest().to_string(),
            parts = self.exchange.meta.shared_ids(), events = self.position.count(),
            first_id = self.position.first_id(), last_id = self.position.last_id(),
            framing = framing.to_string(), ran_ms = slot.millis_since_assigned(), cause = cause;
            "Stream from the upstream was interrupted."
        );
        if outcome == AttemptOutcome::Aborted {
            self.state.record_broken_answer(&self.exchange, &slot);
        }
        slot.release(outcome);
        self.position.begin_part();
    }

    fn resume_from(&mut self, source: Box<Source>) {
        log::info!(
            target: "gateway", request = self.exchange.meta.id.as_str(),
            upstream = source.slot.upstream().as_str(), behind = self.position.last_id(),
            software = source.slot.assignment.software.to_string();
            "Stream resumed at another upstream."
        );
        self.source = Some(source);
    }

    /// Resumes the stream after its last complete event at another upstream;
    /// returns whether one was found.
    async fn fail_over(&mut self, cause: &str) -> bool {
        self.drop_source(AttemptOutcome::Aborted, cause);
        if !self.is_resumable() {
            return false;
        }
        while self.attempts < self.exchange.route.attempts
            && self.may_resume()
            && self
                .state
                .take_retry(&self.exchange, RetryCause::Resumption)
        {
            let slot = SlotSearch::new(&self.state, &self.exchange)
                .acquire(&self.request)
                .await;
            let Ok(slot) = slot else {
                return false;
            };
            if !self.may_resume() {
                return false;
            }
            if self.resume_at(slot).await {
                return true;
            }
        }
        false
    }

    /// Returns whether the request has no quarantined cause of crashes.
    fn may_resume(&self) -> bool {
        let rechecked = self.state.recheck_quarantine(&self.exchange, true);
        rechecked.is_ok()
    }

    /// Resumes the stream at an upstream; returns whether it succeeded.
    async fn resume_at(&mut self, slot: Slot) -> bool {
        let id = self.exchange.meta.id.clone();
        let upstream = slot.upstream().clone();
        self.request.tried.push(upstream.clone());
        let last_event_id = self.position.last_id();
        let assignment = slot.assignment.clone();
        let settings = self.hedge_settings();
        let mut hedge = Hedge::new(self.state.now(), settings, self.attempts + 1);
        let first = send(&self.state, &self.exchange, slot, last_event_id);
        let race = Race {
            state: &self.state,
            exchange: &self.exchange,
            request: &mut self.request,
            assignment: &assignment,
            last_event_id,
            has_begun: false,
            hedge: &mut hedge,
        };
        let result = race.run(first).await;
        self.attempts = hedge.attempts();
        let cause = match result {
            Ok(Winner::First(response) | Winner::Second(response)) => match response {
                UpstreamResponse::Stream(_, source) => {
                    self.resume_from(source);
                    return true;
                }
                UpstreamResponse::Buffered(parts, _) => describe_answer(&parts),
            },
            Err(error) => error.first.to_string(),
        };
        log::info!(
            target: "gateway", request = id.as_str(), upstream = upstream.as_str(),
            cause = cause;
            "Failed to resume the stream at the upstream."
        );
        false
    }

    fn abort(&mut self, outcome: AttemptOutcome, cause: &str) -> BodyError {
        self.is_finished = true;
        self.log("broken off", cause);
        if let Some(source) = self.source.take() {
            source.slot.release(outcome);
        }
        cause.to_owned().into()
    }

    fn finish(&mut self, cause: &str) {
        self.is_finished = true;
        self.log("whole", cause);
        if let Some(source) = self.source.take() {
            self.state.record_run_time(&self.exchange, &source.slot);
            source.slot.release(AttemptOutcome::Succeeded);
            self.state.record_complete_answer(&self.exchange);
        }
    }

    fn log(&self, outcome: &str, cause: &str) {
        let latency = self.exchange.millis_since_arrival(self.state.now());
        let source = self.source.as_ref();
        let upstream = source.map(|source| source.slot.upstream().as_str());
        let framing = source.map(|source| source.stream.framing().to_string());
        log::info!(
            target: "gateway", request = self.exchange.meta.id.as_str(),
            upstream = upstream, outcome = outcome, cause = cause,
            events = self.position.count(), first_id = self.position.first_id(),
            last_id = self.position.last_id(), framing = framing, took_ms = latency;
            "Stream ended."
        );
    }
}

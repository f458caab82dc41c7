//! Relays event streams from upstreams to callers.

use crate::{
    GatewayExchange, GatewayState,
    attempt::{AttemptError, UpstreamResponse, send},
    slots::{Slot, SlotSearch},
};
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::{Response, http::response::Parts};
use sequoiawing_catalog::RetryPolicy;
use sequoiawing_http::{Body, BodyError, ClientBody, SseSplitter, from_stream, remove_hop_headers};
use sequoiawing_policy::serving::{AttemptOutcome, BalancerRequest};
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
    source: Option<(ClientBody, Slot)>,
    events: SseSplitter,
    /// Whether no other upstream was available when this one fell silent.
    has_no_alternative: bool,
    is_finished: bool,
}

/// The result of reading from the upstream.
enum ReadResult {
    Events(Bytes),
    End,
    Broken(String),
}

/// Relays a stream in whole events, and resumes it at another upstream after a
/// failure if the route allows.
pub(crate) fn relay(
    state: Arc<GatewayState>,
    exchange: GatewayExchange,
    request: BalancerRequest,
    attempts: u32,
    response: (Parts, ClientBody, Slot),
) -> Response<Body> {
    let (mut parts, body, slot) = response;
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    let relay = StreamRelay {
        state,
        exchange: Arc::new(exchange),
        request,
        attempts,
        source: Some((body, slot)),
        events: SseSplitter::default(),
        has_no_alternative: false,
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
        loop {
            let remaining = self.exchange.remaining(self.state.now());
            let silence = self
                .silence_timeout()
                .filter(|silence| *silence < remaining);
            let read = timeout(silence.unwrap_or(remaining), self.read()).await;
            let next = match read {
                Some(next) => next,
                None if silence.is_some() => {
                    self.replace_silent_upstream().await;
                    continue;
                }
                None => {
                    return Some(Err(
                        self.abort(AttemptOutcome::Failed, "the request's deadline has passed")
                    ));
                }
            };
            match next {
                ReadResult::Events(bytes) => return Some(Ok(bytes)),
                ReadResult::End => {
                    self.finish("whole");
                    return None;
                }
                ReadResult::Broken(cause) => {
                    if !self.fail_over(&cause).await {
                        return Some(Err(self.abort(AttemptOutcome::Aborted, &cause)));
                    }
                }
            }
        }
    }

    /// Returns how long the upstream may send nothing; `None` if the stream can't
    /// be resumed elsewhere.
    fn silence_timeout(&self) -> Option<Duration> {
        let route = &self.exchange.route;
        let can_switch = route.repeat == RetryPolicy::Resumable && self.attempts < route.attempts;
        let gap = Duration::from_millis(route.gap) * SILENCE_GAPS;
        let is_first = self.events.count() == 0;
        let limit = if is_first {
            gap.max(route.target_latency())
        } else {
            gap
        };
        (can_switch && !self.has_no_alternative).then(|| limit.max(MIN_SILENCE_TIMEOUT))
    }

    /// Resumes the stream at another upstream if one has a free slot, since the
    /// current one is silent.
    async fn replace_silent_upstream(&mut self) {
        if !self.may_resume() {
            self.has_no_alternative = true;
            return;
        }
        let mut request = self.request.clone();
        request.tried.extend(
            self.source
                .as_ref()
                .map(|(_, slot)| slot.upstream().clone()),
        );
        let slot = SlotSearch::new(&self.state, &self.exchange).try_acquire(&request);
        let Some(slot) = slot.filter(|_| self.state.take_retry(&self.exchange.pool)) else {
            self.has_no_alternative = true;
            return;
        };
        // Closing the connection ends the former run before the next begins.
        self.drop_source(AttemptOutcome::Unreachable, "the upstream is silent");
        self.resume_at(slot).await;
    }

    /// Reads until at least one complete event has arrived.
    async fn read(&mut self) -> ReadResult {
        let Some((body, _)) = &mut self.source else {
            return ReadResult::Broken("the stream has no upstream".to_owned());
        };
        loop {
            match body.frame().await {
                None if self.events.has_partial() => {
                    return ReadResult::Broken("the stream ended within an event".to_owned());
                }
                None => return ReadResult::End,
                Some(Err(error)) => return ReadResult::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let events = self.events.push(data);
                    if !events.is_empty() {
                        return ReadResult::Events(events);
                    }
                }
            }
        }
    }

    /// Closes the stream of the current upstream and excludes it from retries.
    fn drop_source(&mut self, outcome: AttemptOutcome, cause: &str) {
        let Some((_, mut slot)) = self.source.take() else {
            return;
        };
        slot.set_outcome(outcome);
        self.request.tried.push(slot.upstream().clone());
        log::info!(
            target: "gateway", request = self.exchange.meta.id.as_str(),
            upstream = slot.upstream().as_str(), start = slot.assignment.epoch,
            parts = self.exchange.meta.shared_ids(), events = self.events.count(),
            ran_ms = slot.millis_since_assigned(), cause = cause;
            "Stream from the upstream was interrupted."
        );
        if outcome == AttemptOutcome::Aborted {
            self.state.record_broken_answer(&self.exchange.meta, &slot);
        }
        self.events.discard_partial();
    }

    /// Resumes the stream after its last complete event at another upstream;
    /// returns whether one was found.
    async fn fail_over(&mut self, cause: &str) -> bool {
        self.drop_source(AttemptOutcome::Aborted, cause);
        let route = &self.exchange.route;
        if route.repeat != RetryPolicy::Resumable {
            return false;
        }
        while self.attempts < self.exchange.route.attempts
            && self.may_resume()
            && self.state.take_retry(&self.exchange.pool)
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

    /// Returns whether no prompt part of the request is quarantined.
    fn may_resume(&self) -> bool {
        let rechecked = self.state.recheck_parts(&self.exchange.meta, true);
        rechecked.is_ok()
    }

    /// Resumes the stream at an upstream; returns whether it succeeded.
    async fn resume_at(&mut self, slot: Slot) -> bool {
        let id = self.exchange.meta.id.clone();
        let upstream = slot.upstream().clone();
        self.request.tried.push(upstream.clone());
        let last_event_id = self.events.last_id().or(self.exchange.meta.last_event_id);
        let cause = match send(&self.state, &self.exchange, slot, last_event_id, None).await {
            Ok(UpstreamResponse::Stream(_, body, slot)) => {
                self.attempts += 1;
                log::info!(
                    target: "gateway", request = id.as_str(), upstream = upstream.as_str(),
                    behind = last_event_id;
                    "Stream resumed at another upstream."
                );
                self.source = Some((body, slot));
                return true;
            }
            Ok(UpstreamResponse::Buffered(parts, _)) => format!("status {}", parts.status),
            Err(failure) => {
                self.attempts += u32::from(!matches!(failure, AttemptError::NotSent(_)));
                format!("{failure:?}")
            }
        };
        log::info!(
            target: "gateway", request = id.as_str(), upstream = upstream.as_str(),
            cause = cause;
            "Failed to resume the stream at the upstream."
        );
        false
    }

    fn abort(&mut self, outcome: AttemptOutcome, cause: &str) -> BodyError {
        if let Some((_, slot)) = self.source.take() {
            slot.release(outcome);
        }
        self.is_finished = true;
        self.log("broken off", cause);
        cause.to_owned().into()
    }

    fn finish(&mut self, cause: &str) {
        if let Some((_, slot)) = self.source.take() {
            slot.release(AttemptOutcome::Succeeded);
            self.state.record_part_success(&self.exchange.meta);
        }
        self.is_finished = true;
        self.log("whole", cause);
    }

    fn log(&self, outcome: &str, cause: &str) {
        let latency = self.exchange.millis_since_arrival(self.state.now());
        log::info!(
            target: "gateway", request = self.exchange.meta.id.as_str(),
            outcome = outcome, cause = cause, events = self.events.count(),
            took_ms = latency;
            "Stream ended."
        );
    }
}

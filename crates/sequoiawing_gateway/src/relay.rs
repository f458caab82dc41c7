//! A stream of events on its way from upstreams to a caller.

use crate::{
    GatewayExchange, GatewayState,
    attempt::{Answered, Failed, send},
    waiting::{Search, Slot},
};
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::{Response, http::response::Parts};
use sequoiawing_catalog::Repeat;
use sequoiawing_http::{Body, BodyError, ClientBody, Events, from_stream, remove_hop_headers};
use sequoiawing_policy::serving::{AttemptOutcome, BalancerRequest};
use sequoiawing_runtime::timeout;
use std::{sync::Arc, time::Duration};

/// The longest pauses on time for which an upstream may send nothing before
/// another is asked to go on.
const QUIET_GAPS: u32 = 2;

/// The shortest such time.
const LEAST_QUIET: Duration = Duration::from_secs(1);

/// A stream that is being passed on.
struct Relay {
    state: Arc<GatewayState>,
    exchange: Arc<GatewayExchange>,
    work: BalancerRequest,
    /// The upstreams that the request was sent to.
    sent: u32,
    source: Option<(ClientBody, Slot)>,
    events: Events,
    /// Whether no other upstream was free when this one paused.
    is_stuck: bool,
    is_over: bool,
}

/// What came next of a stream.
enum Next {
    Events(Bytes),
    End,
    Broken(String),
}

/// Passes a stream on, event by event, and has another upstream go on with it
/// where the route allows.
pub(crate) fn relay(
    state: Arc<GatewayState>,
    exchange: GatewayExchange,
    work: BalancerRequest,
    sent: u32,
    answer: (Parts, ClientBody, Slot),
) -> Response<Body> {
    let (mut parts, body, slot) = answer;
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    let relay = Relay {
        state,
        exchange: Arc::new(exchange),
        work,
        sent,
        source: Some((body, slot)),
        events: Events::default(),
        is_stuck: false,
        is_over: false,
    };
    let stream = unfold(relay, async |mut relay| {
        let item = relay.next().await?;
        Some((item, relay))
    });
    Response::from_parts(parts, from_stream(Box::pin(stream)))
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.is_over {
            return None;
        }
        loop {
            let left = self.exchange.left(self.state.now());
            let quiet = self.quiet_limit().filter(|quiet| *quiet < left);
            let read = timeout(quiet.unwrap_or(left), self.read()).await;
            let next = match read {
                Some(next) => next,
                None if quiet.is_some() => {
                    self.leave_silent().await;
                    continue;
                }
                None => return Some(Err(self.stop(AttemptOutcome::Failed, "the time is up"))),
            };
            match next {
                Next::Events(bytes) => return Some(Ok(bytes)),
                Next::End => {
                    self.finish("whole");
                    return None;
                }
                Next::Broken(cause) => {
                    if !self.resume(&cause).await {
                        return Some(Err(self.stop(AttemptOutcome::Aborted, &cause)));
                    }
                }
            }
        }
    }

    /// Returns how long a stream that another upstream could go on with may
    /// pause.
    fn quiet_limit(&self) -> Option<Duration> {
        let route = &self.exchange.route;
        let may_leave = route.repeat == Repeat::Resumable && self.sent < route.attempts;
        let gap = Duration::from_millis(route.gap) * QUIET_GAPS;
        let begins = self.events.count() == 0;
        let limit = if begins { gap.max(route.aim()) } else { gap };
        (may_leave && !self.is_stuck).then(|| limit.max(LEAST_QUIET))
    }

    /// Goes on at another upstream if one is free at once, since this one sends
    /// nothing.
    async fn leave_silent(&mut self) {
        let mut work = self.work.clone();
        work.tried.extend(
            self.source
                .as_ref()
                .map(|(_, slot)| slot.upstream().clone()),
        );
        let found = Search::new(&self.state, &self.exchange).try_once(&work);
        let Some(slot) = found.filter(|_| self.state.take_repeat(&self.exchange.pool)) else {
            self.is_stuck = true;
            return;
        };
        // The former run ends with its connection, before the other begins.
        self.lose_source(AttemptOutcome::Unreachable, "the upstream is silent");
        self.go_on(slot).await;
    }

    /// Reads until a whole event has come.
    async fn read(&mut self) -> Next {
        let Some((body, _)) = &mut self.source else {
            return Next::Broken("no upstream is left".to_owned());
        };
        loop {
            match body.frame().await {
                None if self.events.has_partial() => {
                    return Next::Broken("the stream ended within an event".to_owned());
                }
                None => return Next::End,
                Some(Err(error)) => return Next::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let whole = self.events.push(data);
                    if !whole.is_empty() {
                        return Next::Events(whole);
                    }
                }
            }
        }
    }

    /// Gives up on the present upstream.
    fn lose_source(&mut self, ended: AttemptOutcome, cause: &str) {
        let Some((_, mut slot)) = self.source.take() else {
            return;
        };
        slot.note(ended);
        self.work.tried.push(slot.upstream().clone());
        log::info!(
            target: "gateway", request = self.exchange.call.id.as_str(),
            upstream = slot.upstream().as_str(), events = self.events.count(), cause = cause;
            "A stream broke off."
        );
        self.events.cut();
    }

    /// Finds another upstream that goes on behind the last whole event.
    async fn resume(&mut self, cause: &str) -> bool {
        self.lose_source(AttemptOutcome::Aborted, cause);
        let route = &self.exchange.route;
        if route.repeat != Repeat::Resumable {
            return false;
        }
        while self.sent < self.exchange.route.attempts
            && self.state.take_repeat(&self.exchange.pool)
        {
            let found = Search::new(&self.state, &self.exchange)
                .run(&self.work)
                .await;
            let Ok(slot) = found else {
                return false;
            };
            if self.go_on(slot).await {
                return true;
            }
        }
        false
    }

    /// Has an upstream go on with the stream; reports whether it does.
    async fn go_on(&mut self, slot: Slot) -> bool {
        let id = self.exchange.call.id.clone();
        let upstream = slot.upstream().clone();
        self.work.tried.push(upstream.clone());
        let resume = self.events.last_id().or(self.exchange.call.resume);
        let failed = match send(&self.state, &self.exchange, slot, resume, None).await {
            Ok(Answered::Stream(_, body, slot)) => {
                self.sent += 1;
                log::info!(
                    target: "gateway", request = id.as_str(), upstream = upstream.as_str(),
                    behind = resume;
                    "Another upstream goes on with a stream."
                );
                self.source = Some((body, slot));
                return true;
            }
            Ok(Answered::Whole(parts, _)) => format!("status {}", parts.status),
            Err(failed) => {
                self.sent += u32::from(!matches!(failed, Failed::NotSent(_)));
                format!("{failed:?}")
            }
        };
        log::info!(
            target: "gateway", request = id.as_str(), upstream = upstream.as_str(),
            cause = failed;
            "A stream was not resumed."
        );
        false
    }

    fn stop(&mut self, ended: AttemptOutcome, cause: &str) -> BodyError {
        if let Some((_, slot)) = self.source.take() {
            slot.end(ended);
        }
        self.is_over = true;
        self.log("broken off", cause);
        cause.to_owned().into()
    }

    fn finish(&mut self, cause: &str) {
        if let Some((_, slot)) = self.source.take() {
            slot.end(AttemptOutcome::Succeeded);
        }
        self.is_over = true;
        self.log("whole", cause);
    }

    fn log(&self, outcome: &str, cause: &str) {
        let took = self.exchange.millis_since_arrival(self.state.now());
        log::info!(
            target: "gateway", request = self.exchange.call.id.as_str(),
            outcome = outcome, cause = cause, events = self.events.count(),
            took_ms = took;
            "A stream ended."
        );
    }
}

//! A single attempt to send a request to an upstream.

use crate::{
    Attempt, GatewayExchange, GatewayState, ResponseHead, ResponseKind,
    answer_end::answer_framing,
    exchange::PossibleRun,
    response_body::{ReadError, drain},
    slots::Slot,
    source::{EventStream, Source},
};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, Uri, header::CONTENT_TYPE, http::response::Parts};
use sequoiawing_catalog::RetryPolicy;
use sequoiawing_http::{Body, BodyFraming, ClientBody, ClientError, empty, from_bytes};
use sequoiawing_policy::serving::AttemptOutcome;
use sequoiawing_runtime::timeout;
use std::{sync::Arc, time::Duration};
use thiserror::Error;

/// An upstream's response.
pub(crate) enum UpstreamResponse {
    /// An event stream whose head has been received.
    Stream(Parts, Box<Source>),
    /// A response with its complete body.
    Buffered(Parts, Bytes),
}

/// The reason why an attempt produced no response that ends its request.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// No byte of the request was sent.
    #[error("the request was not sent: {0}")]
    NotSent(String),
    /// The upstream wants no requests any more since it was chosen. No byte of the request
    /// was sent.
    #[error("{0}")]
    Unwanted(String),
    /// The upstream reported that it did not run the request.
    #[error("the upstream did not run the request: {0:?}")]
    NotRun(ResponseKind),
    /// The request may have run.
    #[error("{0}")]
    MayHaveRun(String),
    /// The upstream answered a request that may be retried with an error.
    #[error("{}", describe_answer(.0))]
    ServerError(Box<Parts>, Bytes),
    /// The request's deadline passed; it may have run.
    #[error("the request's deadline has passed")]
    TimedOut,
}

/// Sends a request to an upstream and waits for its response, or for the head
/// of a stream.
pub(crate) async fn send(
    state: &Arc<GatewayState>,
    exchange: &GatewayExchange,
    slot: Slot,
    last_event_id: Option<u64>,
) -> Result<UpstreamResponse, AttemptError> {
    let remaining = exchange.remaining(state.now());
    let mut slot = slot;
    let receiving = receive(state, exchange, &mut slot, last_event_id);
    let (outcome, result) = match timeout(remaining, Box::pin(receiving)).await {
        None => (AttemptOutcome::Failed, Err(AttemptError::TimedOut)),
        Some(Ok(Received::Stream(parts, body))) => {
            let stream = EventStream::new(
                body,
                answer_framing(exchange, &parts),
                state.bodies.budget.clone(),
            );
            let source = Box::new(Source { stream, slot });
            return Ok(UpstreamResponse::Stream(parts, source));
        }
        Some(Ok(Received::Buffered(parts, bytes))) => {
            if !parts.status.is_server_error() {
                let response = UpstreamResponse::Buffered(parts, bytes);
                (AttemptOutcome::Succeeded, Ok(response))
            } else if exchange.route.repeat == RetryPolicy::Idempotent {
                let error = AttemptError::ServerError(Box::new(parts), bytes);
                (AttemptOutcome::Failed, Err(error))
            } else {
                let response = UpstreamResponse::Buffered(parts, bytes);
                (AttemptOutcome::Failed, Ok(response))
            }
        }
        Some(Err(failure)) => (failure.outcome(), Err(failure)),
    };
    slot.release(outcome);
    result
}

impl AttemptError {
    /// Returns whether any part of the request was sent.
    pub(crate) fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::Unwanted(_))
    }

    /// Returns the outcome that the balancer records for the upstream.
    fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Unwanted(_) => AttemptOutcome::Cancelled,
            Self::NotRun(ResponseKind::Full) => AttemptOutcome::Full,
            Self::NotRun(ResponseKind::Lacking) => AttemptOutcome::ModelMissing,
            Self::TimedOut | Self::ServerError(..) => AttemptOutcome::Failed,
            Self::MayHaveRun(_) => AttemptOutcome::Aborted,
            Self::NotSent(_) | Self::NotRun(_) => AttemptOutcome::Unreachable,
        }
    }
}

/// Returns whether the body behind a head consists of events. Upstreams may leave out
/// its type.
fn is_event_stream(parts: &Parts) -> bool {
    if parts.status != StatusCode::OK {
        return false;
    }
    let Some(content_type) = parts.headers.get(CONTENT_TYPE) else {
        return true;
    };
    let mut fields = content_type.as_bytes().split(|b| *b == b';');
    let essence = fields.next().unwrap_or_default().trim_ascii();
    essence.eq_ignore_ascii_case(b"text/event-stream")
}

/// Describes an answer with which a stream cannot go on.
pub(crate) fn describe_answer(parts: &Parts) -> String {
    let content_type = parts.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    match content_type {
        Some(content_type) => format!("status {}, {content_type}", parts.status.as_u16()),
        None => format!("status {}", parts.status.as_u16()),
    }
}

enum Received {
    Stream(Parts, ClientBody),
    Buffered(Parts, Bytes),
}

async fn receive(
    state: &Arc<GatewayState>,
    exchange: &GatewayExchange,
    slot: &mut Slot,
    last_event_id: Option<u64>,
) -> Result<Received, AttemptError> {
    let request = build_request(exchange)?;
    let observing = state.observe_process(&exchange.pool, slot.assignment.address);
    let observed = observing.await;
    slot.process = observed.map_err(|error| AttemptError::NotSent(error.to_string()))?;
    let possible_run = PossibleRun::new(exchange);
    let prepare = |request: &mut Request<Body>| {
        state.check_wanted(&slot.assignment)?;
        let attempt = Attempt {
            upstream: slot.upstream(),
            remaining: exchange.remaining(state.now()),
            customer: exchange.customer.as_ref().map(|c| &c.name),
            urgency: exchange.urgency(),
            last_event_id: last_event_id.or(exchange.meta.last_event_id),
        };
        let headers = request.headers_mut();
        state.dialect.add_attempt_headers(headers, &attempt);
        possible_run.begin();
        Ok(())
    };
    let client = &state.client;
    let address = slot.assignment.address;
    let repeat = exchange.route.repeat;
    // The upstream may close a pooled connection while the request is being
    // sent, which leaves unknown whether the request ran.
    let sent = if repeat == RetryPolicy::Once {
        client
            .send_prepared_on_new_connection(address, request, prepare)
            .await
    } else {
        let id = Some(exchange.meta.id.as_str());
        client.send_prepared(address, request, id, prepare).await
    };
    let response = sent.map_err(|error| match error {
        ClientError::NotSent(cause) => {
            possible_run.withdraw();
            AttemptError::NotSent(cause)
        }
        ClientError::Stopped(cause) => {
            possible_run.withdraw();
            AttemptError::Unwanted(cause)
        }
        error => {
            state.record_broken_answer(exchange, slot);
            AttemptError::MayHaveRun(error.to_string())
        }
    })?;
    let (parts, mut body) = response.into_parts();
    let head = state.dialect.classify(
        &exchange.meta,
        slot.upstream(),
        parts.status,
        &parts.headers,
    );
    slot.apply_notice(&head.notice);
    match head.kind {
        ResponseKind::Answer => {
            slot.begun = Some(state.now());
            let is_framed = answer_framing(exchange, &parts) != BodyFraming::Connection;
            state.record_framing(&exchange.pool, slot, is_framed).await;
        }
        ResponseKind::Foreign => {
            log_refusal(exchange, slot, &parts, &head);
            body.discard();
            return Err(AttemptError::MayHaveRun(
                "the answer is not to this request".to_owned(),
            ));
        }
        kind => {
            log_refusal(exchange, slot, &parts, &head);
            body.record_refusal(exchange.meta.id.as_str());
            drain(body);
            possible_run.withdraw();
            return Err(AttemptError::NotRun(kind));
        }
    }
    if repeat.is_stream() && is_event_stream(&parts) {
        return Ok(Received::Stream(parts, body));
    }
    match state.bodies.read(body).await {
        Ok(bytes) => {
            let framing = answer_framing(exchange, &parts);
            if let Err(cause) = state.check_answer_end(slot, framing).await {
                state.record_broken_answer(exchange, slot);
                return Err(AttemptError::MayHaveRun(cause));
            }
            if parts.status.is_success() {
                state.record_complete_answer(exchange);
                state.record_run_time(exchange, slot);
            }
            Ok(Received::Buffered(parts, bytes))
        }
        Err(error) => {
            if matches!(error, ReadError::Broken(_)) {
                state.record_broken_answer(exchange, slot);
            }
            Err(AttemptError::MayHaveRun(error.to_string()))
        }
    }
}

fn log_refusal(exchange: &GatewayExchange, slot: &Slot, parts: &Parts, head: &ResponseHead) {
    let ResponseHead { kind, notice } = head;
    let load = notice.load;
    log::info!(
        target: "gateway", request = exchange.meta.id.as_str(),
        upstream = slot.upstream().as_str(), start = slot.assignment.epoch,
        refusal = format!("{kind:?}"), status = parts.status.as_u16(),
        retry_after_ms = notice.retry_after.map(millis),
        running = load.map(|load| load.running),
        waiting = load.map(|load| load.waiting),
        slots = load.map(|load| load.slots),
        expected_load = slot.assignment.load,
        load_age_ms = slot.assignment.load_age.map(millis),
        took_ms = slot.millis_since_assigned();
        "Upstream refused a request."
    );
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn build_request(exchange: &GatewayExchange) -> Result<Request<Body>, AttemptError> {
    let path = exchange.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|e| AttemptError::NotSent(format!("the path: {e}")))?;
    let body = if exchange.body.is_empty() {
        empty()
    } else {
        exchange.body.to_body()
    };
    let mut request = Request::new(body);
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = exchange.headers.clone();
    Ok(request)
}

/// Builds the response to the caller from a buffered upstream response.
pub(crate) fn buffered_response(mut parts: Parts, bytes: Bytes) -> Response<Body> {
    sequoiawing_http::remove_hop_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    Response::from_parts(parts, from_bytes(bytes))
}

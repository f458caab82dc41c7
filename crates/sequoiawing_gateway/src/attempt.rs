//! One attempt to have a request answered by one upstream.

use crate::{Attempt, GatewayExchange, GatewayState, Judged, waiting::Slot};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, Uri, http::response::Parts};
use sequoiawing_catalog::Repeat;
use sequoiawing_http::{Body, ClientBody, ClientError, empty, from_bytes};
use sequoiawing_policy::serving::AttemptOutcome;
use sequoiawing_runtime::timeout;
use std::{sync::Arc, time::Duration};

/// The largest answer that is read whole before it is passed on, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// An upstream's answer.
pub(crate) enum Answered {
    /// A stream of events that has just begun.
    Stream(Parts, ClientBody, Slot),
    /// An answer that was read whole.
    Whole(Parts, Bytes),
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(crate) enum Failed {
    /// Not a byte was sent.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotRun(Judged),
    /// The request may have run.
    MayHaveRun(String),
    /// The time was up; the request may have run.
    TimedOut,
}

/// Sends a request to an upstream and waits for its answer: of a stream, for
/// the head. With `patience` the upstream is given up on sooner than the
/// request.
pub(crate) async fn send(
    state: &Arc<GatewayState>,
    exchange: &GatewayExchange,
    slot: Slot,
    resume: Option<u64>,
    patience: Option<Duration>,
) -> Result<Answered, Failed> {
    let left = exchange.left(state.now());
    let patience = patience.filter(|p| *p < left);
    let mut slot = slot;
    let answering = answer(state, exchange, &mut slot, resume);
    let (ended, result) = match timeout(patience.unwrap_or(left), Box::pin(answering)).await {
        None if patience.is_some() => {
            let cause = "the upstream is silent".to_owned();
            (AttemptOutcome::Unreachable, Err(Failed::MayHaveRun(cause)))
        }
        None => (AttemptOutcome::Failed, Err(Failed::TimedOut)),
        Some(Ok(Head::Stream(parts, body))) => return Ok(Answered::Stream(parts, body, slot)),
        Some(Ok(Head::Whole(parts, bytes))) => {
            let is_failure = parts.status.is_server_error();
            let ended = if is_failure {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Succeeded
            };
            (ended, Ok(Answered::Whole(parts, bytes)))
        }
        Some(Err(failed)) => (failed.ended(), Err(failed)),
    };
    slot.end(ended);
    result
}

impl Failed {
    fn ended(&self) -> AttemptOutcome {
        match self {
            Self::NotRun(Judged::Full) => AttemptOutcome::Full,
            Self::NotRun(Judged::Lacking) => AttemptOutcome::ModelMissing,
            Self::TimedOut => AttemptOutcome::Failed,
            Self::MayHaveRun(_) => AttemptOutcome::Aborted,
            Self::NotSent(_) | Self::NotRun(_) => AttemptOutcome::Unreachable,
        }
    }
}

enum Head {
    Stream(Parts, ClientBody),
    Whole(Parts, Bytes),
}

async fn answer(
    state: &Arc<GatewayState>,
    exchange: &GatewayExchange,
    slot: &mut Slot,
    resume: Option<u64>,
) -> Result<Head, Failed> {
    let request = build(state, exchange, slot, resume)?;
    let address = slot.assigned.address;
    let kind = exchange.route.repeat;
    // A kept connection may be closed by the upstream at the moment of
    // sending, and then nobody knows whether the request ran.
    let sent = if kind == Repeat::Once {
        state.client.send_anew(address, request).await
    } else {
        state.client.send(address, request).await
    };
    let response = sent.map_err(|error| match error {
        ClientError::NotSent(cause) => Failed::NotSent(cause),
        error => Failed::MayHaveRun(error.to_string()),
    })?;
    let (parts, body) = response.into_parts();
    let heard = state.dialect.judge(
        &exchange.call,
        slot.upstream(),
        parts.status,
        &parts.headers,
    );
    if let Some(load) = heard.load {
        slot.report(load);
    }
    match heard.judged {
        Judged::Answer => {}
        Judged::Foreign => {
            body.discard();
            return Err(Failed::MayHaveRun(
                "the answer is not to this request".to_owned(),
            ));
        }
        judged => {
            drain(body).await;
            return Err(Failed::NotRun(judged));
        }
    }
    if kind.is_stream() && parts.status.is_success() {
        return Ok(Head::Stream(parts, body));
    }
    match Limited::new(body, ANSWER_BYTES).collect().await {
        Ok(whole) => Ok(Head::Whole(parts, whole.to_bytes())),
        Err(error) => Err(Failed::MayHaveRun(error.to_string())),
    }
}

/// Reads the rest of a refusal, so that its connection can be kept.
async fn drain(body: ClientBody) {
    if let Err(error) = Limited::new(body, ANSWER_BYTES).collect().await {
        log::debug!(target: "gateway", "A refusal broke off: {error}.");
    }
}

fn build(
    state: &GatewayState,
    exchange: &GatewayExchange,
    slot: &Slot,
    resume: Option<u64>,
) -> Result<Request<Body>, Failed> {
    let path = exchange.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri: Uri = path
        .parse()
        .map_err(|e| Failed::NotSent(format!("the path: {e}")))?;
    let body = if exchange.body.is_empty() {
        empty()
    } else {
        from_bytes(exchange.body.clone())
    };
    let mut request = Request::new(body);
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = exchange.headers.clone();
    let attempt = Attempt {
        upstream: slot.upstream(),
        left: exchange.left(state.now()),
        customer: exchange.customer.as_ref().map(|c| &c.name),
        resume: resume.or(exchange.call.resume),
    };
    state.dialect.address(request.headers_mut(), &attempt);
    Ok(request)
}

/// Builds the caller's answer out of an upstream's that was read whole.
pub(crate) fn whole_response(mut parts: Parts, bytes: Bytes) -> Response<Body> {
    sequoiawing_http::remove_hop_headers(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    Response::from_parts(parts, from_bytes(bytes))
}

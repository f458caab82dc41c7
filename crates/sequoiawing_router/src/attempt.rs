//! One attempt to send a request to an upstream.

use crate::{
    Exchange, RouterState,
    headers::{
        ATTEMPT_HEADER, DEADLINE_HEADER, RAN_HEADER, RESUME_ATTEMPT_HEADER, RESUME_OFFSET_HEADER,
        remove_internal_headers,
    },
    request_id::set_header,
    shard::Assignment,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Body as HttpBody,
    header::{self, HeaderValue},
    http::response::Parts,
};
use sequoiawing_http::{Body, BodyParts, ClientBody, ClientError, from_bytes, remove_hop_headers};
use sequoiawing_policy::DispatchRequest;
use sequoiawing_runtime::timeout;
use sequoiawing_types::{Name, Ran, Time};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The maximum size of a response that is not streamed and is buffered until it
/// is complete, in bytes.
///
/// While a response is buffered, its request can be retried if the upstream
/// fails.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// The reason why an attempt gave no response that may be relayed.
pub(crate) struct AttemptError {
    /// The upstream; none if the attempt was assigned to none.
    pub(crate) upstream: Option<Name>,
    /// Whether the request may have run.
    pub(crate) ran: Ran,
    /// The cause, as text.
    pub(crate) cause: String,
    /// Whether the attempt reached an upstream, so that a retry adds load.
    pub(crate) reached: bool,
    /// Whether the upstream is considered unhealthy for a while.
    pub(crate) unhealthy: bool,
    /// The upstream's error response, relayed if no other attempt succeeds.
    pub(crate) response: Option<Box<UpstreamResponse>>,
}

impl AttemptError {
    pub(crate) fn not_sent<T>(cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            upstream: None,
            ran: Ran::No,
            cause: cause.into(),
            reached: false,
            unhealthy: true,
            response: None,
        }
    }

    pub(crate) fn unknown<T>(cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            ran: Ran::Unknown,
            reached: true,
            ..Self::not_sent(cause)
        }
    }

    pub(crate) fn with_upstream(mut self, upstream: Name) -> Self {
        self.upstream = Some(upstream);
        self
    }
}

/// A response that has begun and belongs to its attempt.
pub(crate) struct UpstreamResponse {
    pub(crate) parts: Parts,
    /// The part of the body that was already read.
    pub(crate) buffered: BodyParts,
    /// The rest of the body; none if all of it is buffered.
    pub(crate) body: Option<ClientBody>,
    /// The identifier of the attempt.
    pub(crate) attempt: String,
}

/// The position from which an interrupted stream is resumed.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// The attempt that began the stream.
    pub(crate) attempt: String,
    /// The number of events that the caller has received.
    pub(crate) offset: u64,
}

/// The content that all attempts of one request have in common.
#[derive(Debug)]
pub(crate) struct RequestTemplate {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    nonce: String,
    pub(crate) request_id: Name,
    pub(crate) dispatch_request: DispatchRequest,
    pub(crate) repeatable: bool,
    pub(crate) resumable: bool,
    pub(crate) stream: bool,
    /// The longest time that a resumed stream waits for an upstream.
    pub(crate) max_wait: Duration,
}

impl RequestTemplate {
    pub(crate) fn new(exchange: &Exchange) -> Self {
        let mut headers = exchange.headers.clone();
        remove_hop_headers(&mut headers);
        remove_internal_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        set_header(&mut headers, &exchange.request_id);
        Self {
            method: exchange.method.clone(),
            uri: exchange.path.parse().unwrap_or_default(),
            headers,
            body: exchange.body.clone(),
            nonce: exchange.nonce.as_str().to_owned(),
            request_id: exchange.request_id.clone(),
            dispatch_request: dispatch_request(exchange),
            repeatable: exchange.route.repeatable,
            resumable: exchange.route.resumable && exchange.stream,
            stream: exchange.stream,
            max_wait: Duration::from_millis(exchange.route.deadline),
        }
    }

    /// Returns the dispatch request of the next attempt.
    pub(crate) fn dispatch_request(
        &self,
        id: u64,
        deadline: Time,
        avoid: Vec<Name>,
    ) -> DispatchRequest {
        DispatchRequest {
            id,
            deadline,
            avoid,
            ..self.dispatch_request.clone()
        }
    }

    fn build(&self, attempt: &str, point: Option<&ResumePoint>) -> Request<Body> {
        let mut request = Request::new(from_bytes(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let mut set = |name, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        };
        set(ATTEMPT_HEADER, attempt);
        if let Some(point) = point {
            set(RESUME_ATTEMPT_HEADER, &point.attempt);
            set(RESUME_OFFSET_HEADER, &point.offset.to_string());
        }
        request
    }
}

fn dispatch_request(exchange: &Exchange) -> DispatchRequest {
    DispatchRequest {
        id: 0,
        customer: exchange.customer_name(),
        weight: exchange.customer.as_ref().map_or(1, |c| c.weight),
        model: exchange.model.clone(),
        adapter: exchange.adapter.clone(),
        tokens: exchange.prompt_tokens + exchange.output_tokens,
        deadline: exchange.response_deadline(),
        prefix: exchange.prefix_hash,
        avoid: Vec::new(),
    }
}

/// Sends requests to upstreams.
#[derive(Clone)]
pub(crate) struct AttemptSender {
    pub(crate) state: Arc<RouterState>,
}

impl AttemptSender {
    /// Sends the request once and waits for the response to begin.
    ///
    /// A response that is not streamed and whose request may be repeated is
    /// buffered until it is complete, if its size and the deadline allow.
    pub(crate) async fn send(
        &self,
        template: &RequestTemplate,
        assignment: &Assignment,
        number: &str,
        deadline: Time,
        point: Option<&ResumePoint>,
    ) -> Result<UpstreamResponse, AttemptError> {
        let attempt = format!("{}-{number}", template.nonce);
        let remaining = deadline.since(self.state.now());
        let build = || {
            let mut request = template.build(&attempt, point);
            assignment.add_priority(request.headers_mut());
            request
        };
        let address = self.state.translations.translate(assignment.address);
        let sent = self.send_http(address, template.repeatable, deadline, build);
        let (response, was_resent) = match timeout(remaining, sent).await {
            Some(Ok(sent)) => sent,
            Some(Err(ClientError::NotSent(cause) | ClientError::Stopped(cause))) => {
                return Err(AttemptError::not_sent(cause));
            }
            Some(Err(ClientError::NoResponse(cause) | ClientError::IdleClosed(cause))) => {
                return Err(AttemptError::unknown(cause));
            }
            None => return Err(AttemptError::unknown("no answer before the deadline")),
        };
        if let Some(problem) = find_mismatch(template, &response, &attempt, point) {
            response.into_body().discard();
            return Err(AttemptError::unknown(problem));
        }
        if reports_not_run(&response) {
            if was_resent {
                let cause = "the upstream did not take the request when it was sent again";
                return Err(AttemptError {
                    unhealthy: false,
                    ..AttemptError::unknown(cause)
                });
            }
            return Err(AttemptError {
                reached: true,
                unhealthy: false,
                ..AttemptError::not_sent("the upstream did not take the request")
            });
        }
        let response = self
            .buffer_body(template, response, attempt, deadline)
            .await?;
        if template.repeatable && response.parts.status.is_server_error() {
            let cause = format!("the upstream answered {}", response.parts.status);
            return Err(AttemptError {
                response: Some(Box::new(response)),
                ..AttemptError::unknown(cause)
            });
        }
        Ok(response)
    }

    /// Sends the request over HTTP, and returns whether it was sent twice.
    ///
    /// A pooled connection may turn out to be closed after it was idle, so it is
    /// used only for requests that may be repeated.
    async fn send_http<B>(
        &self,
        address: SocketAddr,
        repeatable: bool,
        deadline: Time,
        build: B,
    ) -> Result<(Response<ClientBody>, bool), ClientError>
    where
        B: Fn() -> Request<Body>,
    {
        let state = &self.state;
        let client = &state.client;
        let set_deadline = |request: &mut Request<Body>| {
            let remaining = deadline.since(state.now()).as_millis();
            let remaining = u64::try_from(remaining).unwrap_or(u64::MAX);
            let headers = request.headers_mut();
            headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining));
            Ok(())
        };
        if !repeatable {
            let sent = client.send_prepared_on_new_connection(address, build(), set_deadline);
            return Ok((sent.await?, false));
        }
        match client
            .send_prepared(address, build(), None, set_deadline)
            .await
        {
            Err(ClientError::IdleClosed(_)) => {
                let retried = client
                    .send_prepared_on_new_connection(address, build(), set_deadline)
                    .await;
                // The first request may have run, whatever the result of the second.
                let response = retried.map_err(|e| ClientError::NoResponse(e.to_string()))?;
                Ok((response, true))
            }
            result => Ok((result?, false)),
        }
    }

    /// Reads the part of the body that is buffered before any of it is relayed.
    async fn buffer_body(
        &self,
        template: &RequestTemplate,
        response: Response<ClientBody>,
        attempt: String,
        deadline: Time,
    ) -> Result<UpstreamResponse, AttemptError> {
        let (parts, mut body) = response.into_parts();
        let mut buffered = BodyParts::default();
        let target_bytes = match (template.repeatable, template.stream) {
            (true, false) => MAX_BUFFERED_BYTES,
            (true, true) => 1,
            (false, _) => 0,
        };
        while buffered.len() < target_bytes && !body.is_end_stream() {
            let remaining = deadline.since(self.state.now());
            match timeout(remaining, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        buffered.push(chunk);
                    }
                }
                Some(Some(Err(error))) => return Err(AttemptError::unknown(error.to_string())),
                Some(None) => break,
                None if !buffered.is_empty() => break,
                None => return Err(AttemptError::unknown("no answer before the deadline")),
            }
        }
        let body = (!body.is_end_stream()).then_some(body);
        Ok(UpstreamResponse {
            parts,
            buffered,
            body,
            attempt,
        })
    }
}

fn find_mismatch(
    template: &RequestTemplate,
    response: &Response<ClientBody>,
    attempt: &str,
    point: Option<&ResumePoint>,
) -> Option<&'static str> {
    let headers = response.headers();
    let echoed = headers.get(ATTEMPT_HEADER).map(HeaderValue::as_bytes);
    if echoed != Some(attempt.as_bytes()) {
        return Some("the answer belongs to another request");
    }
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Some("the upstream switched protocols");
    }
    if !is_delimited(template, response) {
        return Some("the answer does not say where it ends");
    }
    let point = point?;
    let offset = headers.get(RESUME_OFFSET_HEADER);
    let offset = offset.and_then(|v| v.to_str().ok()?.parse().ok());
    if offset != Some(point.offset)
        || response.status() != StatusCode::OK
        || !is_event_stream(headers)
        || headers.contains_key(header::CONTENT_ENCODING)
    {
        return Some("the upstream did not resume the stream");
    }
    None
}

pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content = headers.get(header::CONTENT_TYPE);
    content.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns whether a truncated response can be told from a complete one.
///
/// A response with a transfer encoding other than chunks ends with its connection.
fn is_delimited(template: &RequestTemplate, response: &Response<ClientBody>) -> bool {
    let status = response.status();
    let is_empty = template.method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match encodings.next() {
        _ if is_empty => true,
        None => headers.contains_key(header::CONTENT_LENGTH),
        Some(first) => {
            first.as_bytes().eq_ignore_ascii_case(b"chunked") && encodings.next().is_none()
        }
    }
}

fn reports_not_run(response: &Response<ClientBody>) -> bool {
    let ran = response.headers().get(RAN_HEADER);
    let not_run = ran.is_some_and(|v| v == Ran::No.as_str());
    not_run && response.status() == StatusCode::SERVICE_UNAVAILABLE
}

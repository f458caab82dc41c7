//! One attempt to have a request answered by one upstream.

use crate::{
    Exchange, RouterState,
    headers::{
        ATTEMPT_HEADER, DEADLINE_HEADER, RAN_HEADER, RESUME_ATTEMPT_HEADER, RESUME_OFFSET_HEADER,
        remove_own_headers,
    },
    request_id::mark,
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
use sequoiawing_http::{Body, ClientBody, ClientError, from_bytes, remove_hop_headers};
use sequoiawing_policy::DispatchRequest;
use sequoiawing_runtime::timeout;
use sequoiawing_types::{Name, Ran, Time};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// The most of an unstreamed answer that is held until it is whole, in bytes.
///
/// What is held can still be asked for again when its upstream fails.
const HELD_BYTES: usize = 1024 * 1024;

/// Why an attempt brought no answer that may be relayed.
pub(crate) struct Failed {
    /// The upstream, unless none was reached.
    pub(crate) upstream: Option<Name>,
    /// Whether the request may have run.
    pub(crate) ran: Ran,
    /// The cause in words.
    pub(crate) cause: String,
    /// Whether the attempt reached an upstream, which retries may burden.
    pub(crate) reached: bool,
    /// Whether the upstream is to be left alone for a while.
    pub(crate) unhealthy: bool,
    /// The upstream's own error, relayed when nothing better comes.
    pub(crate) answer: Option<Box<UpstreamAnswer>>,
}

impl Failed {
    pub(crate) fn unsent<T>(cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            upstream: None,
            ran: Ran::No,
            cause: cause.into(),
            reached: false,
            unhealthy: true,
            answer: None,
        }
    }

    pub(crate) fn unknown<T>(cause: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            ran: Ran::Unknown,
            reached: true,
            ..Self::unsent(cause)
        }
    }

    pub(crate) fn with_upstream(mut self, upstream: Name) -> Self {
        self.upstream = Some(upstream);
        self
    }
}

/// An answer that belongs to the attempt and has begun.
pub(crate) struct UpstreamAnswer {
    pub(crate) parts: Parts,
    /// What was read of the body.
    pub(crate) held: VecDeque<Bytes>,
    /// The rest of the body; none when all of it is held.
    pub(crate) body: Option<ClientBody>,
    /// The identifier of the attempt.
    pub(crate) attempt: String,
}

/// Where a stream goes on that broke off.
#[derive(Clone, Debug)]
pub(crate) struct ResumePoint {
    /// The attempt that began the stream.
    pub(crate) attempt: String,
    /// The events that the caller has.
    pub(crate) offset: u64,
}

/// What every attempt of one request sends.
#[derive(Debug)]
pub(crate) struct Template {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    nonce: String,
    pub(crate) request: Name,
    pub(crate) work: DispatchRequest,
    pub(crate) repeatable: bool,
    pub(crate) resumable: bool,
    pub(crate) stream: bool,
    /// How long a resumed stream may wait for an upstream.
    pub(crate) patience: Duration,
}

impl Template {
    pub(crate) fn new(exchange: &Exchange) -> Self {
        let mut headers = exchange.headers.clone();
        remove_hop_headers(&mut headers);
        remove_own_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        mark(&mut headers, &exchange.request);
        Self {
            method: exchange.method.clone(),
            uri: exchange.path.parse().unwrap_or_default(),
            headers,
            body: exchange.body.clone(),
            nonce: exchange.nonce.as_str().to_owned(),
            request: exchange.request.clone(),
            work: work(exchange),
            repeatable: exchange.route.repeatable,
            resumable: exchange.route.resumable && exchange.stream,
            stream: exchange.stream,
            patience: Duration::from_millis(exchange.route.deadline),
        }
    }

    /// Returns the work of the next attempt.
    pub(crate) fn work(&self, id: u64, deadline: Time, avoid: Vec<Name>) -> DispatchRequest {
        DispatchRequest {
            id,
            deadline,
            avoid,
            ..self.work.clone()
        }
    }

    fn build(&self, attempt: &str, left: Duration, point: Option<&ResumePoint>) -> Request<Body> {
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
        set(DEADLINE_HEADER, &left.as_millis().to_string());
        if let Some(point) = point {
            set(RESUME_ATTEMPT_HEADER, &point.attempt);
            set(RESUME_OFFSET_HEADER, &point.offset.to_string());
        }
        request
    }
}

fn work(exchange: &Exchange) -> DispatchRequest {
    DispatchRequest {
        id: 0,
        customer: exchange.customer_name(),
        weight: exchange.customer.as_ref().map_or(1, |c| c.weight),
        model: exchange.model.clone(),
        adapter: exchange.adapter.clone(),
        tokens: exchange.prompt_tokens + exchange.answer_tokens,
        deadline: exchange.latest(),
        prefix: exchange.prefix,
        avoid: Vec::new(),
    }
}

/// Sends requests to upstreams.
#[derive(Clone)]
pub(crate) struct Attempts {
    pub(crate) state: Arc<RouterState>,
}

impl Attempts {
    /// Sends the request once and waits for its answer to begin.
    ///
    /// An unstreamed answer that may be asked for again is held until it is
    /// whole, as far as its size and the deadline allow.
    pub(crate) async fn send(
        &self,
        template: &Template,
        assignment: &Assignment,
        number: &str,
        deadline: Time,
        point: Option<&ResumePoint>,
    ) -> Result<UpstreamAnswer, Failed> {
        let attempt = format!("{}-{number}", template.nonce);
        let left = deadline.since(self.state.now());
        let build = || {
            let mut request = template.build(&attempt, left, point);
            assignment.add_priority(request.headers_mut());
            request
        };
        let address = self.state.translations.translate(assignment.address);
        let sent = self.exchange(address, template.repeatable, build);
        let answer = match timeout(left, sent).await {
            Some(Ok(answer)) => answer,
            Some(Err(ClientError::NotSent(cause))) => return Err(Failed::unsent(cause)),
            Some(Err(ClientError::NoResponse(cause) | ClientError::IdleClosed(cause))) => {
                return Err(Failed::unknown(cause));
            }
            None => return Err(Failed::unknown("no answer before the deadline")),
        };
        if let Some(problem) = find_mismatch(template, &answer, &attempt, point) {
            answer.into_body().discard();
            return Err(Failed::unknown(problem));
        }
        if says_not_run(&answer) {
            return Err(Failed {
                reached: true,
                unhealthy: false,
                ..Failed::unsent("the upstream did not take the request")
            });
        }
        let answer = self.begin(template, answer, attempt, deadline).await?;
        if template.repeatable && answer.parts.status.is_server_error() {
            let cause = format!("the upstream answered {}", answer.parts.status);
            return Err(Failed {
                answer: Some(Box::new(answer)),
                ..Failed::unknown(cause)
            });
        }
        Ok(answer)
    }

    /// Sends the request on a connection that may have been idle only if it may
    /// be sent again when that one turns out to be closed.
    async fn exchange<B>(
        &self,
        address: SocketAddr,
        repeatable: bool,
        build: B,
    ) -> Result<Response<ClientBody>, ClientError>
    where
        B: Fn() -> Request<Body>,
    {
        let client = &self.state.client;
        if !repeatable {
            return client.send_on_new_connection(address, build()).await;
        }
        match client.send(address, build()).await {
            Err(ClientError::IdleClosed(_)) => {
                let again = client.send_on_new_connection(address, build()).await;
                // The first one may have run, whatever became of the second.
                again.map_err(|e| ClientError::NoResponse(e.to_string()))
            }
            result => result,
        }
    }

    /// Reads as much of the body as is wanted before the caller gets any.
    async fn begin(
        &self,
        template: &Template,
        answer: Response<ClientBody>,
        attempt: String,
        deadline: Time,
    ) -> Result<UpstreamAnswer, Failed> {
        let (parts, mut body) = answer.into_parts();
        let mut held = VecDeque::new();
        let mut size = 0;
        let wanted = match (template.repeatable, template.stream) {
            (true, false) => HELD_BYTES,
            (true, true) => 1,
            (false, _) => 0,
        };
        while size < wanted && !body.is_end_stream() {
            let left = deadline.since(self.state.now());
            match timeout(left, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    if let Ok(part) = frame.into_data() {
                        size += part.len();
                        held.push_back(part);
                    }
                }
                Some(Some(Err(error))) => return Err(Failed::unknown(error.to_string())),
                Some(None) => break,
                None if size > 0 => break,
                None => return Err(Failed::unknown("no answer before the deadline")),
            }
        }
        let body = (!body.is_end_stream()).then_some(body);
        Ok(UpstreamAnswer {
            parts,
            held,
            body,
            attempt,
        })
    }
}

fn find_mismatch(
    template: &Template,
    answer: &Response<ClientBody>,
    attempt: &str,
    point: Option<&ResumePoint>,
) -> Option<&'static str> {
    let headers = answer.headers();
    let echoed = headers.get(ATTEMPT_HEADER).map(HeaderValue::as_bytes);
    if echoed != Some(attempt.as_bytes()) {
        return Some("the answer belongs to another request");
    }
    if !is_framed(template, answer) {
        return Some("the answer does not say where it ends");
    }
    let point = point?;
    let offset = headers.get(RESUME_OFFSET_HEADER);
    let offset = offset.and_then(|v| v.to_str().ok()?.parse().ok());
    if offset != Some(point.offset) || answer.status() != StatusCode::OK {
        return Some("the upstream did not resume the stream");
    }
    None
}

/// Reports whether a cut answer could be told from a whole one.
fn is_framed(template: &Template, answer: &Response<ClientBody>) -> bool {
    let status = answer.status();
    let is_empty = template.method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = answer.headers();
    is_empty
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn says_not_run(answer: &Response<ClientBody>) -> bool {
    let ran = answer.headers().get(RAN_HEADER);
    let not_run = ran.is_some_and(|v| v == Ran::No.as_str());
    not_run && answer.status() == StatusCode::SERVICE_UNAVAILABLE
}

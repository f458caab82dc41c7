use crate::headers::RAN_HEADER;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use sequoiawing_http::{Body, from_bytes};
use sequoiawing_types::Ran;
use serde::Serialize;
use std::time::Duration;

/// The reason why a request was refused or failed, as reported to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The request has no key, or one that is not active.
    Unauthorized,
    /// The key's customer may not use the route or model.
    Forbidden,
    /// No route matches, or the pool does not have the model.
    NotFound,
    /// The route does not support the method.
    MethodNotAllowed,
    /// The path and query exceed the length limit.
    UriTooLong,
    /// The headers exceed the size limit.
    HeadersTooLarge,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The call with this idempotency key is still in progress.
    InProgress,
    /// The outcome of the call with this idempotency key is unknown.
    OutcomeUnknown,
    /// The call with this idempotency key ran, but its response was not stored.
    AnswerNotKept,
    /// The customer's rate and burst are exhausted.
    RateLimited,
    /// No upstream can start the request before its deadline.
    TooLate,
    /// Too many requests are waiting.
    Overloaded,
    /// No upstream can serve the request.
    NoUpstream,
    /// The upstream failed.
    UpstreamFailed,
    /// The response did not end within the timeout of the request.
    TimedOut,
    /// State that the request needs is unavailable.
    Unavailable,
}

impl Code {
    /// Returns the HTTP status for the code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::UriTooLong => StatusCode::URI_TOO_LONG,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress | Self::OutcomeUnknown | Self::AnswerNotKept => StatusCode::CONFLICT,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLate | Self::Overloaded | Self::NoUpstream | Self::Unavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An error response that a router sends instead of one from an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// The reason.
    pub code: Code,
    /// The reason, as text.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// The delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    code: Code,
    message: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Refused {
    /// Creates a refusal of a request that did not run.
    pub fn new<T>(code: Code, message: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Builds the raw HTTP response, for a connection that is closed after it.
    pub fn into_bytes(self) -> Vec<u8> {
        let status = self.code.status();
        let json = self.json();
        let seconds = self.retry_after.map(ceil_seconds);
        let retry_after = seconds.map_or_else(String::new, |s| format!("retry-after: {s}\r\n"));
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n{RAN_HEADER}: {}\r\n{retry_after}connection: close\r\n\r\n",
            json.len(),
            self.ran.as_str(),
        );
        [head.into_bytes(), json].concat()
    }

    fn json(&self) -> Vec<u8> {
        let detail = ErrorDetail {
            code: self.code,
            message: &self.message,
            ran: self.ran,
            retry_after_ms: self.retry_after.map(|r| r.as_millis()),
        };
        serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default()
    }

    /// Builds the HTTP response.
    ///
    /// `Retry-After` is rounded up to whole seconds, so that a caller who obeys it
    /// does not retry too early; the body has the delay in milliseconds.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(from_bytes(self.json()));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        let content = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, content);
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran.as_str()));
        if self.code == Code::MethodNotAllowed {
            headers.insert(header::ALLOW, HeaderValue::from_static("POST"));
        }
        if let Some(delay) = self.retry_after {
            let seconds = HeaderValue::from(ceil_seconds(delay));
            headers.insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

fn ceil_seconds(delay: Duration) -> u64 {
    let seconds = delay.as_millis().div_ceil(1_000).max(1);
    u64::try_from(seconds).unwrap_or(u64::MAX)
}

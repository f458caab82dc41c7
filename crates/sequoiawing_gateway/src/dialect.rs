use hyper::{HeaderMap, Response, StatusCode};
use sequoiawing_http::Body;
use sequoiawing_policy::serving::{PromptPart, ReportedLoad};
use sequoiawing_router::Refused;
use sequoiawing_types::{Name, RequestRate};
use std::{sync::Arc, time::Duration};

/// The metadata that a request carries in its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMeta {
    /// The request's id, which the upstream's response repeats.
    pub id: Name,
    /// The caller's API key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for the complete response.
    pub deadline: Option<Duration>,
    /// The requested model.
    pub model: Option<Name>,
    /// The requested adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The prompt's tokens and the maximum number of completion tokens.
    pub tokens: Option<(u64, u64)>,
    /// The parts of the prompt, in order.
    pub parts: Arc<[PromptPart]>,
    /// The id of the last event that the caller received of the stream.
    pub last_event_id: Option<u64>,
    /// The id of the caller's request that brought the first event of the stream that
    /// this one takes up.
    pub resumes: Option<Name>,
}

impl RequestMeta {
    /// Returns the sum of prompt and completion tokens that the request
    /// declares.
    pub fn total_tokens(&self) -> Option<u64> {
        self.tokens
            .map(|(prompt, completion)| prompt.saturating_add(completion))
    }

    /// Returns the parts that other prompts may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the IDs of the shared parts for logs.
    pub(crate) fn shared_ids(&self) -> String {
        let ids = self.shared_parts().iter();
        let ids: Vec<String> = ids.map(|p| format!("{:x}", p.id)).collect();
        ids.join(",")
    }
}

/// An attempt to send a request to an upstream.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The intended upstream; any other at its address must refuse.
    pub upstream: &'a Name,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The customer; `None` on open routes.
    pub customer: Option<&'a Name>,
    /// How urgent the request is, from 0, which upstreams run first, to
    /// [`LEAST_URGENCY`](crate::LEAST_URGENCY).
    pub urgency: u32,
    /// The id of the event after which the upstream resumes the stream.
    pub last_event_id: Option<u64>,
}

/// The meaning of the head of an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// A response to the request.
    Answer,
    /// The upstream is at capacity and did not run the request.
    Full,
    /// The upstream has not loaded the model and did not run the request.
    Lacking,
    /// Another upstream answered at the address and did not run the request.
    Elsewhere,
    /// A response to another request, or not from an upstream.
    Foreign,
}

/// The parsed head of an upstream's response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// The meaning of the response.
    pub kind: ResponseKind,
    /// What the response says of the upstream.
    pub notice: UpstreamNotice,
}

/// What the head of a response says of its upstream, whether or not the upstream ran the
/// request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// The load that the upstream reported.
    pub load: Option<ReportedLoad>,
    /// What it says of the upstream's limit.
    pub limit: LimitNotice,
    /// What it says of how many requests the upstream can reject.
    pub tolerance: ToleranceNotice,
    /// The time for which the upstream wants no requests from this host.
    pub retry_after: Option<Duration>,
    /// How much longer the upstream is cold.
    pub cold: Option<Duration>,
    /// Whether the upstream leaves: this start of it wants no further requests.
    pub is_leaving: bool,
}

/// What the head of an upstream's response says of its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LimitNotice {
    /// The upstream accepts so many requests from all hosts together.
    Limited(RequestRate),
    /// The upstream has no limit, or no longer.
    Unlimited,
    /// The response does not tell: it is not the answer of a run.
    #[default]
    Unknown,
}

/// What the head of an upstream's response says of how many requests it can reject.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ToleranceNotice {
    /// The upstream falls over when it has to reject more requests than this per second.
    Brittle(RequestRate),
    /// The upstream may reject any number, or again.
    Sound,
    /// The response does not tell.
    #[default]
    Unknown,
}

/// Converts between HTTP headers and this crate's types.
///
/// A dialect makes no decisions: rates, routing and retries are the gateway's.
pub trait Dialect: Send + Sync {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the headers are malformed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMeta, Refused>;

    /// Removes the headers that upstreams must not receive from a caller: the
    /// key and those that only the gateway may set.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Adds the headers that are specific to one attempt.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Adds the headers by which any upstream refuses a request at once, without a slot. Its
    /// response shows that the process still runs.
    fn add_liveness_headers(&self, headers: &mut HeaderMap);

    /// Parses the head of a response from the address of `upstream`.
    fn classify(
        &self,
        request: &RequestMeta,
        upstream: &Name,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHead;

    /// Builds the response to a request that was refused or failed.
    fn refusal_response(&self, refused: &Refused, request: Option<&Name>) -> Response<Body>;

    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}

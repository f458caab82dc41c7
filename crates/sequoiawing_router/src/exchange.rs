use crate::request_id;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, body::Incoming};
use sequoiawing_tables::{Customer, KeyId, Route};
use sequoiawing_types::{Name, RequestId, Time};
use serde::Deserialize;
use std::sync::Arc;

/// What a request's credential turned out to be.
#[derive(Clone, Debug, Default)]
pub enum Credential {
    /// None came.
    #[default]
    Missing,
    /// It is not a key in force.
    Invalid,
    /// The router has been cut off for too long to trust keys.
    Unconfirmed,
    /// A customer's key.
    Valid(KeyId, Customer),
}

/// The fields of a completion request that decide where it goes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// The model, or `model:adapter`.
    pub model: String,
    /// The most tokens to generate.
    pub max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The newer name of `max_tokens`.
    pub max_completion_tokens: Option<u64>,
    /// The prompt of a plain completion.
    pub prompt: serde_json::Value,
    /// The messages of a chat completion.
    pub messages: Vec<Message>,
}

/// One message of a chat completion.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said: a text or a list of parts.
    pub content: serde_json::Value,
}

/// One request on its way through the filter chain.
///
/// Each filter fills in what it decides and reads what earlier ones did.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Drawn by the router, unique in the deployment; names the attempts.
    pub nonce: RequestId,
    /// The identifier by which the caller and the logs name the request.
    pub request: Name,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers, without those that only concern the caller's connection.
    pub headers: HeaderMap,
    /// The body that has not been read yet.
    pub incoming: Option<Incoming>,
    /// The whole body, once it has been read.
    pub body: Bytes,
    /// When the request arrived.
    pub arrival: Time,
    /// The latest moment for its answer to begin; always set behind the route
    /// filter.
    pub deadline: Option<Time>,
    /// What is known of the credential that came with it.
    pub credential: Credential,
    /// The key for which it runs; none on routes open to all.
    pub key: Option<KeyId>,
    /// The customer for whom it runs; none on routes open to all.
    pub customer: Option<Customer>,
    /// The route.
    pub route: Arc<Route>,
    /// The model; none for plain services.
    pub model: Option<Name>,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The tokens of the prompt, estimated.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub answer_tokens: u64,
    /// The hash of the prompt's beginning.
    pub prefix: u64,
}

impl Exchange {
    /// Returns the exchange of a request that has just arrived.
    pub(crate) fn new(arrival: Time, request: Request<Incoming>) -> Self {
        let (mut parts, incoming) = request.into_parts();
        let path = parts.uri.path_and_query();
        let nonce = RequestId::random();
        let request = request_id::take(&mut parts.headers, &nonce);
        Self {
            nonce,
            request,
            method: parts.method,
            path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
            headers: parts.headers,
            incoming: Some(incoming),
            arrival,
            ..Self::default()
        }
    }

    /// Returns the exchange for a task of its own, and leaves here what says
    /// for whom the request runs.
    pub(crate) fn detach(&mut self) -> Self {
        Self {
            nonce: self.nonce.clone(),
            request: self.request.clone(),
            method: self.method.clone(),
            path: std::mem::take(&mut self.path),
            headers: std::mem::take(&mut self.headers),
            incoming: self.incoming.take(),
            body: std::mem::take(&mut self.body),
            arrival: self.arrival,
            deadline: self.deadline,
            credential: std::mem::take(&mut self.credential),
            key: self.key.clone(),
            customer: self.customer.clone(),
            route: self.route.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            stream: self.stream,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            prefix: self.prefix,
        }
    }

    /// Returns the latest moment for the answer to begin.
    pub fn latest(&self) -> Time {
        self.deadline.unwrap_or(self.arrival)
    }

    /// Returns the name under which the request's customer is accounted.
    pub fn customer_name(&self) -> Name {
        let customer = self.customer.as_ref();
        customer.map_or_else(|| Name::from("open"), |c| c.name.clone())
    }
}

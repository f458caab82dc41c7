use crate::{RequestMeta, request_digest::RequestDigest};
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header::HOST};
use sequoiawing_catalog::{CatalogCustomer, CatalogIndex, CatalogRoute};
use sequoiawing_http::HeldBody;
use sequoiawing_policy::serving::{BalancerRequest, shared_causes};
use sequoiawing_types::{CrashCause, Name, Time};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

/// The urgency of the requests that upstreams run last.
pub const LEAST_URGENCY: u32 = 9;

/// The number of urgencies within one rank, by which the ranks of routes order the
/// requests of customers of one rank.
const URGENCIES_PER_RANK: u32 = 3;

/// The state of one request as it passes through a gateway's filters.
///
/// Each filter sets the fields that it decides and reads those set before.
#[derive(Debug, Default)]
pub struct GatewayExchange {
    /// The metadata parsed from the headers.
    pub meta: RequestMeta,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers; once authenticated, those that are sent to upstreams.
    pub headers: HeaderMap,
    /// The body, until it is read.
    pub incoming: Option<Incoming>,
    /// The complete body, once it has been read.
    pub body: HeldBody,
    /// When the request arrived.
    pub arrival: Time,
    /// When the request times out, by the caller's or the route's limit.
    pub deadline: Time,
    /// The configuration that applies to the request.
    pub index: Arc<CatalogIndex>,
    /// The matching route.
    pub route: Arc<CatalogRoute>,
    /// The pool selected at random from the route's targets.
    pub pool: Name,
    /// The authenticated customer; `None` on open routes.
    pub customer: Option<Arc<CatalogCustomer>>,
    /// The units charged to the customer.
    pub units: u64,
    /// Identifies this attempt of the caller. Callers choose the request's id, and may
    /// use one twice.
    pub(crate) attempt: u64,
    /// The attempts that may have run the request.
    pub(crate) possible_runs: AtomicU32,
    /// The number of the last quarantine of a cause of crashes in whose trials this
    /// request passed, or 0.
    pub(crate) passed_term: AtomicU32,
    digest: OnceLock<RequestDigest>,
}

/// Counts an attempt as a possible run of its request.
pub(crate) struct PossibleRun<'a> {
    exchange: &'a GatewayExchange,
    is_counted: AtomicBool,
}

impl<'a> PossibleRun<'a> {
    pub(crate) fn new(exchange: &'a GatewayExchange) -> Self {
        Self {
            exchange,
            is_counted: AtomicBool::new(false),
        }
    }

    /// Records that the request is about to be sent, which may happen several times.
    pub(crate) fn begin(&self) {
        if !self.is_counted.swap(true, Ordering::Relaxed) {
            self.exchange.possible_runs.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the attempt did not run the request.
    pub(crate) fn withdraw(&self) {
        if self.is_counted.swap(false, Ordering::Relaxed) {
            self.exchange.possible_runs.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl GatewayExchange {
    pub(crate) fn new(arrival: Time, index: Arc<CatalogIndex>, request: Request<Incoming>) -> Self {
        let (parts, incoming) = request.into_parts();
        Self {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            incoming: Some(incoming),
            arrival,
            deadline: Time::MAX,
            index,
            attempt: rand::random(),
            ..Self::default()
        }
    }

    /// Returns the host of the `Host` header or of the URI.
    pub(crate) fn host(&self) -> &str {
        let value = self.headers.get(HOST).and_then(|v| v.to_str().ok());
        value.or_else(|| self.uri.host()).unwrap_or_default()
    }

    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the digest of the request, whose body has been read.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let customer = self.customer.as_ref().map(|c| &c.name);
            RequestDigest::new(customer, &self.method, self.host(), &self.uri, &self.body)
        })
    }

    /// Returns the request as a possible cause of crashes, if it comes again.
    pub(crate) fn own_cause(&self) -> CrashCause {
        CrashCause::request(self.digest().0)
    }

    /// Returns what may crash upstreams: the request itself, and the prompt parts that
    /// it shares with others.
    pub(crate) fn crash_causes(&self) -> Vec<CrashCause> {
        let shared = shared_causes(&self.meta.parts);
        [self.own_cause()].into_iter().chain(shared).collect()
    }

    /// Returns the request's rank: the customer's, or else the route's.
    pub fn rank(&self) -> u32 {
        let customer_rank = self.customer.as_ref().and_then(|c| c.rank);
        customer_rank.unwrap_or(self.route.rank)
    }

    /// Returns how urgent the request is, from 0 to [`LEAST_URGENCY`]: by its rank, and
    /// among requests of one rank by their routes'.
    pub fn urgency(&self) -> u32 {
        let route_rank = self.route.rank.min(URGENCIES_PER_RANK - 1);
        let urgency = self.rank().saturating_mul(URGENCIES_PER_RANK);
        urgency.saturating_add(route_rank).min(LEAST_URGENCY)
    }

    /// Returns the adapter's or model's name for logs; empty without one.
    pub(crate) fn model(&self) -> &str {
        let name = self.meta.adapter.as_ref().or(self.meta.model.as_ref());
        name.map_or("", Name::as_str)
    }

    /// Returns the customer's name for logs; empty on open routes.
    pub(crate) fn customer(&self) -> &str {
        self.customer.as_ref().map_or("", |c| c.name.as_str())
    }

    pub(crate) fn millis_since_arrival(&self, now: Time) -> u64 {
        u64::try_from(now.since(self.arrival).as_millis()).unwrap_or(u64::MAX)
    }

    /// Moves the exchange out for a response that outlives the filters. What
    /// identifies the request in logs and metrics remains.
    pub(crate) fn detach(&mut self) -> Self {
        let identity = Self {
            meta: self.meta.clone(),
            route: self.route.clone(),
            customer: self.customer.clone(),
            ..Self::default()
        };
        std::mem::replace(self, identity)
    }

    /// Returns what the balancer needs to choose an upstream.
    pub(crate) fn balancer_request(&self) -> BalancerRequest {
        BalancerRequest {
            pool: self.pool.clone(),
            model: self.meta.model.clone(),
            adapter: self.meta.adapter.clone(),
            parts: self.meta.parts.clone(),
            seed: self.attempt,
            tried: Vec::new(),
            crowded: Vec::new(),
            software: None,
            is_waiting: false,
        }
    }
}

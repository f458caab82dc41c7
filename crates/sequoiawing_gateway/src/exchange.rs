use crate::Call;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header::HOST};
use sequoiawing_catalog::{CatalogIndex, CatalogRoute, Client};
use sequoiawing_policy::serving::BalancerRequest;
use sequoiawing_types::{Name, Time};
use std::{sync::Arc, time::Duration};

/// One request on its way through a gateway's filters.
///
/// Each filter fills in what it decides and reads what earlier ones did.
#[derive(Debug, Default)]
pub struct GatewayExchange {
    /// What its headers say.
    pub call: Call,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The headers; behind the dialect, those that upstreams get.
    pub headers: HeaderMap,
    /// The body that has not been read yet.
    pub incoming: Option<Incoming>,
    /// The whole body, once it has been read.
    pub body: Bytes,
    /// When the request arrived.
    pub arrival: Time,
    /// When the caller or the operator gives it up.
    pub deadline: Time,
    /// The configuration by which it is treated.
    pub index: Arc<CatalogIndex>,
    /// The route.
    pub route: Arc<CatalogRoute>,
    /// The pool that was drawn of the route's.
    pub pool: Name,
    /// The customer for whom it runs; none on open routes.
    pub customer: Option<Arc<Client>>,
    /// The units that the customer was charged.
    pub units: u64,
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
            ..Self::default()
        }
    }

    /// Returns the host that the request names.
    pub(crate) fn host(&self) -> &str {
        let named = self.headers.get(HOST).and_then(|v| v.to_str().ok());
        named.or_else(|| self.uri.host()).unwrap_or_default()
    }

    /// Returns the time until it is given up.
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the rank by which it is served.
    pub fn rank(&self) -> u32 {
        let own = self.customer.as_ref().and_then(|c| c.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Returns the model's name for logs; empty without one.
    pub(crate) fn model(&self) -> &str {
        let wanted = self.call.adapter.as_ref().or(self.call.model.as_ref());
        wanted.map_or("", Name::as_str)
    }

    /// Returns the customer's name for logs; empty on open routes.
    pub(crate) fn customer(&self) -> &str {
        self.customer.as_ref().map_or("", |c| c.name.as_str())
    }

    pub(crate) fn millis_since_arrival(&self, now: Time) -> u64 {
        u64::try_from(now.since(self.arrival).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the exchange for an answer that outlives the filters, and leaves
    /// here what names the request.
    pub(crate) fn detach(&mut self) -> Self {
        let named = Self {
            call: self.call.clone(),
            route: self.route.clone(),
            customer: self.customer.clone(),
            ..Self::default()
        };
        std::mem::replace(self, named)
    }

    pub(crate) fn work(&self) -> BalancerRequest {
        BalancerRequest {
            pool: self.pool.clone(),
            model: self.call.model.clone(),
            adapter: self.call.adapter.clone(),
            parts: self.call.parts.clone(),
            tried: Vec::new(),
        }
    }
}

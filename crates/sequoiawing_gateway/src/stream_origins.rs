//! The software version that a stream is bound to.
//!
//! What two versions of the upstreams' software write does not fit together. A stream goes
//! on only at upstreams of the version that began it, within one answer and when a caller
//! takes it up at any gateway; see
//! [docs/design/software-versions.md](../../../docs/design/software-versions.md).

use crate::{GatewayExchange, GatewayState};
use futures::{StreamExt, stream::FuturesUnordered};
use parking_lot::Mutex;
use sequoiawing_catalog::RetryPolicy;
use sequoiawing_link::{
    HubClient, OnlySoftware, OriginReply, OriginRequest, Secret, StreamOrigin, Stub,
};
use sequoiawing_policy::serving::{Assignment, BalancerRequest, SoftwareVersion, StreamOrigins};
use sequoiawing_router::{Code, Refused};
use sequoiawing_types::Name;
use sha2::{Digest, Sha256};
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// How long hubs may take to say which software version began a stream. Each hub has the
/// answer at hand.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// The retry delay for callers whose stream has an unknown software version, if a hub did
/// not answer. If all did, no later time is known to be better.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// The maximum number of streams in one report.
const MAX_REPORTED: usize = 4_096;

/// Multiplies the time that the route gives a request to get the time for which a pool
/// must have had a single software version before a stream of unknown origin is taken for
/// one of that version: the stream, and its upstream's end after the last announcement.
const ONLY_SOFTWARE_FACTOR: u32 = 2;

/// What hubs know of the stream of an attempt.
struct Lookup {
    software: Option<Name>,
    /// The only version that its pool had lately, if all hubs say so.
    only: Option<OnlySoftware>,
    /// Whether all hubs that were asked have answered.
    is_complete: bool,
}

impl Lookup {
    /// Adds the reply of a hub, or `None` if it did not answer.
    fn add(&mut self, attempt: Option<u64>, reply: Option<OriginReply>, is_first: bool) {
        let Some(reply) = reply else {
            self.is_complete = false;
            self.only = None;
            return;
        };
        let mut origins = reply.origins.into_iter();
        let origin = origins.find(|o| attempt.is_some_and(|a| o.attempts.contains(&a)));
        self.software = origin.map(|origin| origin.software);
        self.only = match (self.only.take(), reply.only) {
            (None, only) if is_first => only,
            (Some(known), Some(only)) if known.software == only.software => Some(OnlySoftware {
                age: known.age.min(only.age),
                ..only
            }),
            _ => None,
        };
    }
}

/// The streams that began at this gateway.
#[derive(Default)]
pub(crate) struct OriginRecords {
    own: Mutex<StreamOrigins>,
    /// Connections for lookups only: a hub of an earlier build closes one that asks for
    /// something that it does not know.
    stubs: Mutex<HashMap<SocketAddr, Stub<HubClient>>>,
}

impl OriginRecords {
    /// Returns the streams that began after a position, with the position after them.
    pub(crate) fn report(&self, position: u64) -> (u64, Vec<StreamOrigin>) {
        let own = self.own.lock();
        let (last, began) = own.since(position, MAX_REPORTED);
        let mut origins: Vec<StreamOrigin> = Vec::new();
        for (attempt, software) in began {
            // An upstream whose version this host does not know is known to no other.
            let SoftwareVersion::Announced(software) = software else {
                continue;
            };
            match origins.iter_mut().find(|o| o.software == *software) {
                Some(origin) => origin.attempts.push(attempt),
                None => origins.push(StreamOrigin {
                    software: software.clone(),
                    attempts: vec![attempt],
                }),
            }
        }
        (last, origins)
    }
}

/// Identifies an attempt of a caller by the id that it chose. Another customer, or a
/// request to another pool, has another digest.
fn attempt_digest(exchange: &GatewayExchange, id: &Name) -> u64 {
    let customer = exchange.customer.as_ref().map_or("", |c| c.name.as_str());
    let mut hasher = Sha256::new();
    for field in [customer, exchange.pool.as_str(), id.as_str()] {
        let length = u64::try_from(field.len()).unwrap_or(u64::MAX);
        hasher.update(length.to_le_bytes());
        hasher.update(field);
    }
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_first_chunk().unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*first)
}

impl GatewayState {
    /// Binds a stream whose first event has arrived to the software version of its
    /// upstream.
    pub(crate) fn bind_stream(
        &self,
        exchange: &GatewayExchange,
        request: &mut BalancerRequest,
        assignment: &Assignment,
    ) {
        if exchange.route.repeat != RetryPolicy::Resumable || request.software.is_some() {
            return;
        }
        let software = assignment.software.clone();
        let attempt = attempt_digest(exchange, &exchange.meta.id);
        let mut own = self.origins.own.lock();
        own.record(self.now(), attempt, &software);
        drop(own);
        let balancer = self.balancer.lock();
        let is_urgent = balancer.has_other_software(&exchange.pool, &software);
        drop(balancer);
        if is_urgent {
            self.urgent_report.notify(usize::MAX);
        }
        log::debug!(
            target: "gateway", request = exchange.meta.id.as_str(),
            upstream = assignment.name.as_str(), software = software.to_string();
            "Stream is bound to the software version that began it."
        );
        request.software = Some(software);
    }

    /// Returns the software version that must go on with the stream that a request takes
    /// up; `None` if it takes none up.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it takes a stream up of which no host in touch knows which
    /// version began it.
    pub(crate) async fn required_software(
        &self,
        exchange: &GatewayExchange,
    ) -> Result<Option<SoftwareVersion>, Refused> {
        let Some(last_event_id) = exchange.meta.last_event_id else {
            return Ok(None);
        };
        if exchange.route.repeat != RetryPolicy::Resumable {
            return Ok(None);
        }
        let mut source = "own record";
        let mut is_complete = true;
        let attempt = exchange.meta.resumes.as_ref();
        let attempt = attempt.map(|id| attempt_digest(exchange, id));
        let own = attempt.and_then(|a| self.origins.own.lock().get(self.now(), a).cloned());
        let mut found = own;
        if found.is_none() {
            source = "hub";
            let limit = LOOKUP_TIMEOUT.min(exchange.remaining(self.now()));
            let lookup = self.ask_hubs(&exchange.pool, attempt, limit).await;
            is_complete = lookup.is_complete;
            let software = lookup.software.or_else(|| {
                source = "only version of the pool";
                let least = exchange.route.timeout() * ONLY_SOFTWARE_FACTOR;
                let only = lookup.only?;
                (Duration::from_millis(only.age) >= least).then_some(only.software)
            });
            found = software.map(SoftwareVersion::Announced);
        }
        let resumes = exchange.meta.resumes.as_ref().map(Name::as_str);
        let waited = exchange.millis_since_arrival(self.now());
        let Some(software) = found else {
            log::info!(
                target: "gateway", request = exchange.meta.id.as_str(),
                pool = exchange.pool.as_str(), resumes = resumes, behind = last_event_id,
                all_hubs = is_complete, waited_ms = waited;
                "Refused to go on with a stream, since no host knows the software version that began it."
            );
            let problem = "the software version that began the stream is not known";
            let refused = Refused::new(Code::NoUpstream, problem);
            return Err(if is_complete {
                refused
            } else {
                refused.with_retry_after(UNKNOWN_RETRY)
            });
        };
        log::info!(
            target: "gateway", request = exchange.meta.id.as_str(),
            pool = exchange.pool.as_str(), resumes = resumes, behind = last_event_id,
            software = software.to_string(), source = source, waited_ms = waited;
            "Request takes a stream up."
        );
        Ok(Some(software))
    }

    /// Asks all hubs which software version began the stream of an attempt, and takes the
    /// first answer of one that knows.
    async fn ask_hubs(&self, pool: &Name, attempt: Option<u64>, limit: Duration) -> Lookup {
        let hubs: Vec<SocketAddr> = self.hubs.lock().hubs().collect();
        let mut lookup = Lookup {
            software: None,
            only: None,
            is_complete: !hubs.is_empty(),
        };
        let request = OriginRequest {
            pool: pool.clone(),
            attempts: attempt.into_iter().collect(),
        };
        let calls = hubs.into_iter().map(|hub| {
            let stub = self.lookup_stub(hub);
            let request = request.clone();
            async move {
                let call = async move |client: HubClient, context| {
                    client.stream_origins(context, request).await
                };
                let reply = stub.call(limit, call).await;
                let reply = reply.inspect_err(|error| {
                    log::info!(
                        target: "gateway", hub = hub.to_string();
                        "Hub did not say which software version began a stream: {error}."
                    );
                });
                reply.ok()
            }
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut is_first = true;
        while let Some(reply) = calls.next().await {
            lookup.add(attempt, reply, is_first);
            is_first = false;
            if lookup.software.is_some() {
                break;
            }
        }
        lookup
    }

    fn lookup_stub(&self, hub: SocketAddr) -> Stub<HubClient> {
        let mut stubs = self.origins.stubs.lock();
        let stub = stubs.entry(hub).or_insert_with(|| {
            let secret = Secret::from(self.settings.secret.as_str());
            Stub::new(hub, secret)
        });
        stub.clone()
    }
}

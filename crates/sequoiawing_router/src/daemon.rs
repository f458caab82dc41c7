use crate::{
    Chain, Code, Exchange, Plugin, Refused, RouterBuilder, RouterSettings, RouterState,
    StandardFilters,
    controllers::StandardControllers,
    open_requests::{OpenRequestGuard, TrackedBody},
    request_id,
};
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::AUTHORIZATION};
use sequoiawing_cell::{CellReply, CellRequest};
use sequoiawing_fleet::{Demand, DemandStatus, UpstreamState};
use sequoiawing_http::{Body, Handler, HttpListener, HttpSettings, from_bytes};
use sequoiawing_link::{
    BudgetBatch, BudgetReplies, Context, ExchangeReply, ExplainRequest, Explanation, FollowReply,
    FollowRequest, LinkListener, Peer, RouterStatus, Secret, UpstreamBatch, connection_handler,
};
use sequoiawing_runtime::{Shutdown, Task, sleep, spawn, timeout};
use sequoiawing_tables::{KeyId, Tables};
use sequoiawing_types::{Name, Ran};
use serde::de::DeserializeOwned;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use subtle::ConstantTimeEq;

/// The retry delay for callers that are refused because of too many connections.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time before the end of the drain in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The path of the health check on the callers' listener.
const HEALTH_PATH: &str = "/sequoiawing/health";

/// The path at which upstreams announce themselves.
const ANNOUNCE_PATH: &str = "/sequoiawing/announce";

/// The path at which upstreams renew their announcements.
const RENEW_PATH: &str = "/sequoiawing/renew";

/// The maximum size of an announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 1024 * 1024;

/// The timeout for receiving an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// A running router.
pub struct Router {
    state: Arc<RouterState>,
    /// The shutdown of the callers' listener, which starts before the general one.
    callers_shutdown: Shutdown,
    shutdown: Shutdown,
    callers: SocketAddr,
    upstreams: SocketAddr,
    link: SocketAddr,
    callers_task: Task<usize>,
    upstreams_task: Task<usize>,
}

impl Router {
    /// Starts a router with the standard filters and controllers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address is taken.
    pub async fn start(settings: RouterSettings) -> io::Result<Self> {
        Self::start_with(settings, &[]).await
    }

    /// Starts a router with additional plugins, which are added before the standard
    /// ones.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address is taken.
    pub async fn start_with(settings: RouterSettings, plugins: &[&dyn Plugin]) -> io::Result<Self> {
        let callers_shutdown = Shutdown::new();
        let shutdown = Shutdown::new();
        let link_shutdown = shutdown.clone();
        let secret = Secret::from(settings.secret.as_str());
        let limits = HttpSettings {
            drain_timeout: ANNOUNCEMENT_TIMEOUT,
            ..HttpSettings::default()
        };
        let caller_limits = HttpSettings {
            drain_timeout: Duration::from_millis(settings.drain),
            max_connections: settings.connections,
            header_timeout: Duration::from_millis(settings.header_wait),
            stall_timeout: Duration::from_millis(settings.caller_stall),
            ..HttpSettings::default()
        };
        let callers = HttpListener::bind(settings.callers, caller_limits).await?;
        let upstreams = HttpListener::bind(settings.upstreams, limits).await?;
        let link = LinkListener::bind(settings.link, secret).await?;
        let (callers_at, upstreams_at) = (callers.address()?, upstreams.address()?);
        let link_at = link.address()?;

        let state = Arc::new(RouterState::new(settings));
        state.set_link(link_at);
        let mut builder = RouterBuilder::new(state.clone());
        for plugin in plugins {
            plugin.build(&mut builder);
        }
        builder.add_plugin(&StandardFilters);
        builder.add_plugin(&StandardControllers);
        let chain = builder.take_chain();
        for controller in builder.controllers {
            spawn(controller.run(shutdown.clone())).detach();
        }
        let callers_handler = CallerHandler {
            state: state.clone(),
            chain,
        };
        let upstream_handler = UpstreamHandler {
            state: state.clone(),
        };
        let service = PeerService {
            state: state.clone(),
        };
        let callers_task =
            spawn(callers.serve(Arc::new(callers_handler), callers_shutdown.clone()));
        let upstreams_task = spawn(upstreams.serve(Arc::new(upstream_handler), shutdown.clone()));
        spawn(link.serve(connection_handler!(service.serve()), link_shutdown)).detach();
        log::info!(target: "router", "Serving callers at {callers_at}.");
        Ok(Self {
            state,
            callers_shutdown,
            shutdown,
            callers: callers_at,
            upstreams: upstreams_at,
            link: link_at,
            callers_task,
            upstreams_task,
        })
    }

    /// Returns the address at which callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which upstreams announce themselves.
    pub fn upstreams(&self) -> SocketAddr {
        self.upstreams
    }

    /// Returns the address at which other processes and operators connect.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns the status of the router.
    pub fn status(&self) -> RouterStatus {
        self.state.status()
    }

    /// Returns the state that filters and controllers share.
    pub fn state(&self) -> &Arc<RouterState> {
        &self.state
    }

    /// Stops gracefully: fails the health check, waits until the load balancer has
    /// noticed, closes the callers' listener and waits for open requests.
    ///
    /// Everything else keeps running meanwhile, so that requests that wait for a
    /// load or a retry are served. Shortly before the drain limit, requests without a
    /// response are answered and streams are broken off. Returns the number of requests that were still
    /// open at the drain limit, which are listed in the log.
    pub async fn stop(self) -> usize {
        log::info!(target: "router", "Shutting down; the health check now fails.");
        self.state.draining.store(true, Ordering::Relaxed);
        let settings = &self.state.settings;
        let time = Duration::from_millis(settings.farewell + settings.drain);
        self.state
            .last_answer
            .begin(time.saturating_sub(ANSWER_TIME));
        sleep(Duration::from_millis(self.state.settings.farewell)).await;
        self.callers_shutdown.start();
        let limit = Duration::from_millis(self.state.settings.drain);
        let drained = async {
            self.callers_task.await;
            self.state.open.wait_until_empty().await;
        };
        timeout(limit, drained).await;
        let abandoned = self.state.open.list();
        for request in &abandoned {
            log::warn!(
                target: "router",
                "Request {request} is still open at the drain limit and is abandoned."
            );
        }
        self.shutdown.start();
        self.upstreams_task.await;
        log::info!(target: "router", "Stopped with {} requests abandoned.", abandoned.len());
        abandoned.len()
    }
}

struct CallerHandler {
    state: Arc<RouterState>,
    chain: Chain,
}

impl CallerHandler {
    fn health(&self) -> Response<Body> {
        let draining = self.state.draining.load(Ordering::Relaxed);
        let has_tables = self.state.tables.get().revision.0 > 0;
        let reason = if draining {
            "shutting down\n"
        } else if !has_tables {
            "waiting for tables\n"
        } else if !self.state.router_budgets.is_ready() {
            "waiting for credit\n"
        } else {
            return plain(StatusCode::OK, "serving\n");
        };
        plain(StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == HEALTH_PATH {
            return self.health();
        }
        let mut exchange = Exchange::new(self.state.now(), request);
        let request = exchange.request_id.clone();
        let open = OpenRequestGuard::new(self.state.clone(), request.clone());
        let result = self
            .state
            .last_answer
            .or(self.chain.run(&mut exchange))
            .await;
        let result = result.unwrap_or_else(|| {
            let problem = "the response did not begin before this host ends";
            Err(Refused::new(Code::TimedOut, problem).with_ran(Ran::Unknown))
        });
        let mut response = result.unwrap_or_else(|refused| {
            log::debug!(target: "router", "Refused request {request}: {}.", refused.message);
            refused.into_response()
        });
        request_id::set_header(response.headers_mut(), &request);
        response.map(|body| TrackedBody::new(body, open).boxed_unsync())
    }

    fn busy_response(&self) -> Vec<u8> {
        let refused = Refused::new(Code::Overloaded, "too many connections are open");
        refused.with_retry_after(BUSY_RETRY_DELAY).into_bytes()
    }

    fn parse_error_response(&self, status: StatusCode) -> Vec<u8> {
        let (code, problem) = match status {
            StatusCode::URI_TOO_LONG => (Code::UriTooLong, "the path and query are too long"),
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
                (Code::HeadersTooLarge, "the headers are too large")
            }
            _ => (Code::BadRequest, "this is no HTTP/1.1 request"),
        };
        Refused::new(code, problem).into_bytes()
    }
}

struct UpstreamHandler {
    state: Arc<RouterState>,
}

impl UpstreamHandler {
    fn is_authenticated(&self, headers: &HeaderMap) -> bool {
        let credential = headers
            .get(AUTHORIZATION)
            .map(hyper::http::HeaderValue::as_bytes);
        let credential = credential.and_then(|v| v.strip_prefix(b"Bearer "));
        let expected = self.state.settings.credential.as_bytes();
        credential.is_some_and(|s| s.ct_eq(expected).into())
    }

    /// Authenticates an upstream and parses the body of its request, or returns the
    /// error response.
    async fn parse<T>(&self, request: Request<Incoming>) -> Result<T, Response<Body>>
    where
        T: DeserializeOwned,
    {
        if !self.is_authenticated(request.headers()) {
            let problem = "the credential is wrong\n";
            return Err(plain(StatusCode::UNAUTHORIZED, problem));
        }
        let limited = Limited::new(request.into_body(), ANNOUNCEMENT_BYTES);
        let collected = timeout(ANNOUNCEMENT_TIMEOUT, limited.collect()).await;
        let Some(Ok(body)) = collected else {
            let problem = "the announcement broke off\n";
            return Err(plain(StatusCode::BAD_REQUEST, problem));
        };
        serde_json::from_slice(&body.to_bytes()).map_err(|error| {
            let problem = format!("the announcement is unreadable: {error}\n");
            plain(StatusCode::BAD_REQUEST, &problem)
        })
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Body> {
        match self.parse(request).await {
            Ok(state) => self.accept(state),
            Err(refused) => refused,
        }
    }

    async fn renew(&self, request: Request<Incoming>) -> Response<Body> {
        match self.parse(request).await {
            Ok(renewal) if self.state.renew(&renewal) => plain(StatusCode::OK, ""),
            Ok(_) => plain(StatusCode::CONFLICT, "announce yourself whole\n"),
            Err(refused) => refused,
        }
    }

    fn accept(&self, state: UpstreamState) -> Response<Body> {
        if !state.name.is_valid() || state.address.is_none() {
            return plain(StatusCode::BAD_REQUEST, "name and address are needed\n");
        }
        let tables = self.state.tables.get();
        let Some(pool) = tables.pools.get(&state.pool) else {
            return plain(StatusCode::NOT_FOUND, "the pool does not exist\n");
        };
        if !pool.allows_centre(&state.centre) {
            return plain(
                StatusCode::FORBIDDEN,
                "the pool is not in the data centre\n",
            );
        }
        self.state.announce(state);
        plain(StatusCode::OK, "")
    }
}

impl Handler for UpstreamHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            ANNOUNCE_PATH => self.announce(request).await,
            RENEW_PATH => self.renew(request).await,
            _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(from_bytes(text.to_owned()));
    *response.status_mut() = status;
    response
}

#[derive(Clone)]
struct PeerService {
    state: Arc<RouterState>,
}

impl Peer for PeerService {
    async fn exchange(self, _: Context, batch: UpstreamBatch) -> ExchangeReply {
        self.state.apply_batch(batch)
    }

    async fn lend(self, _: Context, batch: BudgetBatch) -> BudgetReplies {
        self.state.lend(batch)
    }

    async fn recalled(self, _: Context, borrower: Name, wait: u64) -> Vec<Name> {
        let wait = Duration::from_millis(wait);
        self.state.recalled(&borrower, wait).await
    }

    async fn demand(self, _: Context, demands: Vec<Demand>) -> Vec<DemandStatus> {
        let placer = self.state.placer.lock().clone();
        let mut states = Vec::new();
        for demand in demands {
            let state = match &placer {
                Some(placer) => placer.handle_demand(&self.state, demand).await,
                None => DemandStatus::default(),
            };
            states.push(state);
        }
        states
    }

    async fn cell(self, _: Context, request: CellRequest) -> Option<CellReply> {
        self.state.handle_cell_request(request)
    }

    async fn follow(self, _: Context, request: FollowRequest) -> FollowReply {
        let wait = Duration::from_millis(request.wait);
        let changed = |t: &Arc<Tables>| t.revision > request.revision;
        timeout(wait, self.state.tables.wait_until(changed)).await;
        let tables = self.state.tables.get();
        let age = self.state.tables_age().as_millis();
        FollowReply {
            revision: tables.revision,
            update: tables.update_from(request.revision),
            age: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }

    async fn withdraw(self, _: Context, keys: Vec<KeyId>) -> usize {
        self.state.withdraw_keys(keys.into_iter())
    }

    async fn upstreams(self, _: Context) -> Vec<UpstreamState> {
        let registry = self.state.registry.lock();
        registry.iter().map(|s| UpstreamState::clone(s)).collect()
    }

    async fn explain(self, _: Context, request: ExplainRequest) -> Explanation {
        self.state.explain(&request)
    }

    async fn drain(self, _: Context, draining: bool) -> RouterStatus {
        log::info!(target: "router", "An operator set the drain mode to {draining}.");
        self.state.draining.store(draining, Ordering::Relaxed);
        self.state.status()
    }

    async fn status(self, _: Context) -> RouterStatus {
        self.state.status()
    }

    async fn dump(self, _: Context) -> String {
        self.state.dump()
    }
}

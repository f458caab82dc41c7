use crate::{
    Dialect, GatewayExchange, GatewaySettings, GatewayState, filters, hub_sync,
    isolation::watch_isolation,
    places::report_places,
    tunnels::{drain_tunnels, probe_paths, tunnel_handler},
};
use futures_lite::future::zip;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use sequoiawing_http::{Body, Handler, HttpListener, HttpSettings, from_bytes};
use sequoiawing_link::{LinkListener, Secret};
use sequoiawing_router::{Chain, Code, Refused};
use sequoiawing_runtime::{Shutdown, Task, sleep, spawn};
use sequoiawing_telemetry::{RequestAttributes, serve_metrics};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// How long a caller's connection may be idle, or a request's headers may take
/// to arrive. It exceeds the time for which callers keep idle connections under
/// the bounds that operators set.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// How long shutdown waits for open connections of the readiness check.
const READY_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    callers: SocketAddr,
    accept_shutdown: Shutdown,
    shutdown: Shutdown,
    callers_task: Task<usize>,
    hub_task: Task<()>,
}

impl Gateway {
    /// Starts a gateway and binds its listeners.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when an address cannot be bound.
    pub async fn start(settings: GatewaySettings, dialect: Arc<dyn Dialect>) -> io::Result<Self> {
        let http_settings = HttpSettings {
            max_connections: settings.connections,
            header_timeout: HEADER_TIMEOUT,
            drain_timeout: Duration::from_millis(settings.drain),
            ..HttpSettings::default()
        };
        let callers = HttpListener::bind(settings.callers, http_settings).await?;
        let ready_settings = HttpSettings {
            drain_timeout: READY_DRAIN_TIMEOUT,
            ..HttpSettings::default()
        };
        let ready = HttpListener::bind(settings.ready, ready_settings).await?;
        let callers_address = callers.address()?;
        let (accept_shutdown, shutdown) = (Shutdown::new(), Shutdown::new());
        let state = Arc::new(GatewayState::new(settings, dialect));
        let ready_handler = ReadyHandler {
            state: state.clone(),
        };
        spawn(ready.serve(Arc::new(ready_handler), shutdown.clone())).detach();
        let handler = CallerHandler {
            state: state.clone(),
            chain: filters::chain(&state),
        };
        let callers_task = spawn(callers.serve(Arc::new(handler), accept_shutdown.clone()));
        let metrics = state.settings.metrics.zip(state.meters.clone());
        if let Some((address, meters)) = metrics {
            serve_metrics(address, meters, shutdown.clone()).await?;
        }
        if let Some(address) = state.settings.tunnels {
            let secret = Secret::from(state.settings.secret.as_str());
            let listener = LinkListener::bind(address, secret).await?;
            spawn(listener.serve(tunnel_handler(&state), shutdown.clone())).detach();
        }
        spawn(probe_paths(state.clone(), shutdown.clone())).detach();
        spawn(report_places(state.clone(), shutdown.clone())).detach();
        spawn(watch_isolation(state.clone(), shutdown.clone())).detach();
        let hub_task = spawn(hub_sync::sync_with_hubs(state.clone(), shutdown.clone()));
        log::info!(
            target: "gateway", callers = callers_address.to_string(),
            incarnation = state.incarnation.get();
            "Started."
        );
        Ok(Self {
            state,
            callers: callers_address,
            accept_shutdown,
            shutdown,
            callers_task,
            hub_task,
        })
    }

    /// Returns the address at which the gateway accepts callers' requests.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the state shared by the gateway's filters and tasks.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Adds hubs to those that the gateway connects to.
    pub fn add_hubs<I>(&self, hubs: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let now = self.state.now();
        let mut known = self.state.hubs.lock();
        for hub in hubs {
            known.add(now, hub, true);
        }
    }

    /// Shuts down gracefully: fails the readiness check, gives the load balancer
    /// time to notice, stops accepting connections and waits for open requests. Those that
    /// are open shortly before the end get an answer of the gateway. See
    /// [docs/design/shutdown.md](../../../docs/design/shutdown.md).
    pub async fn stop(self) {
        self.state.begin_stop();
        sleep(Duration::from_millis(self.state.settings.farewell)).await;
        self.accept_shutdown.start();
        let drain = Duration::from_millis(self.state.settings.drain);
        let tunnels = drain_tunnels(&self.state, drain);
        let (abandoned, ()) = zip(self.callers_task, tunnels).await;
        self.shutdown.start();
        self.hub_task.await;
        log::info!(target: "gateway", abandoned = abandoned; "Stopped.");
    }
}

struct ReadyHandler {
    state: Arc<GatewayState>,
}

impl Handler for ReadyHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let mut response = Response::new(from_bytes(""));
        *response.status_mut() = if request.uri().path() != self.state.dialect.ready_path() {
            StatusCode::NOT_FOUND
        } else if self.state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response
    }
}

struct CallerHandler {
    state: Arc<GatewayState>,
    chain: Chain<GatewayExchange>,
}

fn log_refusal(exchange: &GatewayExchange, refused: &Refused, latency: Duration) {
    log::info!(
        target: "gateway", request = exchange.meta.id.as_str(),
        route = exchange.route.name.as_str(), version = exchange.index.version(),
        model = exchange.model(), customer = exchange.customer(),
        code = format!("{:?}", refused.code), ran = refused.ran.as_str(),
        cause = refused.message.as_str(),
        retry_ms = refused.retry_after.map(|r| u64::try_from(r.as_millis()).unwrap_or(u64::MAX)),
        took_ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        "Request refused."
    );
}

/// Counts a request as open until its response begins.
struct OpenRequestGuard<'a>(&'a GatewayState);

impl Drop for OpenRequestGuard<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let state = &self.state;
        state.open_requests.fetch_add(1, Ordering::Relaxed);
        let _guard = OpenRequestGuard(state);
        let mut exchange = GatewayExchange::new(state.now(), state.index(), request);
        let arrival = exchange.arrival;
        let result = state
            .stop
            .last_answer
            .or(self.chain.run(&mut exchange))
            .await;
        let result = result.unwrap_or_else(|| Err(GatewayState::last_answer(&exchange)));
        let latency = state.now().since(arrival);
        let response = match result {
            Ok(response) => response,
            Err(refused) => {
                log_refusal(&exchange, &refused, latency);
                let id = Some(&exchange.meta.id).filter(|id| !id.as_str().is_empty());
                let mut response = state.dialect.refusal_response(&refused, id);
                if state.is_isolated() || state.is_stopping.load(Ordering::Relaxed) {
                    // The caller's next connection leads to another host.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
        };
        if let Some(meters) = &state.meters {
            let attributes = RequestAttributes {
                customer: exchange.customer().into(),
                route: exchange.route.name.clone(),
                model: exchange.meta.model.clone().unwrap_or_default(),
            };
            meters.record_response(&attributes, response.status().as_u16(), latency);
        }
        response
    }

    fn busy_response(&self) -> Vec<u8> {
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\
          connection: close\r\n\r\n"
            .to_vec()
    }

    fn parse_error_response(&self, status: StatusCode) -> Vec<u8> {
        let code = match status {
            StatusCode::URI_TOO_LONG => Code::UriTooLong,
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => Code::HeadersTooLarge,
            _ => Code::BadRequest,
        };
        let refused = Refused::new(code, "this is no HTTP/1.1 request");
        refused.into_bytes()
    }
}

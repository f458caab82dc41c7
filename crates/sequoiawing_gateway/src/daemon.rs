use crate::{Dialect, GatewayExchange, GatewaySettings, GatewayState, filters, follow};
use hyper::{Request, Response, StatusCode, body::Incoming};
use sequoiawing_http::{Body, Handler, HttpListener, HttpSettings, from_bytes};
use sequoiawing_router::{Chain, Code, Refused};
use sequoiawing_runtime::{Shutdown, Task, sleep, spawn};
use sequoiawing_telemetry::{RequestAttributes, serve_metrics};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// How long a connection of a caller may be idle, or a request's headers may
/// take; longer than callers keep one by the bounds that operators set.
const HEADER_LIMIT: Duration = Duration::from_secs(30);

/// How often the health check may be asked on one connection at the end.
const READY_DRAIN: Duration = Duration::from_millis(200);

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    callers: SocketAddr,
    closing: Shutdown,
    shutdown: Shutdown,
    callers_task: Task<usize>,
    following: Task<()>,
}

impl Gateway {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address is taken.
    pub async fn start(settings: GatewaySettings, dialect: Arc<dyn Dialect>) -> io::Result<Self> {
        let bounds = HttpSettings {
            connections: settings.connections,
            header_limit: HEADER_LIMIT,
            drain_limit: Duration::from_millis(settings.drain),
            ..HttpSettings::default()
        };
        let callers = HttpListener::bind(settings.callers, bounds).await?;
        let ready_bounds = HttpSettings {
            drain_limit: READY_DRAIN,
            ..HttpSettings::default()
        };
        let ready = HttpListener::bind(settings.ready, ready_bounds).await?;
        let callers_at = callers.address()?;
        let (closing, shutdown) = (Shutdown::new(), Shutdown::new());
        let state = Arc::new(GatewayState::new(settings, dialect));
        let ready_handler = ReadyHandler {
            state: state.clone(),
        };
        spawn(ready.serve(Arc::new(ready_handler), shutdown.clone())).detach();
        let handler = CallerHandler {
            state: state.clone(),
            chain: filters::chain(&state),
        };
        let callers_task = spawn(callers.serve(Arc::new(handler), closing.clone()));
        let metrics = state.settings.metrics.zip(state.meters.clone());
        if let Some((address, meters)) = metrics {
            serve_metrics(address, meters, shutdown.clone()).await?;
        }
        let following = spawn(follow::follow_hubs(state.clone(), shutdown.clone()));
        log::info!(
            target: "gateway", callers = callers_at.to_string(),
            incarnation = state.incarnation;
            "Started."
        );
        Ok(Self {
            state,
            callers: callers_at,
            closing,
            shutdown,
            callers_task,
            following,
        })
    }

    /// Returns where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns what filters and controllers share.
    pub fn state(&self) -> &Arc<GatewayState> {
        &self.state
    }

    /// Adds hubs to those that are followed.
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

    /// Stops without cutting a request: fails the readiness check, waits for
    /// the balancer, takes no more connections and waits for open requests.
    pub async fn stop(self) {
        log::info!(target: "gateway", open = self.state.open.load(Ordering::Relaxed); "Stopping.");
        self.state.leaving.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(self.state.settings.farewell)).await;
        self.closing.start();
        let abandoned = self.callers_task.await;
        self.shutdown.start();
        self.following.await;
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

fn log_refusal(exchange: &GatewayExchange, refused: &Refused, took: Duration) {
    log::info!(
        target: "gateway", request = exchange.call.id.as_str(),
        route = exchange.route.name.as_str(), version = exchange.index.version(),
        model = exchange.model(), customer = exchange.customer(),
        code = format!("{:?}", refused.code), ran = refused.ran.as_str(),
        cause = refused.message.as_str(),
        retry_ms = refused.retry.map(|r| u64::try_from(r.as_millis()).unwrap_or(u64::MAX)),
        took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        "A request is refused."
    );
}

/// Counts a request until its answer begins.
struct OpenRequest<'a>(&'a GatewayState);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let state = &self.state;
        state.open.fetch_add(1, Ordering::Relaxed);
        let _open = OpenRequest(state);
        let mut exchange = GatewayExchange::new(state.now(), state.index(), request);
        let arrival = exchange.arrival;
        let answered = self.chain.run(&mut exchange).await;
        let took = state.now().since(arrival);
        let response = match answered {
            Ok(response) => response,
            Err(refused) => {
                log_refusal(&exchange, &refused, took);
                state.dialect.refuse(&refused, Some(&exchange.call.id))
            }
        };
        if let Some(meters) = &state.meters {
            let asked = RequestAttributes {
                customer: exchange.customer().into(),
                route: exchange.route.name.clone(),
                model: exchange.call.model.clone().unwrap_or_default(),
            };
            meters.record_response(&asked, response.status().as_u16(), took);
        }
        response
    }

    fn busy_answer(&self) -> Vec<u8> {
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\
          connection: close\r\n\r\n"
            .to_vec()
    }

    fn unreadable_answer(&self, status: StatusCode) -> Vec<u8> {
        let code = match status {
            StatusCode::URI_TOO_LONG => Code::UriTooLong,
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => Code::HeadersTooLarge,
            _ => Code::BadRequest,
        };
        let refused = Refused::new(code, "this is no HTTP/1.1 request");
        refused.into_bytes()
    }
}

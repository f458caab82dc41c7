use crate::{
    EngineSettings, Fault,
    announcer::{Announcer, SHUTDOWN_TIMEOUT, lifetime, new_epoch},
    drain::drain,
    generate::{CompletionBody, EventSettings, TokenStream},
    request_log::RequestLog,
    store::Store,
};
use bytes::Bytes;
use futures_lite::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header};
use parking_lot::Mutex;
use sequoiawing_fleet::{Order, OrderKind, OrderReply, UpstreamKind, UpstreamState};
use sequoiawing_http::{
    Body, BodyError, Handler, HttpListener, HttpSettings, from_bytes, from_stream,
};
use sequoiawing_runtime::{Shutdown, Task, Watch, sleep, spawn, timeout};
use sequoiawing_types::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

const ORDER_PATH: &str = "/sequoiawing/orders";
const ATTEMPT_HEADER: &str = "sequoiawing-attempt";

const OFFSET_HEADER: &str = "sequoiawing-resume-offset";
const RAN_HEADER: &str = "sequoiawing-ran";

/// How long an aborted response waits after its first half, so that the half is
/// sent.
pub(crate) const ABORT_DELAY: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Inner {
    sequence: u64,
    fence: u64,
    leaving: bool,
    fault: Fault,
    running: u32,
    started_requests: u64,
    loaded: BTreeMap<Name, u64>,
    adapters: BTreeSet<Name>,
    /// The adapters that are dropped once their requests have ended.
    leaving_adapters: BTreeSet<Name>,
    loading: BTreeMap<Name, u64>,
    failed: BTreeSet<Name>,
    cached: BTreeSet<Name>,
    /// The models and adapters that were used since the last announcement.
    active: BTreeSet<Name>,
    /// The number of running requests, by model and adapter.
    in_use: BTreeMap<Name, u32>,
    /// The fencing tokens and IDs of the orders so far, for deduplication.
    handled_orders: BTreeSet<(u64, u64)>,
    started_loads: u64,
}

struct Shared {
    changes: Watch<u64>,
    settings: EngineSettings,
    address: SocketAddr,
    epoch: u64,
    store: Store,
    request_log: RequestLog,
    inner: Mutex<Inner>,
}

/// A simulated engine, which loads models and streams generated tokens.
pub struct Engine {
    shared: Arc<Shared>,
    shutdown: Shutdown,
    listener_task: Task<usize>,
}

impl Engine {
    /// Starts the listener and the announcements.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let shutdown = Shutdown::new();
        let listener = HttpListener::bind(settings.listen, HttpSettings::default()).await?;
        let address = listener.address()?;
        let changes = Watch::default();
        let announcer = Announcer {
            routers: settings.routers.clone(),
            credential: settings.credential.clone(),
            interval: Duration::from_millis(settings.interval),
            changes: changes.clone(),
        };
        let store = Store::new(settings.store);
        let shared = Arc::new(Shared {
            changes,
            settings,
            address,
            epoch: new_epoch(),
            store,
            request_log: RequestLog::default(),
            inner: Mutex::default(),
        });
        let handler = Arc::new(EngineHandler(shared.clone()));
        let listener_task = spawn(listener.serve(handler, shutdown.clone()));
        let state_source = shared.clone();
        let describe = move || state_source.describe();
        spawn(announcer.run(describe, shutdown.clone())).detach();
        Ok(Self {
            shared,
            shutdown,
            listener_task,
        })
    }

    /// Returns the address for requests.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the number of requests that were started.
    pub fn started_requests(&self) -> u64 {
        self.shared.inner.lock().started_requests
    }

    /// Returns the number of model loads that were started.
    pub fn started_loads(&self) -> u64 {
        self.shared.inner.lock().started_loads
    }

    /// Returns the names of the loaded models.
    pub fn loaded_models(&self) -> Vec<Name> {
        self.shared.inner.lock().loaded.keys().cloned().collect()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.shared.inner.lock().running
    }

    /// Returns the most recent requests with headers and bodies, if the `record`
    /// setting is on.
    pub fn recorded_requests(&self) -> Vec<String> {
        self.shared.request_log.list()
    }

    /// Injects a fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.inner.lock().fault = fault;
    }

    /// Announces that the upstream is leaving and wants no new requests.
    pub fn leave(&self) {
        self.shared.inner.lock().leaving = true;
        self.shared.notify_announcer();
    }

    /// Shuts down gracefully: announces that the upstream is leaving, keeps
    /// serving until all routers know, and waits for running requests.
    ///
    /// Returns the number of requests that were still running when the drain
    /// timed out.
    pub async fn drain(self) -> u32 {
        self.leave();
        let settings = &self.shared.settings;
        let running = || self.running();
        let abandoned = drain("engine", settings.farewell, settings.drain, running).await;
        self.shutdown.start();
        timeout(SHUTDOWN_TIMEOUT, self.listener_task).await;
        abandoned
    }

    /// Stops serving and announcing.
    pub fn stop(&self) {
        self.shutdown.start();
    }
}

impl Shared {
    /// Triggers an announcement without waiting for the next interval.
    fn notify_announcer(&self) {
        self.changes.set(self.changes.get().wrapping_add(1));
    }

    fn describe(&self) -> UpstreamState {
        let settings = &self.settings;
        let mut inner = self.inner.lock();
        inner.sequence += 1;
        let mut active = std::mem::take(&mut inner.active);
        active.extend(inner.in_use.keys().cloned());
        UpstreamState {
            name: settings.name.clone(),
            pool: settings.pool.clone(),
            centre: settings.centre.clone(),
            kind: UpstreamKind::Runner,
            address: Some(self.address),
            epoch: self.epoch,
            sequence: inner.sequence,
            lifetime: lifetime(settings.interval),
            leaving: inner.leaving,
            fenced: settings.fenced,
            fence: inner.fence,
            memory: settings.memory,
            slots: settings.slots,
            running: inner.running,
            loaded: inner.loaded.keys().cloned().collect(),
            adapters: inner.adapters.iter().cloned().collect(),
            active: active.into_iter().collect(),
            loading: inner.loading.keys().cloned().collect(),
            failed: inner.failed.iter().cloned().collect(),
            disk: Vec::new(),
            cached: inner.cached.iter().cloned().collect(),
            ..UpstreamState::default()
        }
    }

    fn apply_order(self: &Arc<Self>, order: Order) -> OrderReply {
        let mut inner = self.inner.lock();
        if self.settings.fenced && order.fence < inner.fence {
            let fence = inner.fence;
            return OrderReply::Outdated { fence };
        }
        if order.epoch != self.epoch {
            return rejected("the order is for another start of this upstream");
        }
        inner.fence = inner.fence.max(order.fence);
        if !inner.handled_orders.insert((order.fence, order.id)) {
            return OrderReply::Accepted;
        }
        match order.kind {
            OrderKind::Load { model, memory } => self.load(&mut inner, model, memory),
            OrderKind::LoadAdapter { adapter } => self.load_adapter(&mut inner, adapter),
            OrderKind::Unload { model } => {
                inner.loaded.remove(&model);
                inner.cached.insert(model.clone());
                let prefix = format!("{model}:");
                inner.adapters.retain(|a| !a.as_str().starts_with(&prefix));
                inner
                    .leaving_adapters
                    .retain(|a| !a.as_str().starts_with(&prefix));
                OrderReply::Accepted
            }
            OrderKind::UnloadAdapter { adapter } => {
                if inner.in_use.contains_key(&adapter) {
                    inner.leaving_adapters.insert(adapter);
                } else {
                    inner.adapters.remove(&adapter);
                }
                OrderReply::Accepted
            }
            OrderKind::Fence => OrderReply::Accepted,
        }
    }

    fn load(self: &Arc<Self>, inner: &mut Inner, model: Name, memory: u64) -> OrderReply {
        if inner.loaded.contains_key(&model) || inner.loading.contains_key(&model) {
            return OrderReply::Accepted;
        }
        let reserved: u64 = inner.loaded.values().chain(inner.loading.values()).sum();
        if reserved + memory > self.settings.memory {
            return rejected("the memory does not suffice");
        }
        inner.failed.remove(&model);
        inner.loading.insert(model.clone(), memory);
        inner.started_loads += 1;
        let is_failing = inner.fault == Fault::FailLoads;
        let shared = self.clone();
        spawn(async move {
            shared
                .store
                .load(Duration::from_millis(shared.settings.load))
                .await;
            let mut inner = shared.inner.lock();
            inner.loading.remove(&model);
            if is_failing {
                inner.failed.insert(model);
            } else {
                inner.loaded.insert(model, memory);
            }
            drop(inner);
            shared.notify_announcer();
        })
        .detach();
        OrderReply::Accepted
    }

    fn load_adapter(self: &Arc<Self>, inner: &mut Inner, adapter: Name) -> OrderReply {
        let base = adapter.as_str().split(':').next().unwrap_or_default();
        if !inner.loaded.contains_key(base) {
            return rejected("the adapter's model is not loaded");
        }
        let shared = self.clone();
        spawn(async move {
            sleep(Duration::from_millis(shared.settings.adapter)).await;
            let mut inner = shared.inner.lock();
            inner.leaving_adapters.remove(&adapter);
            inner.adapters.insert(adapter);
            drop(inner);
            shared.notify_announcer();
        })
        .detach();
        OrderReply::Accepted
    }

    /// Starts a request. Returns `None` if its model or adapter is not loaded.
    fn begin_request(self: &Arc<Self>, model: &str) -> Option<RunningRequest> {
        let mut inner = self.inner.lock();
        let base = model.split(':').next().unwrap_or_default();
        let is_present = inner.adapters.contains(model) && !inner.leaving_adapters.contains(model);
        let has_adapter = !model.contains(':') || is_present;
        if !inner.loaded.contains_key(base) || !has_adapter {
            return None;
        }
        let names = BTreeSet::from([Name::from(base), Name::from(model)]);
        for name in &names {
            inner.active.insert(name.clone());
            *inner.in_use.entry(name.clone()).or_default() += 1;
        }
        inner.running += 1;
        inner.started_requests += 1;
        let shared = self.clone();
        Some(RunningRequest { shared, names })
    }
}

fn rejected(problem: &str) -> OrderReply {
    let problem = problem.to_owned();
    OrderReply::Rejected { problem }
}

/// Counts a request as running until its response ends.
struct RunningRequest {
    shared: Arc<Shared>,
    names: BTreeSet<Name>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = self.shared.inner.lock();
        inner.running -= 1;
        for name in &self.names {
            if let Some(count) = inner.in_use.get_mut(name) {
                *count -= 1;
            }
        }
        inner.in_use.retain(|_, count| *count > 0);
        let Inner {
            in_use,
            adapters,
            leaving_adapters,
            ..
        } = &mut *inner;
        let mut has_dropped = false;
        leaving_adapters.retain(|adapter| {
            let is_used = in_use.contains_key(adapter);
            has_dropped |= !is_used && adapters.remove(adapter);
            is_used
        });
        drop(inner);
        if has_dropped {
            self.shared.notify_announcer();
        }
    }
}

struct EngineHandler(Arc<Shared>);

impl EngineHandler {
    async fn handle_order(&self, request: Request<Incoming>) -> Response<Body> {
        let expected = format!("Bearer {}", self.0.settings.credential);
        let authorization = request.headers().get(header::AUTHORIZATION);
        if authorization.is_none_or(|v| v.as_bytes() != expected.as_bytes()) {
            return respond(StatusCode::UNAUTHORIZED, "the credential is wrong");
        }
        let Ok(body) = request.into_body().collect().await else {
            return respond(StatusCode::BAD_REQUEST, "the order broke off");
        };
        match serde_json::from_slice::<Order>(&body.to_bytes()) {
            Ok(order) => {
                let reply = self.0.apply_order(order);
                let json = serde_json::to_string(&reply).unwrap_or_default();
                respond(StatusCode::OK, &json)
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    async fn handle_completion(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return respond(StatusCode::BAD_REQUEST, "the request broke off");
        };
        let body = body.to_bytes();
        if self.0.settings.record {
            self.0
                .request_log
                .record(&parts.method, &parts.uri, &parts.headers, &body);
        }
        let Ok(completion) = serde_json::from_slice::<CompletionBody>(&body) else {
            return respond(StatusCode::BAD_REQUEST, "the request is unreadable");
        };
        let fault = self.0.inner.lock().fault;
        let running = match fault {
            Fault::Refuse => None,
            _ => self.0.begin_request(&completion.model),
        };
        let mut response = match running {
            Some(running) => {
                let offset = resume_offset(&parts.headers);
                self.generate_response(&completion, running, fault, offset)
                    .await
            }
            None => not_run_response("the model is not loaded"),
        };
        echo_headers(&parts.headers, &mut response, fault);
        response
    }

    async fn generate_response(
        &self,
        completion: &CompletionBody,
        running: RunningRequest,
        fault: Fault,
        offset: u64,
    ) -> Response<Body> {
        if fault == Fault::Freeze {
            std::future::pending::<()>().await;
        }
        let settings = &self.0.settings;
        let gap = Duration::from_micros(settings.gap);
        sleep(Duration::from_micros(settings.first)).await;
        if fault == Fault::Fail {
            return respond(StatusCode::INTERNAL_SERVER_ERROR, "the engine failed");
        }
        if completion.stream {
            let padding = settings.padding;
            let events = EventSettings { gap, padding };
            return TokenStream::new(completion, offset, events, fault, running).into_response();
        }
        let rest = u32::try_from(completion.tokens().saturating_sub(1)).unwrap_or(u32::MAX);
        sleep(gap * rest).await;
        drop(running);
        full_or_partial(&completion.complete_response(), fault)
    }
}

/// Returns the position of the first event that a request asks for.
fn resume_offset(headers: &HeaderMap) -> u64 {
    let offset = headers.get(OFFSET_HEADER).and_then(|v| v.to_str().ok());
    offset.and_then(|v| v.parse().ok()).unwrap_or(0)
}

/// Copies the attempt ID and the stream offset from a request to its response.
pub(crate) fn echo_headers(request: &HeaderMap, response: &mut Response<Body>, fault: Fault) {
    for name in [ATTEMPT_HEADER, OFFSET_HEADER] {
        if let Some(value) = request.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    if fault == Fault::WrongAttempt {
        let value = header::HeaderValue::from_static("another");
        response.headers_mut().insert(ATTEMPT_HEADER, value);
    }
}

/// Returns a complete response, or the first half of one if the fault demands
/// it.
pub(crate) fn full_or_partial(text: &str, fault: Fault) -> Response<Body> {
    if !matches!(fault, Fault::Abort | Fault::Stall) {
        return respond(StatusCode::OK, text);
    }
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let rest = async move {
        if fault == Fault::Stall {
            std::future::pending::<()>().await;
        }
        sleep(ABORT_DELAY).await;
        Err::<Bytes, BodyError>("response aborted by an injected fault".into())
    };
    let parts = stream::once(Ok(half)).chain(stream::once_future(rest));
    let mut response = Response::new(from_stream(parts));
    let length = header::HeaderValue::from(text.len());
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}

/// Returns the response to a request that did not run.
pub(crate) fn not_run_response(problem: &str) -> Response<Body> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, problem);
    let value = header::HeaderValue::from_static("no");
    response.headers_mut().insert(RAN_HEADER, value);
    response
}

pub(crate) fn respond(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(from_bytes(text.to_owned()));
    *response.status_mut() = status;
    response
}

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            ORDER_PATH => self.handle_order(request).await,
            _ => self.handle_completion(request).await,
        }
    }
}

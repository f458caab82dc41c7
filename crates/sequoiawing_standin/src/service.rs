use crate::{
    Fault, ServiceSettings,
    announcer::{Announcer, SHUTDOWN_TIMEOUT, lifetime, new_epoch},
    drain::drain,
    engine::{echo_headers, full_or_partial, not_run_response, respond},
    journal::Journal,
    raw::serve_faulty,
    request_log::RequestLog,
};
use async_net::TcpStream;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use sequoiawing_fleet::{UpstreamKind, UpstreamState};
use sequoiawing_http::{Body, Handler, HttpListener, HttpSettings};
use sequoiawing_runtime::{Shutdown, Task, Watch, sleep, spawn, timeout};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

#[derive(Default)]
struct Inner {
    sequence: u64,
    running: u32,
    leaving: bool,
    fault: Fault,
    calls: Vec<String>,
    received_calls: u64,
}

struct Shared {
    changes: Watch<u64>,
    settings: ServiceSettings,
    address: SocketAddr,
    epoch: u64,
    request_log: RequestLog,
    journal: Journal,
    inner: Mutex<Inner>,
    shutdown: Shutdown,
}

/// A simulated plain service, which records every call that it ran.
pub struct Service {
    shared: Arc<Shared>,
    shutdown: Shutdown,
    listener_task: Task<usize>,
}

impl Service {
    /// Starts the listener and the announcements.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(settings: ServiceSettings) -> io::Result<Self> {
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
        let journal = Journal::new(settings.journal.clone());
        let shared = Arc::new(Shared {
            changes,
            settings,
            address,
            epoch: new_epoch(),
            request_log: RequestLog::default(),
            journal,
            inner: Mutex::default(),
            shutdown: shutdown.clone(),
        });
        let handler = Arc::new(ServiceHandler(shared.clone()));
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

    /// Returns the bodies of the calls that ran, in order.
    pub fn calls(&self) -> Vec<String> {
        self.shared.inner.lock().calls.clone()
    }

    /// Returns the number of received calls, whether they ran or not.
    pub fn received_calls(&self) -> u64 {
        self.shared.inner.lock().received_calls
    }

    /// Returns the number of running calls.
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
        self.shared.journal.append("leave");
        self.shared.notify_announcer();
    }

    /// Shuts down gracefully: announces that the upstream is leaving, keeps
    /// serving until all routers know, and waits for running calls.
    ///
    /// Returns the number of calls that were still running when the drain timed
    /// out.
    pub async fn drain(self) -> u32 {
        self.leave();
        let settings = &self.shared.settings;
        let running = || self.running();
        let abandoned = drain("service", settings.farewell, settings.drain, running).await;
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
        let mut inner = self.inner.lock();
        inner.sequence += 1;
        UpstreamState {
            name: self.settings.name.clone(),
            pool: self.settings.pool.clone(),
            centre: self.settings.centre.clone(),
            kind: UpstreamKind::Service,
            address: Some(self.address),
            epoch: self.epoch,
            sequence: inner.sequence,
            lifetime: lifetime(self.settings.interval),
            leaving: inner.leaving,
            slots: self.settings.slots,
            running: inner.running,
            ..UpstreamState::default()
        }
    }
}

struct ServiceHandler(Arc<Shared>);

impl ServiceHandler {
    async fn run(&self, body: &str, fault: Fault) -> Response<Body> {
        let running = RunningCall::start(self.0.clone());
        self.0.inner.lock().calls.push(body.to_owned());
        self.0.journal.append(&format!("run {body}"));
        if fault == Fault::Freeze {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_micros(self.0.settings.work)).await;
        drop(running);
        match fault {
            Fault::Fail => respond(StatusCode::INTERNAL_SERVER_ERROR, "the service failed"),
            Fault::Crash => {
                self.0.shutdown.start();
                full_or_partial(&format!("done: {body}"), Fault::Abort)
            }
            _ => full_or_partial(&format!("done: {body}"), fault),
        }
    }
}

/// Counts a call as running until it is dropped.
struct RunningCall(Arc<Shared>);

impl RunningCall {
    fn start(shared: Arc<Shared>) -> Self {
        shared.inner.lock().running += 1;
        Self(shared)
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
    }
}

impl Handler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
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
        let body = String::from_utf8_lossy(&body).into_owned();
        let fault = {
            let mut inner = self.0.inner.lock();
            inner.received_calls += 1;
            inner.fault
        };
        let mut response = if fault == Fault::Refuse {
            not_run_response("the service takes no calls")
        } else {
            self.run(&body, fault).await
        };
        echo_headers(&parts.headers, &mut response, fault);
        response
    }

    async fn accept(&self, stream: TcpStream) -> Option<TcpStream> {
        let fault = self.0.inner.lock().fault;
        if !fault.is_raw() {
            return Some(stream);
        }
        serve_faulty(stream, fault, |request| {
            self.0.inner.lock().calls.push(request.body.clone());
            self.0
                .request_log
                .record_text(format!("{}{}", request.head, request.body));
        })
        .await;
        None
    }
}

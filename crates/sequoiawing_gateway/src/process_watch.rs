//! Connections that show whether an upstream's process lives on.
//!
//! See [docs/design/answer-ends.md](../../../docs/design/answer-ends.md).

use crate::{Dialect, GatewayState, slots::Slot};
use futures::lock::Mutex as AsyncMutex;
use hyper::{Request, header::HOST};
use parking_lot::Mutex;
use sequoiawing_http::{Body, Connection, Connector, empty};
use sequoiawing_policy::serving::{FramingHistory, IdleTolerance, ProcessChain};
use sequoiawing_runtime::{Clock, sleep, spawn};
use sequoiawing_types::{Name, Time};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Instant,
};

/// The processes that are observed, and the pools for which that is needed.
#[derive(Default)]
pub(crate) struct ProcessWatches {
    addresses: Mutex<HashMap<SocketAddr, Weak<ProcessWatch>>>,
    framings: Mutex<HashMap<Name, FramingHistory>>,
    /// By pool, how long connections without requests stay open.
    tolerances: Mutex<HashMap<Name, SharedTolerance>>,
}

type SharedTolerance = Arc<Mutex<IdleTolerance>>;

/// The observation of the process at one address, for as long as a request needs it.
struct ProcessWatch {
    address: SocketAddr,
    connector: Arc<dyn Connector>,
    dialect: Arc<dyn Dialect>,
    tolerance: SharedTolerance,
    clock: Clock,
    /// Held while a connection is opened or used.
    turn: AsyncMutex<()>,
    observed: Mutex<Observed>,
}

/// The connection on which nothing was sent, and the process that accepted it.
#[derive(Default)]
struct Observed {
    connection: Option<AgingConnection>,
    /// Left open to learn how long that is possible.
    probe: Option<AgingConnection>,
    chain: ProcessChain,
    /// How often a request could not connect.
    failures: u64,
    /// How often the process was asked for a response.
    checks: u64,
    /// Whether the last check got a response.
    has_answered: bool,
}

/// Shows whether the process that an upstream had at a request's start still runs.
pub(crate) struct ProcessEvidence {
    watch: Arc<ProcessWatch>,
    number: u64,
}

impl Observed {
    fn is_open(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|c| c.connection.is_silent())
    }
}

/// A connection without requests, and when it was opened.
struct AgingConnection {
    connection: Connection,
    opened: Instant,
}

impl AgingConnection {
    fn new(connection: Connection) -> Self {
        Self {
            connection,
            opened: Instant::now(),
        }
    }

    /// Records whether the connection is still open; returns whether it is.
    fn record(&self, now: Time, tolerance: &SharedTolerance) -> bool {
        let is_open = self.connection.is_silent();
        let age = self.opened.elapsed();
        let mut tolerance = tolerance.lock();
        if is_open {
            tolerance.record_open(age);
        } else {
            tolerance.record_closed(now, age);
        }
        is_open
    }
}

impl ProcessEvidence {
    /// Returns whether the process has lived from the request's start until after this call
    /// began.
    pub(crate) async fn has_lived(&self) -> bool {
        let watch = &self.watch;
        let checks = watch.observed.lock().checks;
        let _turn = watch.turn.lock().await;
        // Answers that end at one time need one check.
        if watch.observed.lock().checks == checks {
            let is_shared = Arc::strong_count(watch) > 1;
            Box::pin(watch.check(is_shared)).await;
        }
        let observed = watch.observed.lock();
        observed.chain.has_lived(self.number, observed.has_answered)
    }
}

impl ProcessWatch {
    /// Opens the connection unless it is open; returns the number of the process.
    ///
    /// Requests that waited for the connect of another one, which failed, go on without
    /// evidence: the time-outs of a lost upstream do not add up, and the connect of the
    /// request itself may find a tunnel that is known by then.
    async fn observe(&self) -> io::Result<Option<u64>> {
        let failures = match self.current() {
            Ok(number) => return Ok(Some(number)),
            Err(failures) => failures,
        };
        let _turn = self.turn.lock().await;
        match self.current() {
            Ok(number) => return Ok(Some(number)),
            Err(now) if now != failures => return Ok(None),
            Err(_) => {}
        }
        let connected = self.connector.connect(self.address).await;
        let mut observed = self.observed.lock();
        match connected {
            Ok(connection) => {
                observed.connection = Some(AgingConnection::new(connection));
                observed.chain.begin();
                Ok(Some(observed.chain.number()))
            }
            Err(error) => {
                observed.failures += 1;
                Err(error)
            }
        }
    }

    /// Returns the number of the process.
    ///
    /// # Errors
    ///
    /// Returns the number of failed connects if no connection is open.
    fn current(&self) -> Result<u64, u64> {
        let observed = self.observed.lock();
        if observed.is_open() {
            Ok(observed.chain.number())
        } else {
            Err(observed.failures)
        }
    }

    /// Asks the process for a response, which uses up the connection. Another one is opened
    /// before if `is_replaced`, so that the observation of the process goes on.
    async fn check(&self, is_replaced: bool) {
        let next = if is_replaced {
            self.connector.connect(self.address).await.ok()
        } else {
            None
        };
        let former = {
            let mut observed = self.observed.lock();
            observed.checks += 1;
            observed.connection.take()
        };
        let has_answered = match former {
            Some(former) if former.record(self.now(), &self.tolerance) => {
                let request = self.liveness_request();
                former.connection.responds(request).await
            }
            Some(_) | None => false,
        };
        let mut observed = self.observed.lock();
        observed.has_answered = has_answered;
        observed.chain.replace(has_answered);
        observed.connection = next.map(AgingConnection::new);
    }

    /// Learns how long a connection without requests stays open.
    async fn learn_tolerance(&self) {
        let probe = self.observed.lock().probe.take();
        let now = self.now();
        let mut probe = probe.filter(|probe| probe.record(now, &self.tolerance));
        if !self.tolerance.lock().is_unknown(now) {
            return;
        }
        if probe.is_none() {
            let connected = self.connector.connect(self.address).await.ok();
            probe = connected.map(AgingConnection::new);
        }
        self.observed.lock().probe = probe;
    }

    fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    fn liveness_request(&self) -> Request<Body> {
        let mut request = Request::new(empty());
        let headers = request.headers_mut();
        let host = self.address.to_string().parse();
        headers.extend(host.ok().map(|host| (HOST, host)));
        self.dialect.add_liveness_headers(headers);
        request
    }
}

/// Replaces the connection of a watch until no request needs it.
async fn keep_open(watch: Weak<ProcessWatch>) {
    loop {
        let interval = watch.upgrade().map(|w| w.tolerance.lock().interval());
        let Some(interval) = interval else {
            return;
        };
        sleep(interval).await;
        let Some(watch) = watch.upgrade() else {
            return;
        };
        let turn = watch.turn.lock().await;
        watch.check(true).await;
        drop(turn);
        watch.learn_tolerance().await;
    }
}

impl ProcessWatches {
    /// Returns the watch of an address.
    fn watch(&self, pool: &Name, address: SocketAddr, state: &GatewayState) -> Arc<ProcessWatch> {
        let mut addresses = self.addresses.lock();
        if let Some(watch) = addresses.get(&address).and_then(Weak::upgrade) {
            return watch;
        }
        let watch = Arc::new(ProcessWatch {
            address,
            connector: state.connector.clone(),
            dialect: state.dialect.clone(),
            clock: state.clock(),
            tolerance: self
                .tolerances
                .lock()
                .entry(pool.clone())
                .or_default()
                .clone(),
            turn: AsyncMutex::default(),
            observed: Mutex::default(),
        });
        addresses.retain(|_, known| known.strong_count() > 0);
        addresses.insert(address, Arc::downgrade(&watch));
        drop(addresses);
        spawn(keep_open(Arc::downgrade(&watch))).detach();
        watch
    }

    /// Records whether an answer of a pool had a length or chunks.
    pub(crate) fn record(&self, pool: &Name, is_framed: bool) {
        let mut framings = self.framings.lock();
        framings.entry(pool.clone()).or_default().record(is_framed);
    }

    fn needs_evidence(&self, pool: &Name) -> bool {
        let framings = self.framings.lock();
        framings
            .get(pool)
            .copied()
            .unwrap_or_default()
            .needs_evidence()
    }
}

impl GatewayState {
    /// Begins to observe the process at an address, if answers of the pool may end with
    /// their connection. Called before the request is sent: the process that answers is
    /// then the one that is observed.
    ///
    /// # Errors
    ///
    /// Returns the error of the connect.
    pub(crate) async fn observe_process(
        &self,
        pool: &Name,
        address: SocketAddr,
    ) -> io::Result<Option<ProcessEvidence>> {
        if !self.processes.needs_evidence(pool) {
            return Ok(None);
        }
        let watch = self.processes.watch(pool, address, self);
        let number = watch.observe().await?;
        Ok(number.map(|number| ProcessEvidence { watch, number }))
    }

    /// Records whether an answer had a length or chunks. The first of a pool without them is
    /// observed from its head on: a process that ended before is not started again within
    /// the moment between the head and this connect. If this gateway stood still, that
    /// moment may be long.
    pub(crate) async fn record_framing(&self, pool: &Name, slot: &mut Slot, is_framed: bool) {
        self.processes.record(pool, is_framed);
        if is_framed || slot.process.is_some() {
            return;
        }
        let observed = self.observe_process(pool, slot.assignment.address).await;
        let now = self.now();
        let has_stood_still = self.standstills.lock().has_stood_still(now, slot.assigned);
        slot.process = observed.unwrap_or_default().filter(|_| !has_stood_still);
    }
}

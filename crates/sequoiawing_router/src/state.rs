#[cfg(test)]
mod tests;

use crate::{
    Limiter, RouterSettings,
    controllers::{CentreBudgets, LeaderDemands, Outbox},
    key_grace::{KeyGrace, unix_micros, unix_millis},
    limiter::SharedLimiter,
    open_requests::OpenRequests,
    peers::Peers,
    propose::Preferred,
    retry::RetryBudget,
    shard::PoolShard,
};
use async_channel::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use sequoiawing_cell::{Cell, CellSettings, Lease};
use sequoiawing_fleet::{Demand, Publisher, Registry, UpstreamState};
use sequoiawing_http::Client;
use sequoiawing_link::{ControlClient, RouterStatus, Secret, Stub, Translations};
use sequoiawing_policy::{DispatchEvent, DispatchSettings};
use sequoiawing_runtime::{Clock, Watch};
use sequoiawing_tables::{KeyId, Revision, Tables};
use sequoiawing_telemetry::Meters;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// How long connecting to an upstream may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The most demands that wait for the cell leader.
const DEMAND_QUEUE: usize = 4_096;

/// Ends when a key has been withdrawn.
pub(crate) type Withdrawn = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What the filters and controllers of one router share.
pub struct RouterState {
    /// The settings.
    pub settings: RouterSettings,
    /// The tables in force; their revision never goes back.
    pub tables: Watch<Arc<Tables>>,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) meters: Option<Arc<Meters>>,
    pub(crate) limiter: Arc<dyn Limiter>,
    pub(crate) purses: Arc<SharedLimiter>,
    pub(crate) budgets: CentreBudgets,
    pub(crate) control: Vec<Stub<ControlClient>>,
    pub(crate) preferred: Preferred,
    pub(crate) peers: Peers,
    pub(crate) translations: Translations,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) outbox: Mutex<Outbox>,
    /// What the other data centres were told of this one.
    pub(crate) publisher: Mutex<Publisher>,
    /// When other routers of the data centre were heard last.
    pub(crate) heard: Mutex<BTreeMap<Name, Time>>,
    /// Grows with each start of the process.
    pub(crate) start: u64,
    pub(crate) withdrawn: Watch<Arc<BTreeSet<KeyId>>>,
    pub(crate) grace: KeyGrace,
    withdrawing: Mutex<()>,
    pub(crate) demands: Receiver<Demand>,
    pub(crate) draining: AtomicBool,
    pub(crate) open: OpenRequests,
    pub(crate) leader: RwLock<Option<Name>>,
    pub(crate) cell: Mutex<Cell>,
    pub(crate) placement: Mutex<Option<LeaderDemands>>,
    link: OnceLock<SocketAddr>,
    confirmed: Mutex<Option<Time>>,
    shards: RwLock<BTreeMap<Name, Arc<PoolShard>>>,
    demand_sender: Sender<Demand>,
    next_request: AtomicU64,
    retries: Mutex<RetryBudget>,
}

impl RouterState {
    pub(crate) fn new(settings: RouterSettings) -> Self {
        let secret = Secret::from(settings.secret.as_str());
        let control = settings.controllers.iter();
        let translations = Translations::new(&settings.translations);
        let control = control.map(|a| Stub::new(translations.translate(*a), secret.clone()));
        let control = control.collect();
        let peers = Peers::new(
            settings.host.clone(),
            secret,
            translations.clone(),
            &settings.peers,
        );
        let cell = Cell::new(
            settings.host.clone(),
            CellSettings::default(),
            Time::ZERO,
            unix_millis(),
        );
        let meters = Meters::new("sequoiawing-router", &settings.host, &settings.centre);
        let purses = Arc::new(SharedLimiter::new(unix_millis()));
        let publisher = Publisher::new(settings.centre.clone());
        let (demand_sender, demands) = async_channel::bounded(DEMAND_QUEUE);
        Self {
            settings,
            tables: Watch::new(Arc::default()),
            clock: Clock::start(),
            client: Client::new(CONNECT_LIMIT),
            meters: meters.ok().map(Arc::new),
            limiter: purses.clone(),
            purses,
            budgets: CentreBudgets::default(),
            control,
            preferred: Preferred::default(),
            peers,
            translations,
            registry: Mutex::default(),
            outbox: Mutex::default(),
            publisher: Mutex::new(publisher),
            heard: Mutex::default(),
            start: unix_micros(),
            withdrawn: Watch::new(Arc::default()),
            grace: KeyGrace::default(),
            withdrawing: Mutex::new(()),
            demands,
            draining: AtomicBool::new(false),
            open: OpenRequests::default(),
            leader: RwLock::new(None),
            cell: Mutex::new(cell),
            placement: Mutex::new(None),
            link: OnceLock::new(),
            confirmed: Mutex::new(None),
            shards: RwLock::default(),
            demand_sender,
            next_request: AtomicU64::new(1),
            retries: Mutex::default(),
        }
    }

    /// Returns the time since the router started.
    pub fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Notes that a customer's request is sent to a pool for the first time.
    pub(crate) fn note_attempt(&self, customer: &Name, pool: &Name) {
        let mut retries = self.retries.lock();
        retries.record_attempt(self.now(), customer, pool);
    }

    /// Takes one retry out of the customer's budget for the pool.
    pub(crate) fn take_retry(&self, customer: &Name, pool: &Name) -> bool {
        let mut retries = self.retries.lock();
        retries.try_retry(self.now(), customer, pool)
    }

    /// Reports whether keys are honoured though they may have been withdrawn
    /// where this router cannot hear it.
    pub(crate) fn confirms_keys(&self) -> bool {
        let grace = Duration::from_secs(self.settings.key_grace);
        self.grace.accepts_keys(unix_millis(), grace)
    }

    /// Waits until a key is withdrawn.
    pub(crate) fn wait_withdrawn(&self, key: KeyId) -> Withdrawn {
        let keys = self.withdrawn.clone();
        Box::pin(async move {
            keys.wait_until(|withdrawn| withdrawn.contains(&key)).await;
        })
    }

    /// Draws the identifier of a request.
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Puts tables in force, unless newer ones are.
    pub(crate) fn apply_tables(&self, tables: Arc<Tables>) -> bool {
        if tables.revision <= self.tables.get().revision {
            return false;
        }
        self.share_withdrawn(&tables);
        log::info!(target: "router", "Tables {} are in force.", tables.revision);
        self.peers.refresh(&tables);
        self.tables.set(tables);
        true
    }

    /// Notes that a source had nothing newer than `revision`, `age` before it
    /// answered, which it did `since` ago at most.
    ///
    /// Two routers that are cut off together and ask each other must not make
    /// each other's tables younger.
    pub(crate) fn confirm_tables(&self, revision: Revision, age: Duration, since: Duration) {
        if revision < self.tables.get().revision {
            return;
        }
        let age = age + since;
        let at = Time::ZERO + self.clock.elapsed().saturating_sub(age);
        let millis = u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX);
        self.grace.confirm(unix_millis().saturating_sub(millis));
        let mut confirmed = self.confirmed.lock();
        *confirmed = Some(confirmed.map_or(at, |known| known.max(at)));
    }

    /// Returns how long ago the tables were last known to be the newest.
    pub(crate) fn tables_age(&self) -> Duration {
        let confirmed = self.confirmed.lock().unwrap_or(Time::ZERO);
        self.now().since(confirmed)
    }

    /// Returns the lease by which this host leads its data centre, if it does.
    ///
    /// Ask immediately before each order, since a process that was stopped
    /// finds out here that it does not lead any more.
    pub(crate) fn lease(&self) -> Option<Lease> {
        self.cell.lock().lease(self.now())
    }

    /// Returns where other processes reach this router, once it listens.
    pub(crate) fn link(&self) -> Option<SocketAddr> {
        self.link.get().copied()
    }

    pub(crate) fn set_link(&self, address: SocketAddr) {
        self.link.set(address).ok();
    }

    /// Takes keys out of force for good and returns how many are.
    pub(crate) fn withdraw_keys<I>(&self, keys: I) -> usize
    where
        I: Iterator<Item = KeyId>,
    {
        let _guard = self.withdrawing.lock();
        let known = self.withdrawn.get();
        let fresh: Vec<KeyId> = keys.filter(|k| !known.contains(k)).collect();
        if fresh.is_empty() {
            return known.len();
        }
        let mut all = BTreeSet::clone(&known);
        all.extend(fresh);
        let count = all.len();
        self.withdrawn.set(Arc::new(all));
        count
    }

    /// Takes the keys out of force that the tables name, and keeps them once
    /// when no others are known.
    fn share_withdrawn(&self, tables: &Tables) {
        let named = tables.withdrawn.to_arc();
        {
            let _guard = self.withdrawing.lock();
            let known = self.withdrawn.get();
            if Arc::ptr_eq(&known, &named) {
                return;
            }
            if known.is_subset(&named) {
                self.withdrawn.set(named);
                return;
            }
        }
        self.withdraw_keys(named.iter().cloned());
    }

    /// Forgets the upstreams whose announcement has run out.
    pub(crate) fn expire(&self) {
        let expired = self.registry.lock().expire(self.now());
        for state in expired {
            let upstream = &state.name;
            log::warn!(target: "router", "Upstream {upstream} stopped announcing itself.");
            self.forget(upstream);
            self.outbox.lock().lose(upstream);
        }
        for shard in self.all_shards() {
            shard.event(DispatchEvent::Tick);
        }
    }

    /// Returns the shards of all pools.
    pub(crate) fn all_shards(&self) -> Vec<Arc<PoolShard>> {
        self.shards.read().values().cloned().collect()
    }

    /// Returns the shard of a pool.
    pub(crate) fn shard(&self, pool: &Name) -> Arc<PoolShard> {
        if let Some(shard) = self.shards.read().get(pool) {
            return shard.clone();
        }
        let make = || {
            let settings = DispatchSettings {
                host: self.settings.host.clone(),
                centre: self.settings.centre.clone(),
                pool: pool.clone(),
                queue_limit: self.settings.queue,
                ..DispatchSettings::default()
            };
            Arc::new(PoolShard::new(
                settings,
                self.clock,
                self.demand_sender.clone(),
            ))
        };
        let mut shards = self.shards.write();
        shards.entry(pool.clone()).or_insert_with(make).clone()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.shards.read().values().map(|s| s.waiting()).sum()
    }

    /// Returns what the router reports of itself.
    ///
    /// Each lock is released before the next is taken: guards in the fields of
    /// one expression would all be held to its end, against the order in which
    /// the cell takes them.
    pub fn status(&self) -> RouterStatus {
        let leader = self.leader.read().clone();
        let term = self.cell.lock().term();
        let upstreams = self.registry.lock().len();
        RouterStatus {
            host: self.settings.host.clone(),
            centre: self.settings.centre.clone(),
            revision: self.tables.get().revision,
            leader,
            term,
            open: self.open.len(),
            waiting: self.waiting(),
            upstreams,
            draining: self.draining.load(Ordering::Relaxed),
        }
    }

    /// Returns the whole state as JSON, without secrets.
    pub(crate) fn dump(&self) -> String {
        let upstreams: Vec<Arc<UpstreamState>> = self.registry.lock().iter().cloned().collect();
        let mut tables = self.tables.get().published();
        tables.keys.clear();
        let shares = {
            let now = self.now();
            let cell = self.cell.lock();
            cell.shares(now).map(|r| r.counts.clone())
        };
        let dump = serde_json::json!({
            "status": self.status(),
            "upstreams": upstreams,
            "tables": tables,
            "budgets": self.dump_budgets(),
            "shares": shares,
        });
        dump.to_string()
    }
}

#[cfg(test)]
mod tests;

use crate::{
    Limiter, RouterSettings,
    controllers::{CentreBudgets, Outbox, PlacerHandle},
    key_grace::{KeyGrace, unix_micros, unix_millis},
    limiter::SharedLimiter,
    open_requests::OpenRequests,
    peers::Peers,
    propose::PreferredController,
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
use sequoiawing_runtime::{Clock, Countdown, Watch};
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

/// The timeout of connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of demands that wait for the cell leader.
const DEMAND_QUEUE: usize = 4_096;

/// A future that completes when a key is withdrawn.
pub(crate) type WithdrawalFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The state that the filters and controllers of one router share.
pub struct RouterState {
    /// The settings.
    pub settings: RouterSettings,
    /// The current tables, whose revision never decreases.
    pub tables: Watch<Arc<Tables>>,
    pub(crate) clock: Clock,
    pub(crate) client: Client,
    pub(crate) meters: Option<Arc<Meters>>,
    pub(crate) limiter: Arc<dyn Limiter>,
    pub(crate) router_budgets: Arc<SharedLimiter>,
    pub(crate) centre_budgets: CentreBudgets,
    pub(crate) controllers: Vec<Stub<ControlClient>>,
    pub(crate) preferred_controller: PreferredController,
    pub(crate) peers: Peers,
    pub(crate) translations: Translations,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) outbox: Mutex<Outbox>,
    /// The last summary of this data centre that was sent to the others.
    pub(crate) publisher: Mutex<Publisher>,
    /// The time of the last batch from each other router of the data centre.
    pub(crate) peers_heard: Mutex<BTreeMap<Name, Time>>,
    /// The start time of the process, in microseconds, which increases with each
    /// start.
    pub(crate) start: u64,
    pub(crate) withdrawn: Watch<Arc<BTreeSet<KeyId>>>,
    pub(crate) key_grace: KeyGrace,
    withdraw_lock: Mutex<()>,
    pub(crate) demands: Receiver<Demand>,
    pub(crate) draining: AtomicBool,
    /// Ends when all requests have to be answered, since the router ends.
    pub(crate) last_answer: Countdown,
    pub(crate) open: OpenRequests,
    pub(crate) leader: RwLock<Option<Name>>,
    pub(crate) cell: Mutex<Cell>,
    pub(crate) placer: Mutex<Option<PlacerHandle>>,
    link: OnceLock<SocketAddr>,
    confirmed_at: Mutex<Option<Time>>,
    shards: RwLock<BTreeMap<Name, Arc<PoolShard>>>,
    demand_sender: Sender<Demand>,
    next_request: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
}

impl RouterState {
    pub(crate) fn new(settings: RouterSettings) -> Self {
        let secret = Secret::from(settings.secret.as_str());
        let controllers = settings.controllers.iter();
        let translations = Translations::new(&settings.translations);
        let controllers =
            controllers.map(|a| Stub::new(translations.translate(*a), secret.clone()));
        let controllers = controllers.collect();
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
        let router_budgets = Arc::new(SharedLimiter::new(unix_millis()));
        let publisher = Publisher::new(settings.centre.clone());
        let (demand_sender, demands) = async_channel::bounded(DEMAND_QUEUE);
        Self {
            settings,
            tables: Watch::new(Arc::default()),
            clock: Clock::start(),
            client: Client::new(CONNECT_TIMEOUT),
            meters: meters.ok().map(Arc::new),
            limiter: router_budgets.clone(),
            router_budgets,
            centre_budgets: CentreBudgets::default(),
            controllers,
            preferred_controller: PreferredController::default(),
            peers,
            translations,
            registry: Mutex::default(),
            outbox: Mutex::default(),
            publisher: Mutex::new(publisher),
            peers_heard: Mutex::default(),
            start: unix_micros(),
            withdrawn: Watch::new(Arc::default()),
            key_grace: KeyGrace::default(),
            withdraw_lock: Mutex::new(()),
            demands,
            draining: AtomicBool::new(false),
            last_answer: Countdown::new(),
            open: OpenRequests::default(),
            leader: RwLock::new(None),
            cell: Mutex::new(cell),
            placer: Mutex::new(None),
            link: OnceLock::new(),
            confirmed_at: Mutex::new(None),
            shards: RwLock::default(),
            demand_sender,
            next_request: AtomicU64::new(1),
            retry_budget: Mutex::default(),
        }
    }

    /// Returns the time since the router started.
    pub fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Records the first attempt of a customer's request in a pool.
    pub(crate) fn record_attempt(&self, customer: &Name, pool: &Name) {
        let mut retries = self.retry_budget.lock();
        retries.record_attempt(self.now(), customer, pool);
    }

    /// Takes one retry from the customer's retry budget for the pool, and returns
    /// whether it was available.
    pub(crate) fn take_retry(&self, customer: &Name, pool: &Name) -> bool {
        let mut retries = self.retry_budget.lock();
        retries.try_retry(self.now(), customer, pool)
    }

    /// Returns whether the tables were confirmed recently enough for keys to be
    /// accepted, since later withdrawals may not have reached this router.
    pub(crate) fn confirms_keys(&self) -> bool {
        let grace = Duration::from_secs(self.settings.key_grace);
        self.key_grace.accepts_keys(unix_millis(), grace)
    }

    /// Returns a future that completes when a key is withdrawn.
    pub(crate) fn wait_withdrawn(&self, key: KeyId) -> WithdrawalFuture {
        let keys = self.withdrawn.clone();
        Box::pin(async move {
            keys.wait_until(|withdrawn| withdrawn.contains(&key)).await;
        })
    }

    /// Returns a new request identifier.
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Applies tables unless the current ones are at least as new, and returns
    /// whether they were applied.
    pub(crate) fn apply_tables(&self, tables: Arc<Tables>) -> bool {
        if tables.revision <= self.tables.get().revision {
            return false;
        }
        self.apply_withdrawals(&tables);
        log::info!(target: "router", "Applied tables of revision {}.", tables.revision);
        self.peers.update(&tables);
        self.tables.set(tables);
        true
    }

    /// Records that `revision` was the newest one `age` before a source replied,
    /// which was at most `delay` ago.
    ///
    /// The age keeps two disconnected routers that poll each other from renewing
    /// each other's tables.
    pub(crate) fn confirm_tables(&self, revision: Revision, age: Duration, delay: Duration) {
        if revision < self.tables.get().revision {
            return;
        }
        let age = age + delay;
        let at = Time::ZERO + self.clock.elapsed().saturating_sub(age);
        let millis = u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX);
        self.key_grace.confirm(unix_millis().saturating_sub(millis));
        let mut confirmed = self.confirmed_at.lock();
        *confirmed = Some(confirmed.map_or(at, |known| known.max(at)));
    }

    /// Returns the time since the tables were last known to be the newest.
    pub(crate) fn tables_age(&self) -> Duration {
        let confirmed = self.confirmed_at.lock().unwrap_or(Time::ZERO);
        self.now().since(confirmed)
    }

    /// Returns the lease with which this host leads its data centre, if any.
    ///
    /// Check it immediately before each order, since the lease may have expired
    /// while the process was suspended.
    pub(crate) fn lease(&self) -> Option<Lease> {
        self.cell.lock().lease(self.now())
    }

    /// Returns the address at which other processes reach this router, once it
    /// listens.
    pub(crate) fn link(&self) -> Option<SocketAddr> {
        self.link.get().copied()
    }

    pub(crate) fn set_link(&self, address: SocketAddr) {
        self.link.set(address).ok();
    }

    /// Withdraws keys permanently and returns the number of withdrawn keys.
    pub(crate) fn withdraw_keys<I>(&self, keys: I) -> usize
    where
        I: Iterator<Item = KeyId>,
    {
        let _guard = self.withdraw_lock.lock();
        let known = self.withdrawn.get();
        let added: Vec<KeyId> = keys.filter(|k| !known.contains(k)).collect();
        if added.is_empty() {
            return known.len();
        }
        let mut all = BTreeSet::clone(&known);
        all.extend(added);
        let count = all.len();
        self.withdrawn.set(Arc::new(all));
        count
    }

    /// Withdraws the keys that the tables list as withdrawn. The set is shared with
    /// the tables if no other withdrawals are known.
    fn apply_withdrawals(&self, tables: &Tables) {
        let listed = tables.withdrawn.to_arc();
        {
            let _guard = self.withdraw_lock.lock();
            let known = self.withdrawn.get();
            if Arc::ptr_eq(&known, &listed) {
                return;
            }
            if known.is_subset(&listed) {
                self.withdrawn.set(listed);
                return;
            }
        }
        self.withdraw_keys(listed.iter().cloned());
    }

    /// Removes the upstreams whose announcements have expired, and drives the timers
    /// of the dispatchers.
    ///
    /// `pause` is the time before `now` in which this router did not run. It does not
    /// count as silence of the upstreams.
    pub(crate) fn expire_upstreams(&self, now: Time, pause: Duration) {
        let expired = {
            let mut registry = self.registry.lock();
            registry.extend(now, pause);
            registry.expire(now)
        };
        for state in expired {
            let upstream = &state.name;
            log::warn!(
                target: "router",
                "Removing upstream {upstream}, whose announcement has expired."
            );
            self.remove_upstream(upstream);
            self.outbox.lock().remove_upstream(upstream);
        }
        for shard in self.all_shards() {
            shard.handle_event(DispatchEvent::Tick);
        }
    }

    /// Returns the shards of all pools.
    pub(crate) fn all_shards(&self) -> Vec<Arc<PoolShard>> {
        self.shards.read().values().cloned().collect()
    }

    /// Returns the shard of a pool, which is created on first use.
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

    /// Returns the number of waiting requests in all pools.
    pub(crate) fn waiting(&self) -> usize {
        self.shards.read().values().map(|s| s.waiting()).sum()
    }

    /// Returns the status of the router.
    ///
    /// Each lock is released before the next one is taken. Guards within one
    /// expression would all be held to its end, which violates the order in which
    /// the cell takes its locks.
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

    /// Returns the full state as JSON, without secrets.
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

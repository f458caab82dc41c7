use crate::{
    Dialect, GatewayExchange, GatewaySettings,
    adapter_use::AdaptersInUse,
    cluster_view::{ClusterView, DISCONNECTED_AFTER, HubView},
    event_numberings::EventNumberings,
    incarnation::Incarnation,
    isolation::CHECK_INTERVAL,
    places::Places,
    process_watch::ProcessWatches,
    quarantine::QuarantineState,
    response_body::BodyBuffers,
    slots::Slot,
    stop::StopState,
    stream_origins::OriginRecords,
    upstream_connector::UpstreamConnector,
};
use arc_swap::ArcSwap;
use event_listener::Event;
use parking_lot::Mutex;
use sequoiawing_catalog::{Catalog, CatalogCustomer, CatalogIndex};
use sequoiawing_fleet::{Cursor, Interest, Roster, RosterEntry};
use sequoiawing_http::Client as HttpClient;
use sequoiawing_link::{
    DemandBatch, HubClient, ModelDemand, Secret, Stub, SyncReply, Translations,
};
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, Balancer, BalancerRequest, HubRole, HubSelector, HubStatus,
    IsolationDetector, LatenessMeter, PeerView, PickResult, ReportedLoad, RetryWindow,
    SharedTokenBucket, Standstills,
};
use sequoiawing_runtime::Clock;
use sequoiawing_telemetry::Meters;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// The time from a report of a missing model to the leader's order, including
/// the forwarding of both by hubs.
const PROPAGATION_TIME: Duration = Duration::from_millis(150);

/// The report intervals that may pass in addition: before the gateway's own
/// report, and before the one whose response contains the order.
const PROPAGATION_REPORTS: u32 = 3;

/// The age of what hubs told of upstreams above which a stream is not taken up by it: an
/// upstream may have started anew with other software since. A report and its reply take
/// less time.
const MAX_VERSION_AGE: Duration = Duration::from_secs(1);

/// The maximum number of unacknowledged demand batches; older demand is
/// outdated.
const MAX_DEMAND_BATCHES: usize = 16;

/// The demand for models that no hub has acknowledged.
#[derive(Debug, Default)]
struct DemandQueue {
    /// The demand since the last batch.
    pending: HashMap<DemandKey, ModelDemand>,
    /// The batches that are reported until a hub acknowledges them.
    batches: VecDeque<DemandBatch>,
    /// The number of the last batch.
    last_number: u64,
}

/// Creates the metrics if an address to scrape them is configured.
fn create_meters(settings: &GatewaySettings) -> Option<Arc<Meters>> {
    settings.metrics?;
    let meters = Meters::new("sequoiawing-gateway", &settings.host, &settings.centre);
    let meters = meters.inspect_err(|error| log::warn!(target: "metrics", "{error}."));
    meters.ok().map(Arc::new)
}

/// An event in the demand for a model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DemandEvent {
    /// A request arrived.
    Requested {
        /// The tokens that the request declares.
        tokens: u64,
        /// Whether it can wait for a load and still be answered in time.
        is_patient: bool,
    },
    /// No upstream had the model loaded.
    ModelMissing,
    /// All upstreams with the model were full.
    Saturated,
    /// An answer began late because its upstream was busy.
    Late,
}

pub(crate) type DemandKey = (Name, Name, Option<Name>);

/// The state shared by a gateway's filters and tasks.
///
/// Each part has its own lock.
pub struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) client: HttpClient,
    pub(crate) connector: Arc<UpstreamConnector>,
    pub(crate) meters: Option<Arc<Meters>>,
    pub(crate) incarnation: Incarnation,
    clock: Clock,
    index: ArcSwap<CatalogIndex>,
    roster: Mutex<Roster>,
    pub(crate) balancer: Mutex<Balancer>,
    rates: Mutex<HashMap<Name, SharedTokenBucket>>,
    pub(crate) retries: Mutex<HashMap<Name, RetryWindow>>,
    demand: Mutex<DemandQueue>,
    lateness: Mutex<LatenessMeter>,
    /// What hubs are being asked to load.
    pub(crate) load_requests: Mutex<HashSet<(DemandKey, Option<Name>)>>,
    hub_stubs: Mutex<HashMap<SocketAddr, Stub<HubClient>>>,
    pub(crate) cluster: Mutex<ClusterView>,
    pub(crate) hubs: Mutex<HubSelector>,
    /// Notified when the roles of hubs may have changed.
    pub(crate) hubs_changed: Event,
    /// Whether shutdown has begun.
    pub(crate) is_stopping: AtomicBool,
    pub(crate) stop: StopState,
    /// Notified when an upstream may have gained capacity or a model.
    pub(crate) upstreams_changed: Event,
    /// Notified when a report should be sent without delay.
    pub(crate) urgent_report: Event,
    pub(crate) open_requests: AtomicU64,
    /// The tunnels that are open for other gateways.
    pub(crate) open_tunnels: AtomicUsize,
    pub(crate) isolation: Mutex<IsolationDetector>,
    pub(crate) quarantine: QuarantineState,
    pub(crate) origins: OriginRecords,
    pub(crate) event_numberings: EventNumberings,
    pub(crate) adapters: AdaptersInUse,
    /// The places at brittle upstreams.
    pub(crate) places: Places,
    /// The observed processes of upstreams.
    pub(crate) processes: ProcessWatches,
    /// When this gateway stood still.
    pub(crate) standstills: Mutex<Standstills>,
    /// The buffered bodies of requests and of upstreams' responses.
    pub(crate) bodies: BodyBuffers,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, dialect: Arc<dyn Dialect>) -> Self {
        let idle = Duration::from_millis(settings.upstream_idle);
        let clock = Clock::start();
        let connector = Arc::new(UpstreamConnector::new(
            clock,
            Translations::new(&settings.translations),
            Secret::from(settings.secret.as_str()),
        ));
        let mut balancer = Balancer::new(settings.centre.clone());
        balancer.set_evacuation_limit(Duration::from_millis(settings.evacuate));
        let mut hubs = HubSelector::new(settings.centre.clone(), rand::random());
        for hub in &settings.hubs {
            hubs.add(Time::ZERO, *hub, true);
        }
        let bodies = BodyBuffers::new(&settings);
        Self {
            dialect,
            client: HttpClient::with_connector(connector.clone(), idle),
            connector,
            meters: create_meters(&settings),
            settings,
            incarnation: Incarnation::from_clock(),
            clock,
            index: ArcSwap::default(),
            roster: Mutex::new(Roster::new(rand::random())),
            balancer: Mutex::new(balancer),
            rates: Mutex::default(),
            retries: Mutex::default(),
            demand: Mutex::default(),
            lateness: Mutex::default(),
            load_requests: Mutex::default(),
            hub_stubs: Mutex::default(),
            cluster: Mutex::default(),
            hubs: Mutex::new(hubs),
            hubs_changed: Event::new(),
            is_stopping: AtomicBool::new(false),
            stop: StopState::default(),
            upstreams_changed: Event::new(),
            urgent_report: Event::new(),
            open_requests: AtomicU64::new(0),
            open_tunnels: AtomicUsize::new(0),
            isolation: Mutex::default(),
            quarantine: QuarantineState::new(rand::random()),
            origins: OriginRecords::default(),
            event_numberings: EventNumberings::default(),
            adapters: AdaptersInUse::default(),
            places: Places::default(),
            processes: ProcessWatches::default(),
            standstills: Mutex::new(Standstills::new(Time::ZERO, CHECK_INTERVAL)),
            bodies,
        }
    }

    /// Returns the time since the gateway's start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the active configuration.
    pub fn index(&self) -> Arc<CatalogIndex> {
        self.index.load_full()
    }

    /// Returns whether the gateway accepts requests: it has a configuration, is not
    /// shutting down and its data centre is not cut off from all others.
    pub fn is_ready(&self) -> bool {
        let is_stopping = self.is_stopping.load(Ordering::Relaxed);
        !is_stopping && self.index.load().version().is_some() && !self.is_isolated()
    }

    /// Returns whether the data centre is cut off from all others.
    pub(crate) fn is_isolated(&self) -> bool {
        self.isolation.lock().is_isolated()
    }

    /// Returns the gateways that share the rate limits.
    fn peer_view(&self, now: Time) -> PeerView {
        let cluster = self.cluster.lock();
        let last_response = cluster.hubs.values().map(|h| h.last_response).max();
        let last_response = last_response.unwrap_or(Time::ZERO);
        PeerView {
            hosts: cluster.gateways,
            missing: cluster.missing,
            is_isolated: now.since(last_response) > DISCONNECTED_AFTER,
        }
    }

    /// Charges a customer for a request.
    ///
    /// # Errors
    ///
    /// Returns the retry delay and the state of the other hosts when the
    /// customer's rate is exceeded.
    pub(crate) fn charge(
        &self,
        customer: &CatalogCustomer,
        units: u64,
    ) -> Result<(), (Duration, PeerView)> {
        if !customer.is_limited() {
            return Ok(());
        }
        let now = self.now();
        let peer_view = self.peer_view(now);
        let mut rates = self.rates.lock();
        let rate = rates
            .entry(customer.name.clone())
            .or_insert_with(|| SharedTokenBucket::new(now, customer.rate, customer.burst));
        let admitted = rate.admit(now, units, peer_view);
        drop(rates);
        if admitted.is_err() {
            self.urgent_report.notify(usize::MAX);
        }
        admitted.map_err(|retry| (retry, peer_view))
    }

    /// Returns the units that a customer has used at this gateway.
    pub(crate) fn usage_of(&self, customer: &Name) -> u64 {
        let rates = self.rates.lock();
        rates.get(customer).map_or(0, SharedTokenBucket::used)
    }

    /// Refunds the units of a request that did not run.
    pub(crate) fn refund(&self, customer: &CatalogCustomer, units: u64) {
        if let Some(rate) = self.rates.lock().get_mut(&customer.name) {
            rate.refund(units);
        }
    }

    /// Adds an event to the demand for the request's model.
    pub(crate) fn record_demand(&self, request: &BalancerRequest, event: DemandEvent) {
        let Some(model) = &request.model else {
            return;
        };
        let key = (request.pool.clone(), model.clone(), request.adapter.clone());
        let mut queue = self.demand.lock();
        let demand = queue.pending.entry(key).or_insert_with(|| ModelDemand {
            pool: request.pool.clone(),
            model: model.clone(),
            adapter: request.adapter.clone(),
            ..ModelDemand::default()
        });
        match event {
            DemandEvent::Requested { tokens, is_patient } => {
                demand.asked += 1;
                demand.patient += u64::from(is_patient);
                demand.tokens += tokens;
                return;
            }
            DemandEvent::ModelMissing => demand.missed += 1,
            DemandEvent::Saturated => demand.crowded += 1,
            DemandEvent::Late => {
                demand.late += 1;
                return;
            }
        }
        drop(queue);
        self.urgent_report.notify(usize::MAX);
    }

    /// Records when the first event of a stream arrived from the upstream to which its
    /// request was assigned at `assigned`.
    pub(crate) fn record_first_event(
        &self,
        exchange: &GatewayExchange,
        request: &BalancerRequest,
        slot: &Slot,
    ) {
        let elapsed = self.now().since(slot.assigned);
        let (route, target) = (&exchange.route.name, exchange.route.target_latency());
        let tokens = slot.assignment.uncached;
        let is_late = self.lateness.lock().record(route, tokens, elapsed, target);
        if is_late {
            self.record_demand(request, DemandEvent::Late);
        }
    }

    /// Returns the unacknowledged demand batches, with one for new demand.
    pub(crate) fn demand_batches(&self) -> Vec<DemandBatch> {
        let in_use = self.adapters.take_due(self.now());
        let mut queue = self.demand.lock();
        for demand in in_use {
            let key = (
                demand.pool.clone(),
                demand.model.clone(),
                demand.adapter.clone(),
            );
            queue.pending.entry(key).or_insert(demand);
        }
        if !queue.pending.is_empty() {
            let pending = std::mem::take(&mut queue.pending);
            queue.last_number += 1;
            let batch = DemandBatch {
                number: queue.last_number,
                demand: pending.into_values().collect(),
            };
            queue.batches.push_back(batch);
            if queue.batches.len() > MAX_DEMAND_BATCHES {
                queue.batches.pop_front();
            }
        }
        queue.batches.iter().cloned().collect()
    }

    /// Drops the batches up to a number, which a hub has acknowledged.
    pub(crate) fn acknowledge_demand(&self, last_number: u64) {
        let mut queue = self.demand.lock();
        queue.batches.retain(|b| b.number > last_number);
    }

    /// Returns the client of a hub.
    pub(crate) fn hub_stub(&self, hub: SocketAddr) -> Stub<HubClient> {
        let mut stubs = self.hub_stubs.lock();
        let stub = stubs.entry(hub).or_insert_with(|| {
            let secret = Secret::from(self.settings.secret.as_str());
            Stub::new(hub, secret)
        });
        stub.clone()
    }

    /// Returns the role of a hub.
    pub(crate) fn hub_role(&self, hub: SocketAddr) -> HubRole {
        self.hubs.lock().role(self.now(), hub)
    }

    /// Records that a hub did not answer; returns whether it was removed.
    pub(crate) fn record_hub_failure(&self, hub: SocketAddr) -> bool {
        let now = self.now();
        let mut hubs = self.hubs.lock();
        hubs.record_failure(now, hub);
        let is_removed = hubs.remove_silent(now, hub);
        let has_changed = hubs.has_changed(now);
        drop(hubs);
        if has_changed {
            self.hubs_changed.notify(usize::MAX);
        }
        is_removed
    }

    /// Records a hub's status and adds the other hubs that it lists.
    pub(crate) fn update_hub(&self, hub: SocketAddr, status: HubStatus, hosts: &[IpAddr]) {
        let now = self.now();
        let mut hubs = self.hubs.lock();
        for host in hosts {
            hubs.add(now, SocketAddr::new(*host, hub.port()), false);
        }
        hubs.record_answer(now, hub, status);
        let has_changed = hubs.has_changed(now);
        drop(hubs);
        if has_changed {
            self.hubs_changed.notify(usize::MAX);
        }
    }

    /// Returns the estimated time until the load of a missing model is known
    /// here.
    pub(crate) fn propagation_delay(&self) -> Duration {
        PROPAGATION_TIME + self.hubs.lock().report_interval() * PROPAGATION_REPORTS
    }

    /// Returns the delay before the next call to a hub.
    pub(crate) fn poll_delay(&self, hub: SocketAddr) -> Duration {
        let now = self.now();
        let hubs = self.hubs.lock();
        if hubs.role(now, hub) == HubRole::Probed {
            hubs.probe_interval(now, hub)
        } else {
            hubs.report_interval()
        }
    }

    /// Returns the units that each customer has used at this gateway.
    pub(crate) fn usage(&self) -> Vec<(Name, u64)> {
        let rates = self.rates.lock();
        let used = rates.iter().map(|(name, r)| (name.clone(), r.used()));
        used.collect()
    }

    /// Chooses an upstream for a request.
    pub(crate) fn pick(&self, request: &BalancerRequest) -> PickResult {
        self.balancer.lock().pick(self.now(), request)
    }

    /// Records that an upstream wants no requests from this host for a time.
    pub(crate) fn request_backoff(&self, upstream: &Name, span: Duration) {
        let bound = Duration::from_millis(self.settings.max_backoff);
        let bounded = span.min(bound);
        let mut balancer = self.balancer.lock();
        let is_extended = balancer.request_backoff(self.now(), upstream, bounded);
        drop(balancer);
        if is_extended {
            log::info!(
                target: "gateway", upstream = upstream.as_str(),
                backoff_ms = u64::try_from(bounded.as_millis()).unwrap_or(u64::MAX),
                asked_s = span.as_secs_f64(), is_bounded = span > bound;
                "Upstream wants no requests for a time."
            );
        }
    }

    /// Records that an upstream said in an answer that it leaves.
    pub(crate) fn record_departure(&self, assignment: &Assignment) {
        let Assignment { name, epoch, .. } = assignment;
        if self.balancer.lock().record_departure(name, *epoch) {
            log::info!(
                target: "gateway", upstream = name.as_str(), start = epoch;
                "Upstream leaves, as it said in an answer."
            );
        }
    }

    /// Checks that an upstream still wants a request that was assigned to it.
    ///
    /// # Errors
    ///
    /// Returns the cause if the upstream has asked for no requests, has said that it leaves,
    /// or was evacuated, since the assignment.
    pub(crate) fn check_wanted(&self, assignment: &Assignment) -> Result<(), String> {
        let Assignment { name, epoch, .. } = assignment;
        let balancer = self.balancer.lock();
        if balancer.is_closed(self.now(), &assignment.centre) {
            return Err("the data centre of the upstream is evacuated".to_owned());
        }
        if balancer.has_departed(name, *epoch) {
            return Err("the upstream leaves".to_owned());
        }
        match balancer.backoff(self.now(), name) {
            Some(backoff) => {
                let wait = backoff.as_millis();
                Err(format!("the upstream wants no requests for {wait} ms"))
            }
            None => Ok(()),
        }
    }

    /// Returns after which time a refused request may come back, if all upstreams that could
    /// serve it want no requests.
    pub(crate) fn common_backoff(&self, request: &BalancerRequest) -> Option<Duration> {
        self.balancer.lock().common_backoff(self.now(), request)
    }

    /// Returns the upstreams that recently could not be reached.
    pub(crate) fn unreachable(&self) -> Vec<Name> {
        self.balancer.lock().unreachable(self.now())
    }

    /// Returns the upstreams that recently answered on a connection of this gateway
    /// itself.
    pub(crate) fn reached(&self) -> Vec<Name> {
        let mut reached = self.balancer.lock().reached(self.now());
        reached.retain(|upstream| !self.connector.is_lost(upstream));
        reached
    }

    /// Records the load that an upstream reported.
    pub(crate) fn report_load(&self, assignment: &Assignment, load: ReportedLoad) {
        let mut balancer = self.balancer.lock();
        balancer.report(self.now(), assignment.key, load);
    }

    /// Releases the slot of a request with its outcome.
    pub(crate) fn release(&self, assignment: &Assignment, outcome: AttemptOutcome) {
        self.balancer
            .lock()
            .end(self.now(), assignment.key, outcome);
        if matches!(
            outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::Aborted
        ) {
            self.client.close_idle(assignment.address);
        }
        if outcome == AttemptOutcome::Unreachable {
            self.urgent_report.notify(usize::MAX);
        }
        self.upstreams_changed.notify(usize::MAX);
    }

    /// Applies a hub's response to a report; `reported` is the local usage that
    /// the report contained, `lost` are its lost upstreams.
    pub(crate) fn apply_hub_update(
        &self,
        hub: SocketAddr,
        update: SyncReply,
        reported: &[(Name, u64)],
        lost: &[Name],
    ) {
        let now = self.now();
        // The first configuration makes the gateway ready.
        self.apply_quarantine(hub, &update.quarantine);
        if let Some(limits) = &update.limits {
            self.apply_limits(now, limits);
        }
        if let Some(catalog) = update.catalog {
            self.apply_catalog(now, &catalog);
        }
        self.apply_roster(now, &update.roster.listed);
        let found = self.connector.set_hosts(hub, lost, &update.tunnel_hosts);
        self.use_tunnels(now, &found);
        self.hubs.lock().set_gateways(update.gateways);
        let has_issuer = update.limits.is_some();
        self.balancer.lock().set_hosts(update.gateways, has_issuer);
        let mut cluster = self.cluster.lock();
        cluster.gateways = update.gateways;
        cluster.fleet_size.record(now, update.gateways);
        cluster.missing = update.missing;
        if let Some(evictions) = update.evictions {
            self.apply_evictions(now, &mut cluster, evictions);
        }
        if let Some(meters) = &self.meters {
            meters.set_state(self.index.load().version().unwrap_or_default(), false);
            let open = usize::try_from(self.open_requests.load(Ordering::Relaxed));
            meters.set_requests(0, open.unwrap_or(usize::MAX));
            self.update_cold_meters(now, meters);
            self.record_body_memory();
        }
        cluster.hubs.insert(
            hub,
            HubView {
                last_response: now,
                epoch: update.epoch,
                is_complete: update.settled,
                silent: update.silent.into_iter().collect(),
            },
        );
        let silent = cluster.silent_upstreams(now);
        let (usage_source, is_new) = cluster.select_usage_source(now);
        drop(cluster);
        self.balancer.lock().set_silent(&silent);
        if usage_source == Some(hub) {
            self.apply_usage(now, &update.used, reported, is_new);
        }
        self.upstreams_changed.notify(usize::MAX);
    }

    /// Applies the usage of all gateways. A customer that the hub does not list
    /// counts as unused, so that its first usage elsewhere is charged.
    fn apply_usage(&self, now: Time, used: &[(Name, u64)], reported: &[(Name, u64)], is_new: bool) {
        let peer_view = self.peer_view(now);
        let index = self.index();
        let used: HashMap<&Name, u64> = used.iter().map(|(n, u)| (n, *u)).collect();
        let own: HashMap<&Name, u64> = reported.iter().map(|(n, u)| (n, *u)).collect();
        let of = |counts: &HashMap<&Name, u64>, name| counts.get(name).copied().unwrap_or_default();
        let mut rates = self.rates.lock();
        let customers = index.catalog().customers.iter();
        for customer in customers.filter(|c| c.is_limited()) {
            let rate = rates
                .entry(customer.name.clone())
                .or_insert_with(|| SharedTokenBucket::new(now, customer.rate, customer.burst));
            let total = of(&used, &customer.name);
            let use_counts = (total, of(&own, &customer.name));
            rate.apply_update(now, use_counts, is_new, peer_view, rand::random());
        }
    }

    /// Activates a configuration if it is newer than the current one.
    fn apply_catalog(&self, now: Time, catalog: &Arc<Catalog>) {
        // The lock serializes configurations that arrive from several hubs.
        let mut balancer = self.balancer.lock();
        let current = self.index.load().version();
        if Some(catalog.version) <= current {
            return;
        }
        log::info!(
            target: "gateway", version = catalog.version, former = current,
            routes = catalog.routes.len();
            "Configuration activated."
        );
        for pool in &catalog.pools {
            let cache_tokens = pool.engine.as_ref().map_or(0, |e| e.tokens);
            balancer.set_cache_tokens(&pool.name, cache_tokens);
            balancer.set_cold_rate(&pool.name, pool.cold.rate());
        }
        self.index.store(Arc::new(CatalogIndex::new(catalog)));
        drop(balancer);
        let peer_view = self.peer_view(now);
        let mut rates = self.rates.lock();
        for customer in &catalog.customers {
            if let Some(rate) = rates.get_mut(&customer.name) {
                rate.set_limits(now, customer.rate, customer.burst, peer_view);
            }
        }
    }

    fn apply_roster(&self, now: Time, listed: &[RosterEntry]) {
        if listed.is_empty() {
            return;
        }
        let mut roster = self.roster.lock();
        let cursor = roster
            .updates_since(Cursor::default(), Interest::Changes)
            .cursor;
        for item in listed {
            roster.apply(now, item.clone());
        }
        // The roster ignores outdated entries.
        let changes = roster.updates_since(cursor, Interest::Changes);
        drop(roster);
        let mut balancer = self.balancer.lock();
        for item in &changes.listed {
            log::info!(
                target: "gateway", upstream = item.state.name.as_str(),
                gone = item.gone, leaving = item.state.leaving,
                software = item.state.software.as_ref().map(Name::as_str),
                models = item.state.loaded.len(), sequence = item.state.sequence;
                "Upstream changed."
            );
            if item.gone
                && let Some(address) = item.state.address
            {
                self.client.close_idle(address);
            }
            self.connector.update(item);
            balancer.update(item);
            let change = balancer.update_cold(now, item);
            crate::cold::log_change(item, change);
        }
    }

    /// Records that the upstreams are known as of a time, as told by a hub.
    pub(crate) fn record_roster_time(&self, time: Time) {
        let mut cluster = self.cluster.lock();
        cluster.roster_time = cluster.roster_time.max(Some(time));
    }

    /// Returns whether the known software versions of upstreams may be outdated, since
    /// this host stood still or was cut off.
    pub(crate) fn has_outdated_versions(&self) -> bool {
        let known = self.cluster.lock().roster_time;
        known.is_none_or(|time| self.now().since(time) > MAX_VERSION_AGE)
    }

    /// Returns the state as JSON, without secrets.
    pub fn dump(&self) -> serde_json::Value {
        let roster = self.roster.lock();
        let upstreams: Vec<_> = roster.live().map(|s| s.as_ref().clone()).collect();
        let cluster = self.cluster.lock();
        serde_json::json!({
            "version": self.index.load().version(),
            "upstreams": upstreams,
            "evacuations": self.evacuation_revision(),
            "gateways": cluster.gateways,
            "missing": cluster.missing,
            "quarantine": self.quarantine.dump(self.now()),
            "open": self.open_requests.load(Ordering::Relaxed),
            "lost": self.connector.lost(),
            "tunnels": self.open_tunnels.load(Ordering::Relaxed),
        })
    }
}

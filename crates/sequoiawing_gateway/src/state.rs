use crate::{Dialect, GatewaySettings};
use arc_swap::ArcSwap;
use event_listener::Event;
use parking_lot::Mutex;
use sequoiawing_catalog::{Catalog, CatalogIndex, Client};
use sequoiawing_fleet::{Cursor, Interest, Listed, Roster};
use sequoiawing_http::Client as HttpClient;
use sequoiawing_link::{DemandBatch, HubNews, ModelDemand, OrderedLoads, PlannedLoad};
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, Balancer, BalancerRequest, HubRole, HubSelector, HubStatus,
    PeerView, PickResult, ReportedLoad, RetryWindow, SharedTokenBucket,
};
use sequoiawing_runtime::Clock;
use sequoiawing_telemetry::Meters;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How long connecting to an upstream may take; those of the own region answer
/// within a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// How long after its estimated end a load counts as done that its upstream
/// has not announced; upstreams announce models at once, adapters later.
const LOAD_SLACK: Duration = Duration::from_millis(250);

/// How long no hub may answer before the gateway counts as cut off; several
/// reporting intervals.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_500);

/// How long the leader takes from a report of a missed model to its order, and
/// hubs to pass both on.
const NEWS_TIME: Duration = Duration::from_millis(150);

/// The pauses between reports that a gateway may spend meanwhile: before its own
/// report, and before the one that brings the news.
const NEWS_REPORTS: u32 = 3;

/// The batches of demand that are kept for a hub; older demand is out of date.
const MAX_BATCHES: usize = 16;

/// What the gateway heard from one hub.
#[derive(Debug, Default)]
struct HubView {
    heard: Time,
    epoch: u64,
    /// Whether its sums are whole.
    is_settled: bool,
    silent: HashSet<Name>,
}

/// What the gateway knows of the others.
#[derive(Debug, Default)]
struct Others {
    hubs: HashMap<SocketAddr, HubView>,
    /// The hub whose sums are followed.
    counted: Option<(SocketAddr, u64)>,
    gateways: u32,
    missing: u32,
    /// The term of the leader whose loads are known.
    term: u64,
    loads: Vec<(Time, PlannedLoad)>,
}

/// What the primary hub has not been told of the demand for models.
#[derive(Debug, Default)]
struct Demanded {
    /// What came since the last batch.
    fresh: HashMap<DemandKey, ModelDemand>,
    /// The batches that are reported until a hub has taken them.
    batches: VecDeque<DemandBatch>,
    /// The number of the last batch.
    number: u64,
}

/// Returns the measures, unless nobody scrapes them.
fn meters(settings: &GatewaySettings) -> Option<Arc<Meters>> {
    settings.metrics?;
    let meters = Meters::new("sequoiawing-gateway", &settings.host, &settings.centre);
    let meters = meters.inspect_err(|error| log::warn!(target: "metrics", "{error}."));
    meters.ok().map(Arc::new)
}

/// What became of a request for a model.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Noted {
    /// It came.
    Asked {
        /// The tokens that it declares.
        tokens: u64,
    },
    /// It found no upstream with the model.
    Missed,
    /// It found all upstreams with the model full.
    Crowded,
}

type DemandKey = (Name, Name, Option<Name>);

/// What filters and controllers of a gateway share, each part under a lock of
/// its own.
pub struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) client: HttpClient,
    pub(crate) meters: Option<Arc<Meters>>,
    pub(crate) incarnation: u64,
    clock: Clock,
    index: ArcSwap<CatalogIndex>,
    roster: Mutex<Roster>,
    balancer: Mutex<Balancer>,
    rates: Mutex<HashMap<Name, SharedTokenBucket>>,
    retries: Mutex<HashMap<Name, RetryWindow>>,
    demand: Mutex<Demanded>,
    others: Mutex<Others>,
    pub(crate) hubs: Mutex<HubSelector>,
    /// Notified when another hub may have to be followed.
    pub(crate) rechosen: Event,
    /// Whether shutdown has begun.
    pub(crate) leaving: AtomicBool,
    /// Notified when an upstream may have room or a model.
    pub(crate) changed: Event,
    /// Notified when hubs should be told at once.
    pub(crate) urgent: Event,
    pub(crate) open: AtomicU64,
}

impl GatewayState {
    pub(crate) fn new(settings: GatewaySettings, dialect: Arc<dyn Dialect>) -> Self {
        let idle = Duration::from_millis(settings.upstream_idle);
        let mut hubs = HubSelector::new(settings.centre.clone(), rand::random());
        for hub in &settings.hubs {
            hubs.add(Time::ZERO, *hub, true);
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
        Self {
            dialect,
            client: HttpClient::with_idle_limit(CONNECT_LIMIT, idle),
            meters: meters(&settings),
            settings,
            incarnation,
            clock: Clock::start(),
            index: ArcSwap::default(),
            roster: Mutex::new(Roster::new(rand::random())),
            balancer: Mutex::default(),
            rates: Mutex::default(),
            retries: Mutex::default(),
            demand: Mutex::default(),
            others: Mutex::default(),
            hubs: Mutex::new(hubs),
            rechosen: Event::new(),
            leaving: AtomicBool::new(false),
            changed: Event::new(),
            urgent: Event::new(),
            open: AtomicU64::new(0),
        }
    }

    /// Returns the time on this process's clock.
    pub fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Returns the configuration in force here.
    pub fn index(&self) -> Arc<CatalogIndex> {
        self.index.load_full()
    }

    /// Reports whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && self.index.load().version() > 0
    }

    /// Returns how many hosts share the limits.
    fn view(&self, now: Time) -> PeerView {
        let others = self.others.lock();
        let heard = others.hubs.values().map(|h| h.heard).max();
        let heard = heard.unwrap_or(Time::ZERO);
        PeerView {
            hosts: others.gateways,
            missing: others.missing,
            is_isolated: now.since(heard) > CUT_OFF_AFTER,
        }
    }

    /// Charges a customer for a request.
    ///
    /// # Errors
    ///
    /// Returns the time after which asking again may help, and what is known of
    /// the other hosts.
    pub(crate) fn charge(&self, customer: &Client, units: u64) -> Result<(), (Duration, PeerView)> {
        if !customer.is_limited() {
            return Ok(());
        }
        let now = self.now();
        let view = self.view(now);
        let mut rates = self.rates.lock();
        let rate = rates
            .entry(customer.name.clone())
            .or_insert_with(|| SharedTokenBucket::new(now, customer.rate, customer.burst));
        let admitted = rate.admit(now, units, view);
        drop(rates);
        if admitted.is_err() {
            self.urgent.notify(usize::MAX);
        }
        admitted.map_err(|retry| (retry, view))
    }

    /// Returns what a customer used here.
    pub(crate) fn used_by(&self, customer: &Name) -> u64 {
        let rates = self.rates.lock();
        rates.get(customer).map_or(0, SharedTokenBucket::used)
    }

    /// Gives back what a request was charged that did not run.
    pub(crate) fn give_back(&self, customer: &Client, units: u64) {
        if let Some(rate) = self.rates.lock().get_mut(&customer.name) {
            rate.refund(units);
        }
    }

    /// Notes the first sending of a request to a pool.
    pub(crate) fn note_request(&self, pool: &Name) {
        let (now, limits) = (self.now(), self.settings.retries());
        let mut retries = self.retries.lock();
        let window = retries.entry(pool.clone()).or_default();
        window.record_request(now, &limits);
    }

    /// Counts a repeat, if the limits have room for it.
    pub(crate) fn take_repeat(&self, pool: &Name) -> bool {
        let (now, limits) = (self.now(), self.settings.retries());
        let hosts = self.others.lock().gateways;
        let mut retries = self.retries.lock();
        let window = retries.entry(pool.clone()).or_default();
        window.try_retry(now, &limits, hosts)
    }

    /// Counts what became of a request for a model.
    pub(crate) fn note_demand(&self, work: &BalancerRequest, noted: Noted) {
        let Some(model) = &work.model else {
            return;
        };
        let key = (work.pool.clone(), model.clone(), work.adapter.clone());
        let mut demanded = self.demand.lock();
        let demand = demanded.fresh.entry(key).or_insert_with(|| ModelDemand {
            pool: work.pool.clone(),
            model: model.clone(),
            adapter: work.adapter.clone(),
            ..ModelDemand::default()
        });
        match noted {
            Noted::Asked { tokens } => {
                demand.asked += 1;
                demand.tokens += tokens;
                return;
            }
            Noted::Missed => demand.missed += 1,
            Noted::Crowded => demand.crowded += 1,
        }
        drop(demanded);
        self.urgent.notify(usize::MAX);
    }

    /// Returns the demand to be reported next.
    pub(crate) fn demand_batches(&self) -> Vec<DemandBatch> {
        let mut demanded = self.demand.lock();
        if !demanded.fresh.is_empty() {
            let fresh = std::mem::take(&mut demanded.fresh);
            demanded.number += 1;
            let batch = DemandBatch {
                number: demanded.number,
                demand: fresh.into_values().collect(),
            };
            demanded.batches.push_back(batch);
            if demanded.batches.len() > MAX_BATCHES {
                demanded.batches.pop_front();
            }
        }
        demanded.batches.iter().cloned().collect()
    }

    /// Notes that a hub has taken the batches up to a number.
    pub(crate) fn demand_taken(&self, number: u64) {
        let mut demanded = self.demand.lock();
        demanded.batches.retain(|b| b.number > number);
    }

    /// Returns what is wanted of a hub.
    pub(crate) fn hub_role(&self, hub: SocketAddr) -> HubRole {
        self.hubs.lock().role(self.now(), hub)
    }

    /// Notes that a hub did not answer; reports whether it is forgotten.
    pub(crate) fn lose_hub(&self, hub: SocketAddr) -> bool {
        let now = self.now();
        let mut hubs = self.hubs.lock();
        hubs.record_failure(now, hub);
        let is_forgotten = hubs.remove_silent(now, hub);
        let has_changed = hubs.has_changed(now);
        drop(hubs);
        if has_changed {
            self.rechosen.notify(usize::MAX);
        }
        is_forgotten
    }

    /// Takes in what a hub is, and the other hubs that it names.
    pub(crate) fn hear_hub(&self, hub: SocketAddr, fact: HubStatus, others: &[IpAddr]) {
        let now = self.now();
        let mut hubs = self.hubs.lock();
        for host in others {
            hubs.add(now, SocketAddr::new(*host, hub.port()), false);
        }
        hubs.record_answer(now, hub, fact);
        let has_changed = hubs.has_changed(now);
        drop(hubs);
        if has_changed {
            self.rechosen.notify(usize::MAX);
        }
    }

    /// Returns how long it takes, about, until a missed model shows among the
    /// loads.
    pub(crate) fn news_time(&self) -> Duration {
        NEWS_TIME + self.hubs.lock().report_interval() * NEWS_REPORTS
    }

    /// Returns how long to wait before a hub is spoken to again.
    pub(crate) fn hub_pause(&self, hub: SocketAddr) -> Duration {
        let now = self.now();
        let hubs = self.hubs.lock();
        if hubs.role(now, hub) == HubRole::Probed {
            hubs.probe_interval(now, hub)
        } else {
            hubs.report_interval()
        }
    }

    /// Returns what each customer used here.
    pub(crate) fn used(&self) -> Vec<(Name, u64)> {
        let rates = self.rates.lock();
        let used = rates.iter().map(|(name, r)| (name.clone(), r.used()));
        used.collect()
    }

    /// Chooses an upstream for a request.
    pub(crate) fn pick(&self, work: &BalancerRequest) -> PickResult {
        self.balancer.lock().pick(self.now(), work)
    }

    /// Returns the upstreams that could not be reached just now.
    pub(crate) fn unreachable(&self) -> Vec<Name> {
        self.balancer.lock().unreachable(self.now())
    }

    /// Returns the upstreams that answered just now.
    pub(crate) fn reached(&self) -> Vec<Name> {
        self.balancer.lock().reached(self.now())
    }

    pub(crate) fn report(&self, assigned: &Assignment, load: ReportedLoad) {
        let mut balancer = self.balancer.lock();
        balancer.report(self.now(), assigned.key, load);
    }

    pub(crate) fn end(&self, assigned: &Assignment, ended: AttemptOutcome) {
        self.balancer.lock().end(self.now(), assigned.key, ended);
        if matches!(ended, AttemptOutcome::Unreachable | AttemptOutcome::Aborted) {
            self.client.forget(assigned.address);
        }
        if ended == AttemptOutcome::Unreachable {
            self.urgent.notify(usize::MAX);
        }
        self.changed.notify(usize::MAX);
    }

    /// Returns when a model should be loaded, if a load is under way.
    pub(crate) fn load_ready(&self, pool: &Name, model: &Name) -> Option<Duration> {
        let now = self.now();
        let others = self.others.lock();
        let loads = others.loads.iter();
        let fitting = loads.filter(|(_, l)| l.pool == *pool && l.model == *model);
        fitting.map(|(at, _)| at.since(now)).min()
    }

    /// Takes in what a hub answered; `reported` is what it was told of the use
    /// here.
    pub(crate) fn hear(&self, hub: SocketAddr, news: HubNews, reported: &[(Name, u64)]) {
        let now = self.now();
        if let Some(catalog) = news.catalog {
            self.put_in_force(now, &catalog);
        }
        self.take_roster(now, &news.roster.listed);
        self.hubs.lock().set_gateways(news.gateways);
        let mut others = self.others.lock();
        others.gateways = news.gateways;
        others.missing = news.missing;
        if let Some(ordered) = news.ordered {
            self.take_ordered(now, &mut others, ordered);
        }
        if let Some(meters) = &self.meters {
            meters.set_state(self.index.load().version(), false);
            let open = usize::try_from(self.open.load(Ordering::Relaxed));
            meters.set_requests(0, open.unwrap_or(usize::MAX));
        }
        others.hubs.insert(
            hub,
            HubView {
                heard: now,
                epoch: news.epoch,
                is_settled: news.settled,
                silent: news.silent.into_iter().collect(),
            },
        );
        let silent = others.silent(now);
        let (counted, is_new) = others.counted(now);
        drop(others);
        self.balancer.lock().set_silent(&silent);
        if counted == Some(hub) {
            self.count(now, &news.used, reported, is_new);
        }
        self.changed.notify(usize::MAX);
    }

    /// Takes in what the leader has ordered.
    fn take_ordered(&self, now: Time, others: &mut Others, ordered: OrderedLoads) {
        if ordered.term < others.term {
            return;
        }
        others.term = ordered.term;
        // Times before this process's start count as its start.
        let at = |l: &PlannedLoad| match l.late {
            0 => now + Duration::from_millis(l.ready),
            _ => now,
        };
        let loads = ordered.loads.into_iter();
        let loads: Vec<(Time, PlannedLoad)> = loads.map(|l| (at(&l), l)).collect();
        let expected = loads.iter();
        let expected = expected.map(|(at, l)| {
            let is_adapter = l.model.as_str().contains(':');
            let slack = if is_adapter {
                Duration::ZERO
            } else {
                LOAD_SLACK
            };
            (l.upstream.clone(), l.model.clone(), *at + slack)
        });
        let mut balancer = self.balancer.lock();
        balancer.set_expected(expected);
        balancer.set_evicted(ordered.evicted);
        drop(balancer);
        others.loads = loads;
    }

    /// Takes in what all gateways used. A customer that a hub does not list has
    /// used nothing yet, so that its first use elsewhere counts.
    fn count(&self, now: Time, used: &[(Name, u64)], reported: &[(Name, u64)], is_new: bool) {
        let view = self.view(now);
        let index = self.index();
        let used: HashMap<&Name, u64> = used.iter().map(|(n, u)| (n, *u)).collect();
        let own: HashMap<&Name, u64> = reported.iter().map(|(n, u)| (n, *u)).collect();
        let of = |counts: &HashMap<&Name, u64>, name| counts.get(name).copied().unwrap_or_default();
        let mut rates = self.rates.lock();
        let customers = index.catalog().customers.iter();
        for limits in customers.filter(|c| c.is_limited()) {
            let rate = rates
                .entry(limits.name.clone())
                .or_insert_with(|| SharedTokenBucket::new(now, limits.rate, limits.burst));
            let total = of(&used, &limits.name);
            rate.apply_update(now, total, of(&own, &limits.name), is_new, view);
        }
    }

    /// Puts a configuration in force unless the present one is as new.
    fn put_in_force(&self, now: Time, catalog: &Arc<Catalog>) {
        // The lock orders configurations that several hubs hand out at once.
        let mut balancer = self.balancer.lock();
        let former = self.index.load().version();
        if catalog.version <= former {
            return;
        }
        log::info!(
            target: "gateway", version = catalog.version, former = former,
            routes = catalog.routes.len();
            "A configuration is in force."
        );
        for pool in &catalog.pools {
            let kept = pool.engine.as_ref().map_or(0, |e| e.tokens);
            balancer.set_cache_tokens(&pool.name, kept);
        }
        self.index.store(Arc::new(CatalogIndex::new(catalog)));
        drop(balancer);
        let view = self.view(now);
        let mut rates = self.rates.lock();
        for customer in &catalog.customers {
            if let Some(rate) = rates.get_mut(&customer.name) {
                rate.set_limits(now, customer.rate, customer.burst, view);
            }
        }
    }

    fn take_roster(&self, now: Time, listed: &[Listed]) {
        if listed.is_empty() {
            return;
        }
        let mut roster = self.roster.lock();
        let before = roster.since(Cursor::default(), Interest::Changes).cursor;
        for one in listed {
            roster.take(now, one.clone());
        }
        // What the roster makes of it, which knows late entries.
        let news = roster.since(before, Interest::Changes);
        drop(roster);
        let mut balancer = self.balancer.lock();
        for one in &news.listed {
            log::info!(
                target: "gateway", upstream = one.state.name.as_str(),
                gone = one.gone, leaving = one.state.leaving,
                models = one.state.loaded.len(), sequence = one.state.sequence;
                "An upstream changed."
            );
            if one.gone
                && let Some(address) = one.state.address
            {
                self.client.forget(address);
            }
            balancer.update(one);
        }
    }

    /// Returns the state as JSON, without secrets.
    pub fn dump(&self) -> serde_json::Value {
        let roster = self.roster.lock();
        let upstreams: Vec<_> = roster.present().map(|s| s.as_ref().clone()).collect();
        let others = self.others.lock();
        serde_json::json!({
            "version": self.index.load().version(),
            "upstreams": upstreams,
            "gateways": others.gateways,
            "missing": others.missing,
            "open": self.open.load(Ordering::Relaxed),
        })
    }
}

impl Others {
    /// Returns the upstreams that all hubs in touch call silent.
    fn silent(&self, now: Time) -> HashSet<Name> {
        let is_fresh = |h: &&HubView| now.since(h.heard) <= CUT_OFF_AFTER;
        let mut views = self.hubs.values().filter(is_fresh);
        let Some(first) = views.next() else {
            return HashSet::new();
        };
        let rest: Vec<&HubView> = views.collect();
        let agreed = first.silent.iter();
        let agreed = agreed.filter(|name| rest.iter().all(|v| v.silent.contains(*name)));
        agreed.cloned().collect()
    }

    /// Returns the hub whose sums are followed, and whether they are another
    /// count than before.
    fn counted(&mut self, now: Time) -> (Option<SocketAddr>, bool) {
        let is_fresh = |at: &SocketAddr| {
            let view = self.hubs.get(at);
            view.is_some_and(|v| v.is_settled && now.since(v.heard) <= CUT_OFF_AFTER)
        };
        let kept = self.counted.filter(|(at, _)| is_fresh(at));
        let chosen = kept.map(|(at, _)| at);
        let chosen = chosen.or_else(|| self.hubs.keys().copied().filter(is_fresh).min());
        let next = chosen.map(|at| (at, self.hubs[&at].epoch));
        let is_new = next != self.counted;
        self.counted = next;
        (chosen, is_new)
    }
}

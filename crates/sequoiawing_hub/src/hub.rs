use crate::{
    DemandDeduplicator, LoaderOptions, UsageAggregator,
    evacuation::log_evacuations,
    loader, mirror,
    poison::{self, PoisonWatch},
    relay,
    service::HubService,
    upstream_limits::{self, UpstreamLimits},
};
use event_listener::Event;
use futures_lite::FutureExt;
use parking_lot::Mutex;
use sequoiawing_catalog::Document;
use sequoiawing_controller::ControllerHandle;
use sequoiawing_fleet::{Interest, Roster, RosterUpdate, UpstreamState};
use sequoiawing_link::{
    ControlError, GatewayReport, Hub as _, HubClient, HubInfo, LinkListener, MirrorReply,
    MirrorRequest, ModelDemand, OrderedEvictions, OrderedLoads, QuarantineReport, Secret, Stub,
    SyncReply, connection_handler,
};
use sequoiawing_policy::serving::{ColdBound, PlaceKeeper, StreamOrigins};
use sequoiawing_runtime::{Clock, Shutdown, Watch, sleep, spawn, timeout};
use sequoiawing_tables::{Command, Evacuations, Outcome};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeSet, HashMap},
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

/// How often outdated state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long one wait for a newer configuration lasts before it is renewed.
const REVISION_WAIT: Duration = Duration::from_secs(30);

/// Timeout of a call to the leader's hub. Callers of the operator's interface
/// turn to another host after a second.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(900);

/// The delay before a call is retried while the leader is unknown.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long after the start of a hub its usage totals may lack gateways. These
/// report to this or another hub within a few reporting intervals.
const USAGE_SETTLE_TIME: Duration = Duration::from_secs(2);

/// How long a hub may lack contact with the log's majority and still receive the
/// announcements of upstreams. An election takes less time.
const MAX_MAJORITY_AGE: Duration = Duration::from_secs(2);

/// Settings of a hub.
#[derive(Clone, Debug)]
pub struct HubSettings {
    /// The name of this host.
    pub host: Name,
    /// The data centre that this host is in.
    pub centre: Name,
    /// The address at which gateways and other hubs connect. The port is the
    /// same on all hosts with a hub.
    pub link: SocketAddr,
    /// The secret shared by all processes of the deployment.
    pub secret: Secret,
    /// How long after its last announcement an upstream counts as silent.
    pub silence_timeout: Duration,
    /// Whether the operators of this deployment evacuate data centres.
    pub evacuations: bool,
    /// The bound on requests to cold upstreams.
    pub cold: ColdBound,
}

/// The state of a hub.
pub(crate) struct HubState {
    pub(crate) settings: HubSettings,
    pub(crate) handle: ControllerHandle,
    pub(crate) epoch: u64,
    clock: Clock,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) usage: Mutex<UsageAggregator>,
    demand: Mutex<DemandDeduplicator>,
    /// The demand that the loader has not processed.
    pub(crate) pending_demand: Mutex<Vec<ModelDemand>>,
    /// The demand that has not been sent to the leader's hub.
    pub(crate) outgoing_demand: Mutex<Vec<ModelDemand>>,
    /// Notified when there is demand to send to the leader's hub.
    pub(crate) demand_queued: Event,
    /// Counts changes that gateways and other hubs should get without delay.
    pub(crate) changes: Watch<u64>,
    /// Counts wake-ups of the loader.
    pub(crate) loader_wakeups: Watch<u64>,
    /// The loads that this host ordered as the leader, and when it did.
    pub(crate) ordered_loads: Mutex<Option<(Time, OrderedLoads)>>,
    /// The evictions that the leader ordered, and when they were received.
    pub(crate) evictions: Mutex<Option<(Time, OrderedEvictions)>>,
    /// Counts changes of the loads that this host ordered.
    pub(crate) orders: Watch<u64>,
    /// When this host last gave an order to an engine.
    pub(crate) last_order: Mutex<Option<Time>>,
    /// The other hubs that do not answer.
    pub(crate) missing_hubs: Mutex<BTreeSet<IpAddr>>,
    /// The upstreams that gateways cannot reach.
    pub(crate) unreachable: Mutex<BTreeSet<Name>>,
    pub(crate) poison: Mutex<PoisonWatch>,
    /// Notified when a gateway has reported anything for `poison`.
    pub(crate) poison_reported: Event,
    pub(crate) limits: Mutex<UpstreamLimits>,
    /// Counts changes of the tokens granted to gateways.
    pub(crate) grants: Watch<u64>,
    /// The places at brittle upstreams, if this host leads.
    pub(crate) places: Mutex<PlaceKeeper>,
    /// The software versions that began the streams of gateways.
    pub(crate) streams: Mutex<StreamOrigins>,
    /// Whether the tables of this host have reached those of a leader since its start.
    pub(crate) is_caught_up: AtomicBool,
    stubs: Mutex<HashMap<IpAddr, Stub<HubClient>>>,
}

impl HubState {
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Returns the RPC client for the hub on another host.
    pub(crate) fn stub(&self, host: IpAddr) -> Stub<HubClient> {
        let mut stubs = self.stubs.lock();
        let stub = stubs.entry(host).or_insert_with(|| {
            let address = SocketAddr::new(host, self.settings.link.port());
            Stub::new(address, self.settings.secret.clone())
        });
        stub.clone()
    }

    /// Returns the addresses of all hosts with a hub.
    pub(crate) fn hubs(&self) -> Vec<IpAddr> {
        let members = self.handle.status().members;
        let mut hosts: Vec<IpAddr> = members.iter().map(|m| m.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Wakes the loader and the waiting requests of gateways and other hubs.
    pub(crate) fn notify_changed(&self) {
        self.changes.set(self.changes.get() + 1);
        self.wake_loader();
    }

    /// Records a gateway's report, and responds once there are changes or the wait
    /// is over.
    pub(crate) async fn sync(&self, report: &GatewayReport) -> SyncReply {
        self.record_report(report);
        let wait = Duration::from_millis(report.wait);
        let is_new = |seen: &u64| *seen != report.seen && !report.skips_roster;
        let gateway = (&report.host, report.incarnation);
        let has_grants = |_: &u64| {
            let limits = self.limits.lock();
            limits.has_news(self.now(), gateway, &report.tokens)
        };
        let changed = self.changes.wait_until(is_new);
        timeout(wait, changed.or(self.grants.wait_until(has_grants))).await;
        self.build_reply(report)
    }

    fn record_report(&self, report: &GatewayReport) {
        let new_demand = self.demand.lock().accept(report);
        if self.handle.leadership().is_some() {
            self.add_demand(new_demand);
        } else if !new_demand.is_empty() {
            self.outgoing_demand.lock().extend(new_demand);
            self.demand_queued.notify(1);
        }
        self.usage.lock().record(self.now(), report);
        self.update_unreachable();
        let gateway = (&report.host, report.incarnation);
        self.record_quarantine(gateway, Duration::ZERO, &report.quarantine);
        self.record_tokens(gateway, Duration::ZERO, &report.tokens);
        self.record_origins(&report.streams);
    }

    /// Records what a gateway knew of crashed upstreams `age` ago.
    pub(crate) fn record_quarantine(
        &self,
        gateway: (&Name, u64),
        age: Duration,
        report: &QuarantineReport,
    ) {
        let now = self.now();
        if self.poison.lock().record(now, gateway, age, report) {
            self.poison_reported.notify(usize::MAX);
        }
    }

    /// Adds demand for the loader if this host leads, and drops it otherwise.
    pub(crate) fn add_demand(&self, demand: Vec<ModelDemand>) {
        if demand.is_empty() || self.handle.leadership().is_none() {
            return;
        }
        let is_unmet = demand.iter().any(|d| d.missed + d.crowded > 0);
        self.pending_demand.lock().extend(demand);
        if is_unmet {
            self.wake_loader();
        }
    }

    /// Wakes the loader.
    pub(crate) fn wake_loader(&self) {
        self.loader_wakeups.set(self.loader_wakeups.get() + 1);
    }

    /// Updates the set of upstreams that gateways cannot reach.
    pub(crate) fn update_unreachable(&self) {
        let unreachable = self.usage.lock().unreachable(self.now());
        let mut current = self.unreachable.lock();
        if *current != unreachable {
            log::info!(
                target: "hub", upstreams = join_names(unreachable.iter());
                "Set of unreachable upstreams changed."
            );
            *current = unreachable;
            drop(current);
            self.wake_loader();
        }
    }

    /// Returns the information by which gateways choose among hubs.
    pub(crate) fn info(&self) -> HubInfo {
        HubInfo {
            centre: self.settings.centre.clone(),
            hubs: self.hubs(),
            leads: self.handle.leadership().is_some(),
            age: millis(self.handle.age()),
            order_age: millis(
                self.now()
                    .since(self.last_order.lock().unwrap_or(Time::ZERO)),
            ),
        }
    }

    fn build_reply(&self, report: &GatewayReport) -> SyncReply {
        let now = self.now();
        let seen = self.changes.get();
        let usage = self.usage.lock();
        let (gateways, missing) = usage.count_gateways(now);
        let used = usage.totals();
        let tunnel_hosts = usage.tunnel_hosts(now, &report.host, &report.lost);
        let incarnation = usage.incarnation_of(&report.host);
        let settled = !usage.is_rebuilt() || now >= Time::ZERO + USAGE_SETTLE_TIME;
        drop(usage);
        let roster = self.roster.lock();
        let roster_update = if report.skips_roster {
            RosterUpdate {
                cursor: report.cursor,
                ..RosterUpdate::default()
            }
        } else {
            roster.updates_at(now, report.cursor, Interest::Changes)
        };
        let silent = roster.silent(now, self.settings.silence_timeout);
        drop(roster);
        let tables = self.handle.tables();
        let held = report.catalog_version();
        let newer = tables.catalog().filter(|c| Some(c.version) > held);
        let evacuations = &tables.evacuations;
        let is_current = held.is_some() || self.may_start_gateways(now);
        SyncReply {
            epoch: self.epoch,
            facts: self.info(),
            catalog: newer.filter(|_| is_current).cloned(),
            evacuations: (is_current && evacuations.revision > report.evacuations)
                .then(|| evacuations.clone()),
            roster: roster_update,
            silent,
            used,
            settled,
            gateways,
            missing,
            evictions: self.evictions(now).filter(|_| !report.skips_roster),
            quarantine: self.poison.lock().update(now),
            tunnel_hosts,
            limits: {
                let limits = self.limits.lock();
                limits.update_for(now, (&report.host, report.incarnation))
            },
            incarnation,
            seen,
        }
    }

    /// Responds to another hub once there are changes or the wait is over.
    pub(crate) async fn mirror(&self, request: &MirrorRequest) -> MirrorReply {
        let wait = Duration::from_millis(request.wait);
        let is_new = |seen: &u64| *seen != request.seen;
        let granted = self.grants.get();
        let changed = self.changes.wait_until(is_new);
        let has_granted = self.grants.wait_until(|count| *count != granted);
        timeout(wait, changed.or(has_granted)).await;
        let now = self.now();
        let seen = self.changes.get();
        let roster = self.roster.lock();
        let interest = if request.wants_all {
            Interest::Announcements
        } else {
            Interest::OwnAnnouncements
        };
        let roster = roster.updates_at(now, request.cursor, interest);
        let usage = self.usage.lock();
        let (stamp, uses) = usage.changes_since(now, request.stamp, request.wants_all);
        drop(usage);
        let leads = self.handle.leadership().is_some();
        MirrorReply {
            roster,
            uses,
            stamp,
            evictions: self.evictions(now).filter(|_| leads),
            limits: self.limits.lock().update(now).filter(|_| leads),
            revision: leads.then(|| self.handle.tables().revision),
            seen,
        }
    }

    fn expire(&self) {
        let now = self.now();
        self.roster.lock().expire(now);
        self.usage.lock().expire(now);
        self.places.lock().expire(now);
    }

    /// Commits a configuration through the log.
    pub(crate) async fn replace_as_leader(&self, document: Document) -> Result<u64, ControlError> {
        match self.handle.propose(&Command::Replace(document)).await? {
            Outcome::Replaced(version) => Ok(version),
            _ => Err(ControlError::Uncertain),
        }
    }

    /// Returns the active configuration if this host leads; without a text if there is none.
    pub(crate) async fn document_as_leader(&self) -> Result<Document, ControlError> {
        Ok(self.handle.read().await?.document().unwrap_or_default())
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let roster = self.roster.lock();
        let upstreams: Vec<&UpstreamState> = roster.live().map(Arc::as_ref).collect();
        serde_json::json!({
            "upstreams": upstreams,
            "usage": *self.usage.lock(),
            "ordered": self.ordered_loads(self.now()),
            "evictions": self.evictions(self.now()),
            "quarantine": self.poison.lock().dump(self.now()),
            "streams": self.streams.lock().len(),
            "version": self.handle.tables().catalog().map(|c| c.version),
            "evacuations": self.handle.tables().evacuations,
        })
    }
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Joins names with blanks for the log.
pub(crate) fn join_names<'a, I>(names: I) -> String
where
    I: IntoIterator<Item = &'a Name>,
{
    let names: Vec<&str> = names.into_iter().map(Name::as_str).collect();
    names.join(" ")
}

/// A running hub.
#[derive(Clone)]
pub struct Hub {
    pub(crate) state: Arc<HubState>,
}

impl Hub {
    /// Starts a hub in the process of a controller, until shutdown starts. The
    /// loader runs only with `options`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the address cannot be bound.
    pub async fn start(
        settings: HubSettings,
        handle: ControllerHandle,
        options: Option<LoaderOptions>,
        shutdown: Shutdown,
    ) -> io::Result<Self> {
        let listener = LinkListener::bind(settings.link, settings.secret.clone()).await?;
        let epoch = rand::random();
        let state = Arc::new(HubState {
            settings,
            handle,
            epoch,
            clock: Clock::start(),
            roster: Mutex::new(Roster::new(epoch)),
            usage: Mutex::default(),
            demand: Mutex::default(),
            pending_demand: Mutex::default(),
            outgoing_demand: Mutex::default(),
            demand_queued: Event::new(),
            changes: Watch::default(),
            loader_wakeups: Watch::default(),
            ordered_loads: Mutex::default(),
            evictions: Mutex::default(),
            orders: Watch::default(),
            last_order: Mutex::default(),
            missing_hubs: Mutex::default(),
            unreachable: Mutex::default(),
            poison: Mutex::default(),
            poison_reported: Event::new(),
            limits: Mutex::default(),
            grants: Watch::default(),
            places: Mutex::default(),
            streams: Mutex::default(),
            is_caught_up: AtomicBool::new(false),
            stubs: Mutex::default(),
        });
        let service = HubService {
            state: state.clone(),
        };
        spawn(listener.serve(connection_handler!(service.serve()), shutdown.clone())).detach();
        spawn(mirror::mirror_other_hubs(state.clone(), shutdown.clone())).detach();
        spawn(relay::relay_demand(state.clone(), shutdown.clone())).detach();
        spawn(poison::detect(state.clone(), shutdown.clone())).detach();
        spawn(upstream_limits::grant_tokens(
            state.clone(),
            shutdown.clone(),
        ))
        .detach();
        if let Some(options) = options {
            spawn(loader::run(state.clone(), options, shutdown.clone())).detach();
        }
        let watcher_state = state.clone();
        spawn(shutdown.clone().run_until_shutdown(async move {
            let mut revision = watcher_state.handle.tables().revision;
            let mut evacuated = Evacuations::default();
            loop {
                if let Some(tables) = watcher_state
                    .handle
                    .wait_for_newer(revision, REVISION_WAIT)
                    .await
                {
                    revision = tables.revision;
                    log_evacuations(&mut evacuated, &tables.evacuations);
                    watcher_state.notify_changed();
                }
            }
        }))
        .detach();
        let departures = state.clone().follow_departures();
        spawn(shutdown.clone().run_until_shutdown(departures)).detach();
        let expiry_state = state.clone();
        spawn(async move {
            while shutdown.or(sleep(EXPIRY_INTERVAL)).await.is_some() {
                expiry_state.expire();
            }
        })
        .detach();
        Ok(Self { state })
    }

    /// Returns whether the active configuration has a pool; `None` if there is no
    /// configuration.
    pub fn has_pool(&self, pool: &Name) -> Option<bool> {
        let tables = self.state.handle.tables();
        let mut pools = tables.catalog()?.pools.iter();
        Some(pools.any(|p| p.name == *pool))
    }

    /// Returns whether the upstreams of a pool are engines, which serve models.
    pub fn has_engines(&self, pool: &Name) -> bool {
        let tables = self.state.handle.tables();
        let mut pools = tables.catalog().into_iter().flat_map(|c| &c.pools);
        pools.any(|p| p.name == *pool && p.engine.is_some())
    }

    /// Returns whether this host recently had contact with the log's majority.
    ///
    /// Upstreams should announce themselves to another hub while it has not: the
    /// majority, which orders loads and serves the gateways, would consider them
    /// silent. Announcements to this hub still count.
    pub fn has_majority_contact(&self) -> bool {
        self.state.handle.age() <= MAX_MAJORITY_AGE
    }

    /// Returns the leader's address if another host leads.
    pub fn remote_leader(&self) -> Option<IpAddr> {
        let leader = self.state.handle.status().leader?.ip();
        (leader != self.state.settings.link.ip()).then_some(leader)
    }

    /// Commits a configuration on a majority if it is newer than the active one,
    /// and returns the active version.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader confirmed it in time; it may still be
    /// committed later.
    pub async fn replace(&self, document: Document) -> Result<u64, ControlError> {
        let version = document.catalog.version;
        let tables = self.state.handle.tables();
        // A configuration that is applied here is committed.
        if let Some(current) = tables.catalog().filter(|c| c.version >= version) {
            return Ok(current.version);
        }
        self.call_leader(
            || self.state.replace_as_leader(document.clone()),
            |stub| {
                let document = document.clone();
                let call =
                    async move |client: HubClient, context| client.replace(context, document).await;
                async move { stub.call(LEADER_TIMEOUT, call).await }
            },
        )
        .await
    }

    /// Returns the active configuration, if there is one, as of a time after the call
    /// (linearizable read).
    ///
    /// # Errors
    ///
    /// Returns an error when no leader confirmed it in time.
    pub async fn document(&self) -> Result<Option<Document>, ControlError> {
        let document = self.call_leader(
            || self.state.document_as_leader(),
            |stub| async move {
                let call = async |client: HubClient, context| client.document(context).await;
                stub.call(LEADER_TIMEOUT, call).await
            },
        );
        Ok(document.await?.into_submitted())
    }

    /// Returns the state as JSON, without secrets.
    pub fn dump(&self) -> serde_json::Value {
        self.state.dump()
    }

    /// Runs `local` if this controller leads, or else `remote` at the leader's
    /// hub. Retries until one succeeds or the timeout has passed.
    pub(crate) async fn call_leader<T, L, LF, R, RF>(
        &self,
        local: L,
        remote: R,
    ) -> Result<T, ControlError>
    where
        L: Fn() -> LF,
        LF: Future<Output = Result<T, ControlError>>,
        R: Fn(Stub<HubClient>) -> RF,
        RF: Future<Output = Result<Result<T, ControlError>, sequoiawing_link::LinkError>>,
    {
        let calls = async {
            loop {
                let failure = match local().await {
                    Err(ControlError::NotLeader { leader: Some(at) }) => {
                        match remote(self.state.stub(at.ip())).await {
                            Ok(Err(error @ ControlError::NotLeader { .. })) => error,
                            Ok(result) => return result,
                            Err(error) => {
                                log::warn!(target: "hub", "Call to the leader's hub failed: {error}.");
                                ControlError::Uncertain
                            }
                        }
                    }
                    Err(error @ ControlError::NotLeader { .. }) => error,
                    result => return result,
                };
                if failure == ControlError::Uncertain {
                    return Err(failure);
                }
                sleep(LEADER_RETRY_DELAY).await;
            }
        };
        let result = timeout(LEADER_TIMEOUT, Box::pin(calls)).await;
        result.unwrap_or(Err(ControlError::Uncertain))
    }
}

use crate::{DemandBoard, Ordering, UsageBoard, loader, mirror, relay, service::HubService};
use event_listener::Event;
use parking_lot::Mutex;
use sequoiawing_catalog::Document;
use sequoiawing_controller::ControllerHandle;
use sequoiawing_fleet::{Interest, Roster, UpstreamState};
use sequoiawing_link::{
    ControlError, GatewayReport, Hub as _, HubClient, HubFacts, HubNews, LinkListener, MirrorNews,
    MirrorRequest, ModelDemand, OrderedLoads, PlannedLoad, Secret, Stub, answer_calls,
};
use sequoiawing_runtime::{Clock, Shutdown, Watch, sleep, spawn, timeout};
use sequoiawing_tables::{Command, Outcome};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeSet, HashMap},
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// How often what is old is forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long one wait for a newer configuration lasts.
const REVISION_WAIT: Duration = Duration::from_secs(30);

/// How long a call to the hub that leads may take; callers of the operator's
/// interface turn to another host after a second.
const LEADER_LIMIT: Duration = Duration::from_millis(900);

/// How long a proposal waits before it asks again who leads.
const LEADER_PAUSE: Duration = Duration::from_millis(50);

/// How long after the start of a hub its sums may lack gateways: they report
/// to it or to another hub within a few of their intervals.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// How long what a leader ordered is passed on without news of it.
const ORDERED_LIFE: Duration = Duration::from_secs(2);

/// How long a hub may be out of touch with the log's majority and still be told
/// what upstreams announce; an election is over by then.
const LINKED_AGE: Duration = Duration::from_secs(2);

/// The settings of a hub.
#[derive(Clone, Debug)]
pub struct HubSettings {
    /// The name of this host.
    pub host: Name,
    /// The data centre of this host.
    pub centre: Name,
    /// Where gateways and other hubs connect; the port is the same on all
    /// hosts with a hub.
    pub link: SocketAddr,
    /// The secret that all processes of the deployment share.
    pub secret: Secret,
    /// How long an upstream may announce nothing before it counts as silent.
    pub silence: Duration,
}

/// What a hub knows.
pub(crate) struct HubState {
    pub(crate) settings: HubSettings,
    pub(crate) handle: ControllerHandle,
    pub(crate) epoch: u64,
    clock: Clock,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) usage: Mutex<UsageBoard>,
    demand: Mutex<DemandBoard>,
    /// The demand that the loader has not seen.
    pub(crate) fresh: Mutex<Vec<ModelDemand>>,
    /// The demand that the leader's hub has not been told.
    pub(crate) relayed: Mutex<Vec<ModelDemand>>,
    /// Notified when there is demand to relay.
    pub(crate) relaying: Event,
    /// Counts what gateways and other hubs should look at soon.
    pub(crate) stirred: Watch<u64>,
    /// Counts what the loader alone should look at soon.
    pub(crate) asked: Watch<u64>,
    /// What the leader ordered, and when that was heard.
    pub(crate) ordered: Mutex<Option<(Time, OrderedLoads)>>,
    /// When this host gave its last order.
    pub(crate) last_order: Mutex<Option<Time>>,
    /// The upstreams that gateways can't reach.
    pub(crate) unreachable: Mutex<BTreeSet<Name>>,
    stubs: Mutex<HashMap<IpAddr, Stub<HubClient>>>,
}

impl HubState {
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Returns the client of the hub on another host.
    pub(crate) fn stub(&self, host: IpAddr) -> Stub<HubClient> {
        let mut stubs = self.stubs.lock();
        let stub = stubs.entry(host).or_insert_with(|| {
            let address = SocketAddr::new(host, self.settings.link.port());
            Stub::new(address, self.settings.secret.clone())
        });
        stub.clone()
    }

    /// Returns the hosts of all hubs.
    pub(crate) fn hubs(&self) -> Vec<IpAddr> {
        let members = self.handle.status().members;
        let mut hosts: Vec<IpAddr> = members.iter().map(|m| m.address.ip()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Has gateways, other hubs and the loader look again.
    pub(crate) fn stir(&self) {
        self.stirred.set(self.stirred.get() + 1);
        self.wake_loader();
    }

    /// Takes in a report, and answers as soon as something is new.
    pub(crate) async fn sync(&self, report: &GatewayReport) -> HubNews {
        self.take(report);
        let wait = Duration::from_millis(report.wait);
        let is_new = |seen: &u64| *seen != report.seen;
        timeout(wait, self.stirred.wait_until(is_new)).await;
        self.news(report)
    }

    fn take(&self, report: &GatewayReport) {
        let fresh = self.demand.lock().take(report);
        if self.handle.leadership().is_some() {
            self.take_demand(fresh);
        } else if !fresh.is_empty() {
            self.relayed.lock().extend(fresh);
            self.relaying.notify(1);
        }
        self.usage.lock().take(self.now(), report);
        self.look_at_reach();
    }

    /// Hands demand to the loader, if it works here.
    pub(crate) fn take_demand(&self, fresh: Vec<ModelDemand>) {
        if fresh.is_empty() || self.handle.leadership().is_none() {
            return;
        }
        let has_missed = fresh.iter().any(|d| d.missed + d.crowded > 0);
        self.fresh.lock().extend(fresh);
        if has_missed {
            self.wake_loader();
        }
    }

    /// Has the loader look again.
    pub(crate) fn wake_loader(&self) {
        self.asked.set(self.asked.get() + 1);
    }

    /// Finds out which upstreams gateways can't reach.
    pub(crate) fn look_at_reach(&self) {
        let unreachable = self.usage.lock().unreachable(self.now());
        let mut known = self.unreachable.lock();
        if *known != unreachable {
            log::info!(
                target: "hub", upstreams = names(unreachable.iter());
                "Other upstreams are out of the gateways' reach than before."
            );
            *known = unreachable;
            drop(known);
            self.wake_loader();
        }
    }

    /// Returns what this hub is.
    pub(crate) fn facts(&self) -> HubFacts {
        HubFacts {
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

    fn news(&self, report: &GatewayReport) -> HubNews {
        let now = self.now();
        let seen = self.stirred.get();
        let usage = self.usage.lock();
        let (gateways, missing) = usage.gateways(now);
        let used = usage.totals();
        let settled = !usage.is_rebuilt() || now >= Time::ZERO + SETTLED_AFTER;
        drop(usage);
        let roster = self.roster.lock();
        let news = roster.since(report.cursor, Interest::Changes);
        let silent = roster.silent(now, self.settings.silence);
        drop(roster);
        let catalog = self.handle.tables().catalog.clone();
        HubNews {
            epoch: self.epoch,
            facts: self.facts(),
            catalog: (catalog.version > report.version).then_some(catalog),
            roster: news,
            silent,
            used,
            settled,
            gateways,
            missing,
            ordered: self.ordered(now),
            seen,
        }
    }

    /// Answers another hub, as soon as something is new.
    pub(crate) async fn mirror(&self, request: &MirrorRequest) -> MirrorNews {
        let wait = Duration::from_millis(request.wait);
        let is_new = |seen: &u64| *seen != request.seen;
        timeout(wait, self.stirred.wait_until(is_new)).await;
        let now = self.now();
        let seen = self.stirred.get();
        let roster = self.roster.lock();
        let roster = roster.since(request.cursor, Interest::Announcements);
        let (stamp, uses) = self.usage.lock().since(now, request.stamp);
        let leads = self.handle.leadership().is_some();
        MirrorNews {
            roster,
            uses,
            stamp,
            ordered: self.ordered(now).filter(|_| leads),
            seen,
        }
    }

    /// Takes in what the leader's hub says that it ordered.
    pub(crate) fn take_ordered(&self, ordered: OrderedLoads) {
        let now = self.now();
        let mut known = self.ordered.lock();
        if known.as_ref().is_some_and(|(_, o)| o.term > ordered.term) {
            return;
        }
        let names = |ordered: &OrderedLoads| -> Vec<(Name, Name)> {
            let loads = ordered.loads.iter();
            loads
                .map(|l| (l.model.clone(), l.upstream.clone()))
                .collect()
        };
        let is_same = known.as_ref().is_some_and(|(_, former)| {
            former.evicted == ordered.evicted && names(former) == names(&ordered)
        });
        *known = Some((now, ordered));
        drop(known);
        if !is_same {
            self.stir();
        }
    }

    /// Returns what the leader ordered, by the time of now.
    fn ordered(&self, now: Time) -> Option<OrderedLoads> {
        let ordered = self.ordered.lock().clone();
        let (at, ordered) = ordered.filter(|(at, _)| now.since(*at) <= ORDERED_LIFE)?;
        let age = millis(now.since(at));
        let aged = ordered.loads.into_iter().map(|load| PlannedLoad {
            ready: load.ready.saturating_sub(age),
            late: load.late + age.saturating_sub(load.ready),
            ..load
        });
        Some(OrderedLoads {
            loads: aged.collect(),
            ..ordered
        })
    }

    fn expire(&self) {
        let now = self.now();
        self.roster.lock().expire(now);
        self.usage.lock().expire(now);
    }

    /// Puts a configuration in force through the log.
    pub(crate) async fn replace_here(&self, document: Document) -> Result<u64, ControlError> {
        match self.handle.propose(&Command::Replace(document)).await? {
            Outcome::Replaced(version) => Ok(version),
            _ => Err(ControlError::Uncertain),
        }
    }

    /// Returns the configuration in force, if this host leads.
    pub(crate) async fn document_here(&self) -> Result<Document, ControlError> {
        Ok(self.handle.read().await?.document())
    }

    pub(crate) fn dump(&self) -> serde_json::Value {
        let roster = self.roster.lock();
        let upstreams: Vec<&UpstreamState> = roster.present().map(Arc::as_ref).collect();
        serde_json::json!({
            "upstreams": upstreams,
            "usage": *self.usage.lock(),
            "ordered": self.ordered(self.now()),
            "version": self.handle.tables().catalog.version,
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Lists names for the log.
pub(crate) fn names<'a, I>(names: I) -> String
where
    I: IntoIterator<Item = &'a Name>,
{
    let names: Vec<&str> = names.into_iter().map(Name::as_str).collect();
    names.join(" ")
}

/// A running hub.
#[derive(Clone)]
pub struct Hub {
    state: Arc<HubState>,
}

impl Hub {
    /// Starts a hub beside a controller.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address is taken.
    pub async fn start(
        settings: HubSettings,
        handle: ControllerHandle,
        ordering: Option<Ordering>,
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
            fresh: Mutex::default(),
            relayed: Mutex::default(),
            relaying: Event::new(),
            stirred: Watch::default(),
            asked: Watch::default(),
            ordered: Mutex::default(),
            last_order: Mutex::default(),
            unreachable: Mutex::default(),
            stubs: Mutex::default(),
        });
        let service = HubService {
            state: state.clone(),
        };
        spawn(listener.serve(answer_calls!(service.serve()), shutdown.clone())).detach();
        spawn(mirror::follow_others(state.clone(), shutdown.clone())).detach();
        spawn(relay::relay_demand(state.clone(), shutdown.clone())).detach();
        if let Some(ordering) = ordering {
            spawn(loader::run(state.clone(), ordering, shutdown.clone())).detach();
        }
        let watching = state.clone();
        spawn(shutdown.clone().run_until_shutdown(async move {
            let mut revision = watching.handle.tables().revision;
            loop {
                if let Some(tables) = watching
                    .handle
                    .wait_for_newer(revision, REVISION_WAIT)
                    .await
                {
                    revision = tables.revision;
                    watching.stir();
                }
            }
        }))
        .detach();
        let expiring = state.clone();
        spawn(async move {
            while shutdown.or(sleep(EXPIRY_INTERVAL)).await.is_some() {
                expiring.expire();
            }
        })
        .detach();
        Ok(Self { state })
    }

    /// Reports whether the configuration in force has a pool; nothing when
    /// there is no configuration.
    pub fn knows_pool(&self, pool: &Name) -> Option<bool> {
        let catalog = self.state.handle.tables().catalog.clone();
        let is_known = catalog.pools.iter().any(|p| p.name == *pool);
        (catalog.version > 0).then_some(is_known)
    }

    /// Reports whether the log's majority was lately in touch with this host.
    ///
    /// Upstreams should announce themselves to another hub while it is not: the
    /// majority, which orders loads and to which gateways turn, would take them
    /// for silent. What they announce here counts all the same.
    pub fn is_linked(&self) -> bool {
        self.state.handle.age() <= LINKED_AGE
    }

    /// Returns the host that leads, if it is another.
    pub fn leader(&self) -> Option<IpAddr> {
        let leader = self.state.handle.status().leader?.ip();
        (leader != self.state.settings.link.ip()).then_some(leader)
    }

    /// Takes in the announcement of an upstream.
    pub fn announce(&self, state: &UpstreamState) {
        let now = self.state.now();
        let (name, leaving) = (state.name.clone(), state.leaving);
        let version = state.version();
        let changed = self.state.roster.lock().announce(now, state.clone());
        if changed {
            log::info!(
                target: "hub", upstream = name.as_str(), leaving = leaving,
                start = version.0, sequence = version.1, loaded = names(&state.loaded),
                disk = state.disk.len(), memory = state.cached.len();
                "An upstream announced a change."
            );
            self.state.stir();
        }
    }

    /// Takes in that an upstream has left; `epoch` names its start, if known.
    pub fn leave(&self, name: &Name, epoch: Option<u64>) {
        let now = self.state.now();
        let changed = self.state.roster.lock().leave(now, name, epoch);
        log::info!(
            target: "hub", upstream = name.as_str(), known = changed;
            "An upstream left."
        );
        self.state.stir();
    }

    /// Puts a configuration in force on a majority, unless the present one is
    /// as new, and returns the version in force.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader took it in time; it may still come into
    /// force.
    pub async fn replace(&self, document: Document) -> Result<u64, ControlError> {
        let version = document.catalog.version;
        let known = self.state.handle.tables().catalog.version;
        // What is applied here is committed.
        if version <= known {
            return Ok(known);
        }
        self.at_leader(
            || self.state.replace_here(document.clone()),
            |stub| {
                let document = document.clone();
                let call =
                    async move |client: HubClient, context| client.replace(context, document).await;
                async move { stub.call(LEADER_LIMIT, call).await }
            },
        )
        .await
    }

    /// Returns the configuration in force as of a moment after the call.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader could vouch for it in time.
    pub async fn document(&self) -> Result<Document, ControlError> {
        self.at_leader(
            || self.state.document_here(),
            |stub| async move {
                let call = async |client: HubClient, context| client.document(context).await;
                stub.call(LEADER_LIMIT, call).await
            },
        )
        .await
    }

    /// Returns the whole state as JSON, without secrets.
    pub fn dump(&self) -> serde_json::Value {
        self.state.dump()
    }

    /// Makes a call here if this controller leads, or else at the hub of the
    /// one that does, until one answers or the time is up.
    async fn at_leader<T, H, HF, R, RF>(&self, here: H, remote: R) -> Result<T, ControlError>
    where
        H: Fn() -> HF,
        HF: Future<Output = Result<T, ControlError>>,
        R: Fn(Stub<HubClient>) -> RF,
        RF: Future<Output = Result<Result<T, ControlError>, sequoiawing_link::LinkError>>,
    {
        let work = async {
            loop {
                let failed = match here().await {
                    Err(ControlError::NotLeader { leader: Some(at) }) => {
                        match remote(self.state.stub(at.ip())).await {
                            Ok(Err(error @ ControlError::NotLeader { .. })) => error,
                            Ok(result) => return result,
                            Err(error) => {
                                log::warn!(target: "hub", "The leader did not answer: {error}.");
                                ControlError::Uncertain
                            }
                        }
                    }
                    Err(error @ ControlError::NotLeader { .. }) => error,
                    result => return result,
                };
                if failed == ControlError::Uncertain {
                    return Err(failed);
                }
                sleep(LEADER_PAUSE).await;
            }
        };
        let answered = timeout(LEADER_LIMIT, Box::pin(work)).await;
        answered.unwrap_or(Err(ControlError::Uncertain))
    }
}

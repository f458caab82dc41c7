//! Orders engines to load models while this host is the leader.

use crate::{
    EngineOrder, LoaderOptions, handover,
    hub::{HubState, join_names},
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use sequoiawing_controller::Leadership;
use sequoiawing_fleet::{Cursor, Interest, UpstreamState};
use sequoiawing_link::{OrderedEvictions, OrderedLoads, PlannedLoad};
use sequoiawing_policy::serving::{EngineReply, LoaderAction, LoaderEvent, ModelLoader};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// How often the loader checks for timeouts and other effects of time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum time between two updates of the loader.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// The term of a deployment's first leader, which has no predecessor.
const FIRST_TERM: u64 = 1;

/// How often other hosts check whether they have become the leader.
const LEADERSHIP_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the loader in each term that this host leads, until shutdown starts.
pub(crate) async fn run(state: Arc<HubState>, options: LoaderOptions, shutdown: Shutdown) {
    while shutdown.or(sleep(LEADERSHIP_INTERVAL)).await.is_some() {
        let Some(lease) = state.handle.leadership() else {
            continue;
        };
        let has_predecessor = lease.term > FIRST_TERM;
        log::info!(target: "loader", term = lease.term, waits = has_predecessor; "Loader started: this host is the leader.");
        if has_predecessor {
            let wait = handover::wait_until_quiet(&state, options.handover);
            if shutdown.or(wait).await.is_none() {
                return;
            }
            log::info!(target: "loader", term = lease.term; "Loader handover complete: no other host gives orders.");
        }
        let loader = LoaderTerm::new(state.clone(), options.clone(), lease.term);
        if shutdown.or(loader.run()).await.is_none() {
            return;
        }
        *state.ordered_loads.lock() = None;
        log::info!(target: "loader", term = lease.term; "Loader stopped: this host no longer leads.");
    }
}

/// The loader in one term that this host leads.
struct LoaderTerm {
    state: Arc<HubState>,
    options: LoaderOptions,
    term: u64,
    loader: ModelLoader,
    /// The version of the configuration that the loader knows.
    version: Option<u64>,
    /// The revision of the evacuated data centres that the loader knows.
    evacuations: u64,
    cursor: Cursor,
    engines: BTreeMap<Name, Arc<UpstreamState>>,
    silent: BTreeSet<Name>,
    sender: Sender<LoaderEvent>,
    results: Receiver<LoaderEvent>,
}

impl LoaderTerm {
    fn new(state: Arc<HubState>, options: LoaderOptions, term: u64) -> Self {
        let (sender, results) = async_channel::unbounded();
        state.pending_demand.lock().clear();
        Self {
            loader: ModelLoader::new(options.loader),
            state,
            options,
            term,
            version: None,
            evacuations: 0,
            cursor: Cursor::default(),
            engines: BTreeMap::new(),
            silent: BTreeSet::new(),
            sender,
            results,
        }
    }

    /// Returns the lease of this term while it is valid.
    fn lease(&self) -> Option<Leadership> {
        let lease = self.state.handle.leadership();
        lease.filter(|lease| lease.term == self.term)
    }

    async fn run(mut self) {
        let mut seen = self.state.loader_wakeups.get();
        while self.lease().is_some() {
            self.update();
            let wakeups = self.state.loader_wakeups.clone();
            let woken = async {
                wakeups.wait_until(|now| *now != seen).await;
                None
            };
            let result = async { self.results.recv().await.ok() };
            let tick = async {
                sleep(TICK_INTERVAL).await;
                None
            };
            let first = result.or(woken).or(tick).await;
            sleep(MIN_INTERVAL).await;
            seen = wakeups.get();
            let results = std::iter::from_fn(|| self.results.try_recv().ok());
            let results: Vec<_> = first.into_iter().chain(results).collect();
            for result in results {
                self.handle_event(result);
            }
        }
    }

    fn handle_event(&mut self, event: LoaderEvent) {
        let now = self.state.now();
        let mut out = Vec::new();
        self.loader.handle(now, event, &mut out);
        self.execute(out);
    }

    /// Passes changes to the loader and executes its decisions.
    fn update(&mut self) {
        let now = self.state.now();
        let tables = self.state.handle.tables();
        let catalog = tables.catalog().cloned();
        if tables.evacuations.revision != self.evacuations {
            self.evacuations = tables.evacuations.revision;
            let centres = tables.evacuations.centres.clone();
            log::info!(
                target: "loader", centres = join_names(&centres), revision = self.evacuations;
                "Evacuated data centres changed; no loads are ordered in them."
            );
            self.handle_event(LoaderEvent::Evacuated(centres));
        }
        if let Some(catalog) = catalog.filter(|c| Some(c.version) > self.version) {
            self.version = Some(catalog.version);
            self.handle_event(LoaderEvent::Catalog(catalog));
            // Pools may have become pools of engines, so all upstreams are read
            // again.
            self.cursor = Cursor::default();
        }
        self.process_roster(now);
        let unreachable = self.state.unreachable.lock().clone();
        self.handle_event(LoaderEvent::Unreachable(unreachable));
        let demands = std::mem::take(&mut *self.state.pending_demand.lock());
        for demand in demands {
            if let Some(software) = demand.software {
                self.handle_event(LoaderEvent::StreamMissed {
                    pool: demand.pool,
                    model: demand.model,
                    software,
                });
                continue;
            }
            self.handle_event(LoaderEvent::Demand {
                pool: demand.pool,
                model: demand.model,
                adapter: demand.adapter,
                requests: demand.asked,
                patient: demand.patient,
                missed: demand.missed,
                saturated: demand.crowded,
                late: demand.late,
            });
        }
        self.handle_event(LoaderEvent::Tick);
        self.publish(now);
    }

    fn process_roster(&mut self, now: Time) {
        let roster = self.state.roster.lock();
        let changes = roster.updates_at(now, self.cursor, Interest::Announcements);
        let silent = roster.silent(now, self.state.settings.silence_timeout);
        drop(roster);
        self.cursor = changes.cursor;
        let silent: BTreeSet<Name> = silent.into_iter().collect();
        for name in silent.difference(&self.silent).cloned().collect::<Vec<_>>() {
            log::info!(target: "loader", upstream = name.as_str(); "Upstream is silent.");
            self.handle_event(LoaderEvent::Gone(name));
        }
        self.silent = silent;
        for listed in changes.listed {
            let name = listed.state.name.clone();
            if listed.gone {
                self.engines.remove(&name);
                self.handle_event(LoaderEvent::Gone(name));
                continue;
            }
            self.engines.insert(name, listed.state.clone());
            self.handle_event(LoaderEvent::Upstream(listed.state));
        }
    }

    /// Publishes the current loads, to gateways that ask for them, and the evictions, to
    /// all gateways and other hubs.
    fn publish(&self, now: Time) {
        let plans = self.loader.plans().into_iter();
        let loads = plans.map(|plan| {
            let ready = plan.ready.since(now).as_millis();
            let late = now.since(plan.ready).as_millis();
            PlannedLoad {
                pool: plan.pool,
                model: plan.model,
                upstream: plan.engine,
                ready: u64::try_from(ready).unwrap_or(u64::MAX),
                late: u64::try_from(late).unwrap_or(u64::MAX),
            }
        });
        self.state.set_ordered_loads(OrderedLoads {
            term: self.term,
            loads: loads.collect(),
        });
        self.state.set_evictions(OrderedEvictions {
            term: self.term,
            evicted: self.loader.evicted(),
        });
    }

    fn execute(&self, actions: Vec<LoaderAction>) {
        for action in actions {
            match action {
                LoaderAction::QueryState(name) => self.request_report(name),
                LoaderAction::Order {
                    engine,
                    kind,
                    expected,
                } => {
                    let order = EngineOrder {
                        kind,
                        holder: self.state.settings.host.clone(),
                        fence: self.term,
                        expected: Some(expected),
                    };
                    self.send_order(engine, order);
                }
            }
        }
    }

    fn request_report(&self, name: Name) {
        let client = self.options.client.clone();
        let engine = self.engines.get(&name).cloned();
        let sender = self.sender.clone();
        spawn(async move {
            let report = match &engine {
                Some(engine) => client.fetch_report(engine).await,
                None => None,
            };
            match &report {
                Some(report) => log::info!(
                    target: "loader", upstream = name.as_str(), busy = report.busy,
                    accepted = report.accepted, loaded = join_names(&report.loaded);
                    "Engine state received."
                ),
                None => log::warn!(
                    target: "loader", upstream = name.as_str();
                    "Engine did not report its state."
                ),
            }
            let engine = name;
            sender
                .send(LoaderEvent::Reported { engine, report })
                .await
                .ok();
        })
        .detach();
    }

    fn send_order(&self, name: Name, order: EngineOrder) {
        let client = self.options.client.clone();
        let engine = self.engines.get(&name).cloned();
        let sender = self.sender.clone();
        let lease = self.lease();
        let state = self.state.clone();
        *state.last_order.lock() = Some(state.now());
        spawn(async move {
            // The process may have been suspended since the order was decided.
            let may_order = lease.is_some_and(|l| l.is_valid());
            let reply = match &engine {
                Some(engine) if may_order => client.send_order(engine, &order).await,
                _ => EngineReply::Fenced,
            };
            *state.last_order.lock() = Some(state.now());
            log::info!(
                target: "loader", upstream = name.as_str(), order = format!("{:?}", order.kind),
                term = order.fence, expected = order.expected, reply = format!("{reply:?}");
                "Engine order finished."
            );
            let engine = name;
            sender
                .send(LoaderEvent::OrderAnswered { engine, reply })
                .await
                .ok();
        })
        .detach();
    }
}

//! Orders engines to load models while this host leads.

use crate::{
    EngineOrder, Ordering, handover,
    hub::{HubState, names},
};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use sequoiawing_controller::Leadership;
use sequoiawing_fleet::{Cursor, Interest, UpstreamState};
use sequoiawing_link::{OrderedLoads, PlannedLoad};
use sequoiawing_policy::serving::{EngineReply, LoaderAction, LoaderEvent, ModelLoader};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// How often the loader looks at what time has changed.
const INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two looks.
const LEAST_INTERVAL: Duration = Duration::from_millis(15);

/// The term of the first leader that a deployment has.
const FIRST_TERM: u64 = 1;

/// How often a host that does not lead looks whether it does.
const LEAD_INTERVAL: Duration = Duration::from_millis(200);

/// Runs until shutdown starts.
pub(crate) async fn run(state: Arc<HubState>, ordering: Ordering, shutdown: Shutdown) {
    while shutdown.or(sleep(LEAD_INTERVAL)).await.is_some() {
        let Some(lease) = state.handle.leadership() else {
            continue;
        };
        let has_predecessor = lease.term > FIRST_TERM;
        log::info!(target: "loader", term = lease.term, waits = has_predecessor; "This host gives the orders.");
        if has_predecessor {
            let wait = handover::wait(&state, ordering.handover);
            if shutdown.or(wait).await.is_none() {
                return;
            }
            log::info!(target: "loader", term = lease.term; "No other host gives orders.");
        }
        let lead = Lead::new(state.clone(), ordering.clone(), lease.term);
        if shutdown.or(lead.run()).await.is_none() {
            return;
        }
        *state.ordered.lock() = None;
        log::info!(target: "loader", term = lease.term; "This host gives no more orders.");
    }
}

/// One term in which this host gives the orders.
struct Lead {
    state: Arc<HubState>,
    ordering: Ordering,
    term: u64,
    loader: ModelLoader,
    version: u64,
    cursor: Cursor,
    engines: BTreeMap<Name, Arc<UpstreamState>>,
    silent: BTreeSet<Name>,
    sender: Sender<LoaderEvent>,
    results: Receiver<LoaderEvent>,
}

impl Lead {
    fn new(state: Arc<HubState>, ordering: Ordering, term: u64) -> Self {
        let (sender, results) = async_channel::unbounded();
        state.fresh.lock().clear();
        Self {
            loader: ModelLoader::new(ordering.loader),
            state,
            ordering,
            term,
            version: 0,
            cursor: Cursor::default(),
            engines: BTreeMap::new(),
            silent: BTreeSet::new(),
            sender,
            results,
        }
    }

    /// Returns the lease of this term while it runs.
    fn lease(&self) -> Option<Leadership> {
        let lease = self.state.handle.leadership();
        lease.filter(|lease| lease.term == self.term)
    }

    async fn run(mut self) {
        let mut seen = self.state.asked.get();
        while self.lease().is_some() {
            self.look();
            let asked = self.state.asked.clone();
            let is_asked = async {
                asked.wait_until(|now| *now != seen).await;
                None
            };
            let result = async { self.results.recv().await.ok() };
            let tick = async {
                sleep(INTERVAL).await;
                None
            };
            let first = result.or(is_asked).or(tick).await;
            sleep(LEAST_INTERVAL).await;
            seen = asked.get();
            let results = std::iter::from_fn(|| self.results.try_recv().ok());
            let results: Vec<_> = first.into_iter().chain(results).collect();
            for result in results {
                self.tell(result);
            }
        }
    }

    fn tell(&mut self, event: LoaderEvent) {
        let now = self.state.now();
        let mut out = Vec::new();
        self.loader.handle(now, event, &mut out);
        self.carry_out(out);
    }

    /// Takes in what has changed and decides.
    fn look(&mut self) {
        let now = self.state.now();
        let catalog = self.state.handle.tables().catalog.clone();
        if catalog.version > self.version {
            self.version = catalog.version;
            self.tell(LoaderEvent::Catalog(catalog));
            // Its pools may have become engines.
            self.cursor = Cursor::default();
        }
        self.follow_roster(now);
        let unreachable = self.state.unreachable.lock().clone();
        self.tell(LoaderEvent::Unreachable(unreachable));
        let fresh = std::mem::take(&mut *self.state.fresh.lock());
        for demand in fresh {
            self.tell(LoaderEvent::Demand {
                pool: demand.pool,
                model: demand.model,
                adapter: demand.adapter,
                asked: demand.asked,
                missed: demand.missed,
                crowded: demand.crowded,
            });
        }
        self.tell(LoaderEvent::Tick);
        self.publish(now);
    }

    fn follow_roster(&mut self, now: Time) {
        let roster = self.state.roster.lock();
        let news = roster.since(self.cursor, Interest::Announcements);
        let silent = roster.silent(now, self.state.settings.silence);
        drop(roster);
        self.cursor = news.cursor;
        let silent: BTreeSet<Name> = silent.into_iter().collect();
        for name in silent.difference(&self.silent).cloned().collect::<Vec<_>>() {
            log::info!(target: "loader", upstream = name.as_str(); "An upstream is silent.");
            self.tell(LoaderEvent::Gone(name));
        }
        self.silent = silent;
        for listed in news.listed {
            let name = listed.state.name.clone();
            if listed.gone {
                self.engines.remove(&name);
                self.tell(LoaderEvent::Gone(name));
                continue;
            }
            self.engines.insert(name, listed.state.clone());
            self.tell(LoaderEvent::Upstream(listed.state));
        }
    }

    /// Shows gateways and other hubs what is being loaded and evicted.
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
        self.state.take_ordered(OrderedLoads {
            term: self.term,
            loads: loads.collect(),
            evicted: self.loader.evicted(),
        });
    }

    fn carry_out(&self, actions: Vec<LoaderAction>) {
        for action in actions {
            match action {
                LoaderAction::QueryState(name) => self.ask(name),
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
                    self.order(engine, order);
                }
            }
        }
    }

    fn ask(&self, name: Name) {
        let client = self.ordering.client.clone();
        let engine = self.engines.get(&name).cloned();
        let sender = self.sender.clone();
        spawn(async move {
            let report = match &engine {
                Some(engine) => client.report(engine).await,
                None => None,
            };
            match &report {
                Some(report) => log::info!(
                    target: "loader", upstream = name.as_str(), busy = report.busy,
                    accepted = report.accepted, loaded = names(&report.loaded);
                    "An engine told its state."
                ),
                None => log::warn!(
                    target: "loader", upstream = name.as_str();
                    "An engine did not tell its state."
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

    fn order(&self, name: Name, order: EngineOrder) {
        let client = self.ordering.client.clone();
        let engine = self.engines.get(&name).cloned();
        let sender = self.sender.clone();
        let lease = self.lease();
        let state = self.state.clone();
        *state.last_order.lock() = Some(state.now());
        spawn(async move {
            // The process may have been stopped since the order was decided.
            let may_order = lease.is_some_and(|l| l.is_valid());
            let reply = match &engine {
                Some(engine) if may_order => client.order(engine, &order).await,
                _ => EngineReply::Fenced,
            };
            *state.last_order.lock() = Some(state.now());
            log::info!(
                target: "loader", upstream = name.as_str(), order = format!("{:?}", order.kind),
                term = order.fence, expected = order.expected, reply = format!("{reply:?}");
                "An order was given."
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

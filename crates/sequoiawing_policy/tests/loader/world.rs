//! Simulates engines, announcements and leaders in virtual time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_catalog::{Catalog, CatalogPool, Engine as EngineSpec, ModelSpec};
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_policy::serving::{
    EngineReply, EngineReport, LoaderAction, LoaderEvent, LoaderSettings, ModelLoader,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

const ENGINES: usize = 4;
const MODELS: usize = 16;
const CAPACITY: u64 = 200_000;
/// The duration of a run of an adapter.
const ADAPTER_RUN: Duration = Duration::from_secs(3);
const ADAPTER_SLOTS: usize = 8;
const STEP: Duration = Duration::from_millis(10);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// The faults that a simulation injects.
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Announcements arrive up to three seconds late.
    pub(crate) late: bool,
    /// The fraction of replies to orders that are lost.
    pub(crate) lost: f64,
    /// Orders whose reply is lost are executed seconds later.
    pub(crate) delayed: bool,
    /// The leader changes every few seconds.
    pub(crate) leaders: bool,
    /// Engines restart.
    pub(crate) restarts: bool,
    /// Engines restart when they leave an order unanswered, and the next start executes it.
    pub(crate) crashes: bool,
}

struct Engine {
    epoch: u64,
    sequence: u64,
    loaded: BTreeSet<Name>,
    /// The loaded adapters, also those that are to be unloaded.
    adapters: BTreeSet<Name>,
    /// The adapters that are unloaded once their runs have ended, and when that is.
    leaving: BTreeMap<Name, Time>,
    disk: BTreeSet<Name>,
    /// The model being loaded, whether it comes from the weight store, and the
    /// completion time.
    loading: Option<(Name, bool, Time)>,
    /// The model being evicted and the completion time.
    evicting: Option<(Name, Time)>,
    accepted: u64,
    next_announcement: Time,
    /// Past states, from which reports are taken.
    history: Vec<(Time, EngineReport)>,
}

enum Pending {
    Event(LoaderEvent),
    /// An order that is executed late, with nobody waiting for the reply.
    Order(Name, OrderKind, u64),
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) violations: Vec<String>,
    pub(crate) store_loads: usize,
    pub(crate) peak_store_loads: usize,
    /// Whether random requests are switched off.
    pub(crate) is_idle: bool,
    faults: Faults,
    /// When the last run of each adapter ends.
    adapter_runs: BTreeMap<Name, Time>,
    /// The adapters that were unloaded while they ran requests.
    pub(crate) adapters_interrupted: usize,
    rng: ChaCha8Rng,
    catalog: Arc<Catalog>,
    engines: BTreeMap<Name, Engine>,
    loader: ModelLoader,
    pending: Vec<(Time, u64, Pending)>,
    /// The term of the current leader. Replies to previous leaders are lost.
    term: u64,
    delivered: BTreeMap<Name, (u64, u64)>,
    load_count: usize,
    next_leader: Time,
}

fn pool() -> Name {
    Name::from("pool")
}

fn model(i: usize) -> Name {
    Name::from(format!("m{i}"))
}

fn weights(i: usize) -> u64 {
    [34_300, 65_500, 72_700][i % 3]
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        Self::with_models(seed, faults, MODELS)
    }

    /// Creates a world with a number of models, of which the engines hold the first ones.
    pub(crate) fn with_models(seed: u64, faults: Faults, count: usize) -> Self {
        let models = (0..count).map(|i| ModelSpec {
            name: model(i),
            weights: weights(i),
            store_load: 6_000,
            disk_load: 490,
            memory_load: 380,
            ..ModelSpec::default()
        });
        let engine = EngineSpec {
            weights: CAPACITY,
            adapter_slots: u32::try_from(ADAPTER_SLOTS).expect("few slots"),
            load_rate: 7_700,
            models: models.collect(),
            ..EngineSpec::default()
        };
        let catalog = Catalog {
            version: 1,
            pools: vec![CatalogPool {
                name: pool(),
                engine: Some(engine),
                ..CatalogPool::default()
            }],
            ..Catalog::default()
        };
        let mut world = Self {
            now: Time::ZERO,
            violations: Vec::new(),
            store_loads: 0,
            peak_store_loads: 0,
            is_idle: false,
            adapter_runs: BTreeMap::new(),
            adapters_interrupted: 0,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            catalog: Arc::new(catalog),
            engines: BTreeMap::new(),
            loader: ModelLoader::new(LoaderSettings::default()),
            pending: Vec::new(),
            term: 0,
            delivered: BTreeMap::new(),
            load_count: 0,
            next_leader: Time::from_millis(5_000),
        };
        for i in 0..ENGINES {
            let held = [2 * i, 2 * i + 1].map(|m| model(m % MODELS));
            let disk = (0..MODELS / 2).map(|m| model((m * 3 + i) % MODELS));
            let engine = Engine {
                epoch: 1,
                sequence: 0,
                loaded: held.into(),
                adapters: BTreeSet::new(),
                leaving: BTreeMap::new(),
                disk: disk.chain([model(2 * i), model(2 * i + 1)]).collect(),
                loading: None,
                evicting: None,
                accepted: 0,
                next_announcement: Time::ZERO,
                history: Vec::new(),
            };
            world.engines.insert(Name::from(format!("e{i}")), engine);
        }
        world.change_leader();
        world
    }

    fn change_leader(&mut self) {
        self.term += 1;
        self.loader = ModelLoader::new(LoaderSettings::default());
        self.handle(LoaderEvent::Catalog(self.catalog.clone()));
        self.pending.retain(|(_, _, p)| {
            let is_answer = matches!(
                p,
                Pending::Event(LoaderEvent::OrderAnswered { .. } | LoaderEvent::Reported { .. })
            );
            !is_answer
        });
        self.delivered.clear();
    }

    pub(crate) fn clear_disks(&mut self) {
        for engine in self.engines.values_mut() {
            engine.disk = engine.loaded.clone();
        }
    }

    /// Gives all models adapters of this size in megabytes.
    pub(crate) fn set_adapters(&mut self, weights: u64) {
        let mut catalog = Catalog::clone(&self.catalog);
        catalog.version += 1;
        let engines = catalog.pools.iter_mut().filter_map(|p| p.engine.as_mut());
        for model in engines.flat_map(|e| &mut e.models) {
            model.adapters = 4;
            model.adapter_weights = weights;
        }
        self.catalog = Arc::new(catalog);
        self.handle(LoaderEvent::Catalog(self.catalog.clone()));
    }

    /// Returns the number of models that are loaded on at least one engine.
    pub(crate) fn loaded_models(&self) -> usize {
        (0..MODELS).filter(|m| self.is_loaded(&model(*m))).count()
    }

    /// Returns the free memory of the fullest engine, in megabytes.
    pub(crate) fn least_free(&self) -> u64 {
        let used = |e: &Engine| -> u64 { e.loaded.iter().map(size).sum() };
        let free = self.engines.values().map(|e| CAPACITY - used(e));
        free.min().expect("the world has engines")
    }

    pub(crate) fn loads(&self) -> usize {
        self.load_count
    }

    pub(crate) fn replicas(&self, model: &Name) -> usize {
        let engines = self.engines.values();
        engines.filter(|e| e.loaded.contains(model)).count()
    }

    pub(crate) fn is_loaded(&self, model: &Name) -> bool {
        self.replicas(model) > 0
    }

    /// Returns a model that no engine holds but that is on a disk.
    pub(crate) fn unloaded_on_disk(&self) -> Name {
        let on_disk = |m: &Name| self.engines.values().any(|e| e.disk.contains(m));
        let mut models = (0..MODELS).map(model);
        let found = models.find(|m| !self.is_loaded(m) && on_disk(m));
        found.expect("some model is on disk only")
    }

    /// Copies a model to the disks of all engines.
    pub(crate) fn copy_to_disks(&mut self, model: &Name) {
        for engine in self.engines.values_mut() {
            engine.disk.insert(model.clone());
        }
    }

    pub(crate) fn request(&mut self, model: &Name, requests: u64) {
        let missed = if self.is_loaded(model) { 0 } else { requests };
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            requests,
            patient: 0,
            missed,
            saturated: 0,
            late: 0,
        });
    }

    /// Sends a request that can wait for a load; returns whether the model is loaded.
    pub(crate) fn request_patient(&mut self, model: &Name) -> bool {
        let is_loaded = self.is_loaded(model);
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            requests: 1,
            patient: 1,
            missed: u64::from(!is_loaded),
            saturated: 0,
            late: 0,
        });
        is_loaded
    }

    /// Sends requests for a model whose answers come late.
    pub(crate) fn request_late(&mut self, model: &Name, requests: u64) {
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            requests,
            patient: 0,
            missed: 0,
            saturated: 0,
            late: requests,
        });
    }

    /// Sends a request for an adapter; returns whether an engine had it.
    pub(crate) fn request_adapter(&mut self, model: &Name, number: usize) -> bool {
        let adapter = Name::from(format!("{model}:a{number}"));
        let is_loaded = self.engines.values().any(|e| e.serves(&adapter));
        if is_loaded {
            let until = self.now + ADAPTER_RUN;
            self.adapter_runs.insert(adapter.clone(), until);
        }
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: Some(adapter),
            requests: 1,
            patient: 0,
            missed: u64::from(!is_loaded),
            saturated: 0,
            late: 0,
        });
        is_loaded
    }

    /// Tells the loader that requests with an adapter still run.
    pub(crate) fn use_adapter(&mut self, model: &Name, number: usize) {
        let adapter = Name::from(format!("{model}:a{number}"));
        let until = self.now + ADAPTER_RUN;
        self.adapter_runs.insert(adapter.clone(), until);
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: Some(adapter),
            requests: 0,
            patient: 0,
            missed: 0,
            saturated: 0,
            late: 0,
        });
    }

    pub(crate) fn saturate(&mut self, model: &Name) {
        self.handle(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            requests: 1,
            patient: 0,
            missed: 0,
            saturated: 1,
            late: 0,
        });
    }

    /// Lets orders go unanswered, or no longer.
    pub(crate) fn set_lost(&mut self, share: f64) {
        self.faults.lost = share;
    }

    pub(crate) fn miss(&mut self, model: &Name) {
        self.request(model, 1);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.request_at_random();
            self.advance_engines();
            self.deliver();
            if self.faults.leaders && self.now >= self.next_leader {
                self.next_leader =
                    self.now + Duration::from_millis(self.rng.random_range(2_000..7_000));
                self.change_leader();
            }
            self.handle(LoaderEvent::Tick);
        }
    }

    fn request_at_random(&mut self) {
        if !self.is_idle && self.rng.random::<f64>() < 0.1 {
            let skewed = self.rng.random::<f64>() * self.rng.random::<f64>();
            let pick = (skewed * 16.0).floor();
            let found = (0..MODELS).find(|i| f64::from(u32::try_from(*i).unwrap_or(0)) >= pick);
            let requested = model(found.unwrap_or(0));
            self.request(&requested, 1);
        }
    }

    fn handle(&mut self, event: LoaderEvent) {
        let mut out = Vec::new();
        self.loader.handle(self.now, event, &mut out);
        for action in out {
            match action {
                LoaderAction::QueryState(engine) => self.report(engine),
                LoaderAction::Order {
                    engine,
                    kind,
                    expected,
                } => self.order(engine, kind, expected),
            }
        }
    }

    fn schedule(&mut self, millis: u64, pending: Pending) {
        let at = self.now + Duration::from_millis(millis);
        self.pending.push((at, self.term, pending));
    }

    /// Sends a report of a state that is up to 300 ms old.
    fn report(&mut self, name: Name) {
        let age = Duration::from_millis(self.rng.random_range(0..300));
        let engine = &self.engines[&name];
        let seen = engine.history.iter().rev();
        let mut seen = seen.filter(|(at, _)| self.now.since(*at) >= age);
        let report = seen.next().map(|(_, report)| report.clone());
        let event = LoaderEvent::Reported {
            engine: name,
            report,
        };
        self.schedule(10, Pending::Event(event));
    }

    fn order(&mut self, name: Name, kind: OrderKind, expected: u64) {
        let is_lost = self.rng.random::<f64>() < self.faults.lost;
        if is_lost && self.faults.delayed {
            let wait = if self.faults.crashes {
                self.rng.random_range(2_000..12_000)
            } else {
                self.rng.random_range(500..4_000)
            };
            self.schedule(wait, Pending::Order(name.clone(), kind, expected));
            if let Some(engine) = self.engines.get_mut(&name).filter(|_| self.faults.crashes) {
                engine.restart();
            }
            self.give_up(name);
            return;
        }
        let reply = self.execute(&name, &kind, expected);
        if is_lost {
            self.give_up(name);
        } else {
            self.reply(name, reply);
        }
    }

    /// Gives up an order that was not answered in time.
    fn give_up(&mut self, engine: Name) {
        let reply = EngineReply::Unknown;
        let event = LoaderEvent::OrderAnswered { engine, reply };
        self.schedule(1_000, Pending::Event(event));
    }

    fn reply(&mut self, engine: Name, reply: EngineReply) {
        let event = LoaderEvent::OrderAnswered { engine, reply };
        self.schedule(10, Pending::Event(event));
    }

    fn execute(&mut self, name: &Name, kind: &OrderKind, expected: u64) -> EngineReply {
        let now = self.now;
        let loading: usize = self
            .engines
            .values()
            .filter(|e| e.loads_from_store())
            .count();
        let Some(engine) = self.engines.get_mut(name) else {
            return EngineReply::Moved;
        };
        if engine.is_busy() || engine.accepted != expected {
            return EngineReply::Busy;
        }
        match kind {
            OrderKind::Load { model, .. } => {
                if engine.loaded.contains(model) {
                    return EngineReply::Holds;
                }
                let used: u64 = engine.loaded.iter().map(size).sum();
                if used + size(model) > CAPACITY {
                    let held: Vec<&str> = engine.loaded.iter().map(Name::as_str).collect();
                    self.violations.push(format!(
                        "{now} {name}: {model} does not fit beside {held:?}"
                    ));
                }
                let from_store = !engine.disk.contains(model);
                let duration = if from_store { 6_000 } else { 490 };
                engine.loading = Some((
                    model.clone(),
                    from_store,
                    now + Duration::from_millis(duration),
                ));
                self.store_loads += usize::from(from_store);
                self.peak_store_loads =
                    self.peak_store_loads.max(loading + usize::from(from_store));
                self.load_count += 1;
            }
            OrderKind::Unload { model } => {
                if !engine.loaded.contains(model) {
                    return EngineReply::Holds;
                }
                let duration = self.rng.random_range(0..600);
                engine.evicting = Some((model.clone(), now + Duration::from_millis(duration)));
            }
            OrderKind::LoadAdapter { adapter } => {
                if engine.adapters.len() >= ADAPTER_SLOTS {
                    self.violations
                        .push(format!("{now} {name}: no slot for {adapter}"));
                }
                engine.adapters.insert(adapter.clone());
            }
            OrderKind::UnloadAdapter { adapter } => {
                let until = self.adapter_runs.get(adapter).copied();
                if let Some(until) = until.filter(|until| *until > now) {
                    // It keeps its slot meanwhile, and the engine takes other orders.
                    engine.leaving.insert(adapter.clone(), until);
                    self.adapters_interrupted += 1;
                } else {
                    engine.adapters.remove(adapter);
                    engine.accepted += 1;
                    return EngineReply::Holds;
                }
            }
            OrderKind::Fence => return EngineReply::Rejected,
        }
        engine.accepted += 1;
        EngineReply::Started
    }

    fn advance_engines(&mut self) {
        let names: Vec<Name> = self.engines.keys().cloned().collect();
        for name in names {
            let restarts = self.faults.restarts && self.rng.random::<f64>() < 0.000_5;
            let now = self.now;
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            if restarts {
                engine.restart();
            }
            let has_changed = engine.advance(now);
            engine.record_state(now);
            if has_changed || now >= engine.next_announcement {
                engine.next_announcement = now + ANNOUNCE_INTERVAL;
                engine.sequence += 1;
                let state = engine.announcement(&name);
                let late = if self.faults.late {
                    self.rng.random_range(0..3_000)
                } else {
                    self.rng.random_range(0..20)
                };
                self.schedule(late, Pending::Event(LoaderEvent::Upstream(Arc::new(state))));
            }
        }
    }

    fn deliver(&mut self) {
        let due = |(at, _, _): &(Time, u64, Pending)| *at <= self.now;
        let (due, rest) = std::mem::take(&mut self.pending).into_iter().partition(due);
        self.pending = rest;
        let mut due: Vec<(Time, u64, Pending)> = due;
        due.sort_by_key(|(at, _, _)| *at);
        for (_, _, pending) in due {
            match pending {
                Pending::Order(name, kind, expected) => {
                    self.execute(&name, &kind, expected);
                }
                Pending::Event(LoaderEvent::Upstream(state)) => self.announce(state),
                Pending::Event(event) => self.handle(event),
            }
        }
    }

    /// Delivers an announcement unless a newer one was delivered before, as a
    /// roster does.
    fn announce(&mut self, state: Arc<UpstreamState>) {
        let delivered = self.delivered.entry(state.name.clone()).or_default();
        if state.version() > *delivered {
            *delivered = state.version();
            self.handle(LoaderEvent::Upstream(state));
        }
    }
}

fn size(model: &Name) -> u64 {
    let number = model.as_str().trim_start_matches('m').parse();
    weights(number.expect("model names end in a number"))
}

impl Engine {
    fn is_busy(&self) -> bool {
        self.loading.is_some() || self.evicting.is_some()
    }

    fn loads_from_store(&self) -> bool {
        self.loading
            .as_ref()
            .is_some_and(|(_, from_store, _)| *from_store)
    }

    fn restart(&mut self) {
        self.epoch += 1;
        self.sequence = 0;
        self.loaded.clear();
        self.adapters.clear();
        self.leaving.clear();
        self.loading = None;
        self.evicting = None;
        self.accepted = 0;
        self.history.clear();
    }

    /// Returns whether requests for an adapter can begin.
    fn serves(&self, adapter: &Name) -> bool {
        self.adapters.contains(adapter) && !self.leaving.contains_key(adapter)
    }

    fn advance(&mut self, now: Time) -> bool {
        let ended = self.leaving.extract_if(.., |_, until| now >= *until);
        for (adapter, _) in ended {
            self.adapters.remove(&adapter);
        }
        if let Some((model, _, until)) = &self.loading
            && now >= *until
        {
            self.disk.insert(model.clone());
            self.loaded.insert(model.clone());
            self.loading = None;
            return true;
        }
        if let Some((model, until)) = &self.evicting
            && now >= *until
        {
            let prefix = format!("{model}:");
            self.adapters.retain(|a| !a.as_str().starts_with(&prefix));
            self.leaving.retain(|a, _| !a.as_str().starts_with(&prefix));
            self.loaded.remove(model);
            self.evicting = None;
            return true;
        }
        false
    }

    fn record_state(&mut self, now: Time) {
        let report = EngineReport {
            busy: self.is_busy(),
            accepted: self.accepted,
            loaded: self.loaded.iter().cloned().collect(),
            adapters: self.adapters.iter().cloned().collect(),
        };
        self.history.push((now, report));
        self.history
            .retain(|(at, _)| now.since(*at) <= Duration::from_millis(400));
    }

    fn announcement(&self, name: &Name) -> UpstreamState {
        UpstreamState {
            name: name.clone(),
            pool: pool(),
            epoch: self.epoch,
            sequence: self.sequence,
            slots: 64,
            loaded: self.loaded.iter().cloned().collect(),
            adapters: self.adapters.iter().cloned().collect(),
            disk: self.disk.iter().cloned().collect(),
            ..UpstreamState::default()
        }
    }
}

//! Engines, announcements and leaders under virtual time.

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
const STEP: Duration = Duration::from_millis(10);
const BEAT: Duration = Duration::from_millis(1_200);

/// What goes wrong in a world.
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Announcements come up to three seconds late.
    pub(crate) late: bool,
    /// The part of answers to orders that is lost.
    pub(crate) lost: f64,
    /// Orders without an answer are carried out seconds later.
    pub(crate) delayed: bool,
    /// Another leader takes over every few seconds.
    pub(crate) leaders: bool,
    /// Engines start anew.
    pub(crate) restarts: bool,
}

struct Engine {
    epoch: u64,
    sequence: u64,
    loaded: BTreeSet<Name>,
    disk: BTreeSet<Name>,
    /// The model that is loaded, from the store or not, and until when.
    loading: Option<(Name, bool, Time)>,
    /// The model that is evicted, and until when.
    evicting: Option<(Name, Time)>,
    accepted: u64,
    next_beat: Time,
    /// What a report shows, which is a little old.
    shown: Vec<(Time, EngineReport)>,
}

enum Pending {
    Event(LoaderEvent),
    /// An order that is carried out late, and nobody waits for.
    Order(Name, OrderKind, u64),
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) broken: Vec<String>,
    pub(crate) store_loads: usize,
    pub(crate) most_store_loads: usize,
    /// Whether nobody asks for models at random.
    pub(crate) is_quiet: bool,
    faults: Faults,
    rng: ChaCha8Rng,
    catalog: Arc<Catalog>,
    engines: BTreeMap<Name, Engine>,
    loader: ModelLoader,
    pending: Vec<(Time, u64, Pending)>,
    /// Counts leaders; what was sent to a former one is lost.
    term: u64,
    heard: BTreeMap<Name, (u64, u64)>,
    done: usize,
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
        let models = (0..MODELS).map(|i| ModelSpec {
            name: model(i),
            weights: weights(i),
            store_load: 6_000,
            disk_load: 490,
            memory_load: 380,
            ..ModelSpec::default()
        });
        let engine = EngineSpec {
            weights: CAPACITY,
            adapter_slots: 8,
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
            broken: Vec::new(),
            store_loads: 0,
            most_store_loads: 0,
            is_quiet: false,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            catalog: Arc::new(catalog),
            engines: BTreeMap::new(),
            loader: ModelLoader::new(LoaderSettings::default()),
            pending: Vec::new(),
            term: 0,
            heard: BTreeMap::new(),
            done: 0,
            next_leader: Time::from_millis(5_000),
        };
        for i in 0..ENGINES {
            let held = [2 * i, 2 * i + 1].map(|m| model(m % MODELS));
            let disk = (0..MODELS / 2).map(|m| model((m * 3 + i) % MODELS));
            let engine = Engine {
                epoch: 1,
                sequence: 0,
                loaded: held.into(),
                disk: disk.chain([model(2 * i), model(2 * i + 1)]).collect(),
                loading: None,
                evicting: None,
                accepted: 0,
                next_beat: Time::ZERO,
                shown: Vec::new(),
            };
            world.engines.insert(Name::from(format!("e{i}")), engine);
        }
        world.lead();
        world
    }

    fn lead(&mut self) {
        self.term += 1;
        self.loader = ModelLoader::new(LoaderSettings::default());
        self.tell(LoaderEvent::Catalog(self.catalog.clone()));
        self.pending.retain(|(_, _, p)| {
            let is_answer = matches!(
                p,
                Pending::Event(LoaderEvent::Ordered { .. } | LoaderEvent::Reported { .. })
            );
            !is_answer
        });
        self.heard.clear();
    }

    pub(crate) fn forget_disks(&mut self) {
        for engine in self.engines.values_mut() {
            engine.disk = engine.loaded.clone();
        }
    }

    /// Gives all models adapters of that size.
    pub(crate) fn set_adapters(&mut self, weights: u64) {
        let mut catalog = Catalog::clone(&self.catalog);
        catalog.version += 1;
        let engines = catalog.pools.iter_mut().filter_map(|p| p.engine.as_mut());
        for model in engines.flat_map(|e| &mut e.models) {
            model.adapters = 4;
            model.adapter_weights = weights;
        }
        self.catalog = Arc::new(catalog);
        self.tell(LoaderEvent::Catalog(self.catalog.clone()));
    }

    /// Returns the number of models that are loaded somewhere.
    pub(crate) fn distinct(&self) -> usize {
        (0..MODELS).filter(|m| self.is_loaded(&model(*m))).count()
    }

    /// Returns the least memory that an engine has free.
    pub(crate) fn least_free(&self) -> u64 {
        let used = |e: &Engine| -> u64 { e.loaded.iter().map(size).sum() };
        let free = self.engines.values().map(|e| CAPACITY - used(e));
        free.min().expect("there are engines")
    }

    pub(crate) fn loads(&self) -> usize {
        self.done
    }

    pub(crate) fn copies(&self, model: &Name) -> usize {
        let engines = self.engines.values();
        engines.filter(|e| e.loaded.contains(model)).count()
    }

    pub(crate) fn is_loaded(&self, model: &Name) -> bool {
        self.copies(model) > 0
    }

    /// Returns a model that no engine holds and some disk has.
    pub(crate) fn unloaded_with_copy(&self) -> Name {
        let on_disk = |m: &Name| self.engines.values().any(|e| e.disk.contains(m));
        let mut models = (0..MODELS).map(model);
        let found = models.find(|m| !self.is_loaded(m) && on_disk(m));
        found.expect("the disks hold more than the memory")
    }

    pub(crate) fn ask(&mut self, model: &Name, asked: u64) {
        let missed = if self.is_loaded(model) { 0 } else { asked };
        self.tell(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            asked,
            missed,
            crowded: 0,
        });
    }

    pub(crate) fn crowd(&mut self, model: &Name) {
        self.tell(LoaderEvent::Demand {
            pool: pool(),
            model: model.clone(),
            adapter: None,
            asked: 1,
            missed: 0,
            crowded: 1,
        });
    }

    pub(crate) fn miss(&mut self, model: &Name) {
        self.ask(model, 1);
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.ask_at_random();
            self.advance_engines();
            self.deliver();
            if self.faults.leaders && self.now >= self.next_leader {
                self.next_leader =
                    self.now + Duration::from_millis(self.rng.random_range(2_000..7_000));
                self.lead();
            }
            self.tell(LoaderEvent::Tick);
        }
    }

    fn ask_at_random(&mut self) {
        if !self.is_quiet && self.rng.random::<f64>() < 0.1 {
            let skewed = self.rng.random::<f64>() * self.rng.random::<f64>();
            let pick = (skewed * 16.0).floor();
            let found = (0..MODELS).find(|i| f64::from(u32::try_from(*i).unwrap_or(0)) >= pick);
            let asked = model(found.unwrap_or(0));
            self.ask(&asked, 1);
        }
    }

    fn tell(&mut self, event: LoaderEvent) {
        let mut out = Vec::new();
        self.loader.handle(self.now, event, &mut out);
        for action in out {
            match action {
                LoaderAction::Report(engine) => self.report(engine),
                LoaderAction::Order {
                    engine,
                    kind,
                    expected,
                } => self.order(engine, kind, expected),
            }
        }
    }

    fn later(&mut self, millis: u64, pending: Pending) {
        let at = self.now + Duration::from_millis(millis);
        self.pending.push((at, self.term, pending));
    }

    /// A report shows the state of some hundred milliseconds ago.
    fn report(&mut self, name: Name) {
        let age = Duration::from_millis(self.rng.random_range(0..300));
        let engine = &self.engines[&name];
        let seen = engine.shown.iter().rev();
        let mut seen = seen.filter(|(at, _)| self.now.since(*at) >= age);
        let report = seen.next().map(|(_, report)| report.clone());
        let event = LoaderEvent::Reported {
            engine: name,
            report,
        };
        self.later(10, Pending::Event(event));
    }

    fn order(&mut self, name: Name, kind: OrderKind, expected: u64) {
        let is_lost = self.rng.random::<f64>() < self.faults.lost;
        if is_lost && self.faults.delayed {
            let wait = self.rng.random_range(500..4_000);
            self.later(wait, Pending::Order(name.clone(), kind, expected));
            self.answer(name, EngineReply::Unknown);
            return;
        }
        let reply = self.carry_out(&name, &kind, expected);
        self.answer(name, if is_lost { EngineReply::Unknown } else { reply });
    }

    fn answer(&mut self, engine: Name, reply: EngineReply) {
        let event = LoaderEvent::Ordered { engine, reply };
        self.later(10, Pending::Event(event));
    }

    fn carry_out(&mut self, name: &Name, kind: &OrderKind, expected: u64) -> EngineReply {
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
                    self.broken
                        .push(format!("{now} {name}: {model} beside {held:?}"));
                }
                let from_store = !engine.disk.contains(model);
                let takes = if from_store { 6_000 } else { 490 };
                engine.loading = Some((
                    model.clone(),
                    from_store,
                    now + Duration::from_millis(takes),
                ));
                self.store_loads += usize::from(from_store);
                self.most_store_loads =
                    self.most_store_loads.max(loading + usize::from(from_store));
                self.done += 1;
            }
            OrderKind::Unload { model } => {
                if !engine.loaded.contains(model) {
                    return EngineReply::Holds;
                }
                let takes = self.rng.random_range(0..600);
                engine.evicting = Some((model.clone(), now + Duration::from_millis(takes)));
            }
            _ => return EngineReply::Rejected,
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
            engine.show(now);
            if has_changed || now >= engine.next_beat {
                engine.next_beat = now + BEAT;
                engine.sequence += 1;
                let state = engine.announcement(&name);
                let late = if self.faults.late {
                    self.rng.random_range(0..3_000)
                } else {
                    self.rng.random_range(0..20)
                };
                self.later(late, Pending::Event(LoaderEvent::Upstream(Arc::new(state))));
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
                    self.carry_out(&name, &kind, expected);
                }
                Pending::Event(LoaderEvent::Upstream(state)) => self.announce(state),
                Pending::Event(event) => self.tell(event),
            }
        }
    }

    /// Passes an announcement on as a roster does: never an older one.
    fn announce(&mut self, state: Arc<UpstreamState>) {
        let heard = self.heard.entry(state.name.clone()).or_default();
        if state.version() > *heard {
            *heard = state.version();
            self.tell(LoaderEvent::Upstream(state));
        }
    }
}

fn size(model: &Name) -> u64 {
    let number = model.as_str().trim_start_matches('m').parse();
    weights(number.expect("models are numbered"))
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
        self.loading = None;
        self.evicting = None;
        self.accepted = 0;
        self.shown.clear();
    }

    fn advance(&mut self, now: Time) -> bool {
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
            self.loaded.remove(model);
            self.evicting = None;
            return true;
        }
        false
    }

    fn show(&mut self, now: Time) {
        let report = EngineReport {
            busy: self.is_busy(),
            accepted: self.accepted,
            loaded: self.loaded.iter().cloned().collect(),
            adapters: Vec::new(),
        };
        self.shown.push((now, report));
        self.shown
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
            disk: self.disk.iter().cloned().collect(),
            ..UpstreamState::default()
        }
    }
}

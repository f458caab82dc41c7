//! Which engine loads which model.

mod demand;
mod engine;
mod inventory;
mod victims;

use super::{EngineReply, EngineReport};
use demand::{Demands, Noted};
use engine::{Engine, Job, Phase};
use inventory::Census;
use sequoiawing_catalog::{Catalog, CatalogIndex, CatalogPool, ModelSpec};
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use victims::Victims;

/// How long an engine is left alone after an order that it can't carry out.
const REJECTED_PAUSE: Duration = Duration::from_secs(2);

/// How long a load is announced after its estimated end; by then its engine
/// has announced it.
const ANNOUNCED_LIFE: Duration = Duration::from_millis(2_500);

/// What the loader is bounded by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoaderSettings {
    /// The loads from the weight store that run at once at full speed.
    pub store_loads: usize,
    /// The requests a second that one copy of a model bears before there
    /// should be another.
    pub copy_rate: f64,
}

impl Default for LoaderSettings {
    fn default() -> Self {
        Self {
            store_loads: 4,
            copy_rate: 20.0,
        }
    }
}

/// What the loader is told.
#[derive(Clone, Debug)]
pub enum LoaderEvent {
    /// A configuration is in force.
    Catalog(Arc<Catalog>),
    /// An upstream announced itself.
    Upstream(Arc<UpstreamState>),
    /// An upstream is gone or silent.
    Gone(Name),
    /// Most gateways can't reach these upstreams.
    Unreachable(BTreeSet<Name>),
    /// Requests came for a model or adapter.
    Demand {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The adapter, as `model:adapter`.
        adapter: Option<Name>,
        /// The requests.
        asked: u64,
        /// Those that found no upstream with it.
        missed: u64,
        /// Those that found all upstreams with it full.
        crowded: u64,
    },
    /// An engine answered an order.
    Ordered {
        /// The engine.
        engine: Name,
        /// Its answer.
        reply: EngineReply,
    },
    /// An engine was asked for its state.
    Reported {
        /// The engine.
        engine: Name,
        /// Its state, if it answered.
        report: Option<EngineReport>,
    },
    /// What came before is to be decided upon, or time has passed.
    Tick,
}

/// What the loader wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoaderAction {
    /// Ask an engine for its state.
    Report(Name),
    /// Give an engine an order.
    Order {
        /// The engine.
        engine: Name,
        /// The order.
        kind: OrderKind,
        /// The orders that it must have accepted before.
        expected: u64,
    },
}

/// A load that is under way or just done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPlan {
    /// The pool.
    pub pool: Name,
    /// The model, or adapter as `model:adapter`.
    pub model: Name,
    /// The engine; empty while none is free.
    pub engine: Name,
    /// When it should be done.
    pub ready: Time,
}

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Checkpoint {
    Memory,
    Disk,
    Store,
}

/// Decides which engine loads which model, on the host that leads.
///
/// Models that are asked for and not loaded come first, on the engine where
/// the load is fast and what has to go is missed least; then further copies of
/// models that one engine can't bear; then, while the weight store is idle,
/// models of which no engine has a copy at hand; last, memory that stands free is
/// filled out of copies at hand.
pub struct ModelLoader {
    settings: LoaderSettings,
    index: CatalogIndex,
    engines: BTreeMap<Name, Engine>,
    demands: Demands,
    /// When the last load from the store began.
    store_begun: Option<Time>,
    announced: Vec<LoadPlan>,
    /// Loads that wait for an engine.
    queued: Vec<LoadPlan>,
}

impl ModelLoader {
    /// Returns a loader that knows nothing yet.
    pub fn new(settings: LoaderSettings) -> Self {
        Self {
            settings,
            index: CatalogIndex::default(),
            engines: BTreeMap::new(),
            demands: Demands::default(),
            store_begun: None,
            announced: Vec::new(),
            queued: Vec::new(),
        }
    }

    /// Takes in an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: LoaderEvent, out: &mut Vec<LoaderAction>) {
        match event {
            LoaderEvent::Catalog(catalog) => self.index = CatalogIndex::new(&catalog),
            LoaderEvent::Upstream(state) => self.upstream(now, state),
            LoaderEvent::Gone(name) => {
                self.engines.remove(&name);
            }
            LoaderEvent::Unreachable(unreachable) => {
                for (name, engine) in &mut self.engines {
                    engine.is_unreachable = unreachable.contains(name);
                }
            }
            LoaderEvent::Demand {
                pool,
                model,
                adapter,
                asked,
                missed,
                crowded,
            } => {
                let noted = Noted {
                    asked,
                    missed: missed > 0,
                    crowded: crowded > 0,
                };
                self.demands.note(now, (pool, model, adapter), noted);
            }
            LoaderEvent::Ordered { engine, reply } => self.ordered(now, &engine, reply),
            LoaderEvent::Reported { engine, report } => self.reported(now, &engine, report),
            LoaderEvent::Tick => {
                self.announced.retain(|p| now < p.ready + ANNOUNCED_LIFE);
                self.check_room();
                self.decide(now);
                self.drive(now, out);
            }
        }
    }

    /// Returns the loads that are under way or just done.
    pub fn plans(&self) -> Vec<LoadPlan> {
        let running = self.engines.iter().filter_map(|(name, engine)| {
            let job = engine.job.as_ref()?;
            let Phase::Loading { ready } = job.phase else {
                return None;
            };
            Some(LoadPlan {
                pool: engine.state.pool.clone(),
                model: job.model.clone(),
                engine: name.clone(),
                ready,
            })
        });
        let queued = self.queued.iter().cloned();
        let announced = self.announced.iter().cloned();
        running.chain(announced).chain(queued).collect()
    }

    /// Returns the models that engines were told to give up, and that they may
    /// still announce.
    pub fn evicted(&self) -> Vec<(Name, Name)> {
        let all = self.engines.iter().flat_map(|(name, engine)| {
            let evicted = engine.evicted.keys();
            evicted.map(|model| (name.clone(), model.clone()))
        });
        all.collect()
    }

    fn upstream(&mut self, now: Time, state: Arc<UpstreamState>) {
        let pool = self.index.pool(&state.pool);
        if pool.is_none_or(|p| p.engine.is_none()) {
            self.engines.remove(&state.name);
            return;
        }
        let known = self.engines.get_mut(&state.name);
        match known.filter(|e| e.state.epoch == state.epoch) {
            Some(engine) => engine.announce(now, state),
            None => {
                self.engines
                    .insert(state.name.clone(), Engine::new(now, state));
            }
        }
    }

    fn ordered(&mut self, now: Time, name: &Name, reply: EngineReply) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let started = engine.ordered(now, reply);
        if let Some(fetched) = engine.fetched.take() {
            self.announced.push(LoadPlan {
                pool: engine.state.pool.clone(),
                model: fetched.0,
                engine: name.clone(),
                ready: fetched.1,
            });
        }
        if started == Some(Checkpoint::Store) {
            self.store_begun = Some(now);
        }
        if matches!(reply, EngineReply::Rejected | EngineReply::Moved) {
            engine.rest(now + REJECTED_PAUSE);
        }
    }

    fn reported(&mut self, now: Time, name: &Name, report: Option<EngineReport>) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.reported(now, report);
        }
    }

    /// Finds work for engines that have none.
    fn decide(&mut self, now: Time) {
        let catalog = self.index.catalog().clone();
        self.queued.clear();
        for pool in catalog.pools.iter().filter(|p| p.engine.is_some()) {
            self.fetch_adapters(now, pool);
            let mut census = self.census(now, pool);
            for (model, value) in self.wanted(now, pool, &census) {
                if !self.place(now, pool, &mut census, &model, value) {
                    self.queue(now, pool, &census, &model);
                }
            }
            self.spread(now, pool, &mut census);
            self.fill(now, pool, &mut census);
        }
    }

    /// Loads models that no engine holds into memory that stands free, out of
    /// copies at hand: of those that fit the most asked for, and of these the
    /// largest.
    fn fill(&mut self, now: Time, pool: &CatalogPool, census: &mut Census) {
        let roomy = census.free.iter();
        let roomy = roomy.filter_map(|(name, room)| Some((name.clone(), (*room)?)));
        for (name, room) in roomy.collect::<Vec<_>>() {
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            let copies = engine.state.cached.iter().chain(&engine.state.disk);
            let specs = copies.filter_map(|model| self.index.model(&pool.name, model));
            let fitting = specs.filter(|m| m.weights <= room && census.copies(&m.name) == 0);
            let rated = fitting.map(|m| (self.demands.rate(now, &pool.name, &m.name), m));
            let best = rated.max_by(|a, b| {
                let sizes = a.1.weights.cmp(&b.1.weights);
                a.0.total_cmp(&b.0).then(sizes)
            });
            let Some((_, model)) = best else {
                continue;
            };
            let source = engine.checkpoint(&model.name);
            engine.job = Some(Job::new(model, source, Vec::new()));
            census.place(&name, &model.name, &[]);
        }
    }

    /// Counts what the engines of a pool hold, once for all models.
    fn census(&self, now: Time, pool: &CatalogPool) -> Census {
        let mut census = Census::default();
        let engines = self.engines.iter();
        for (name, engine) in engines.filter(|(_, e)| e.state.pool == pool.name) {
            census.engines += 1;
            if engine.is_serving() {
                census.count(engine);
            }
            if engine.is_free(now) {
                census.free.insert(name.clone(), self.room(pool, engine));
            }
        }
        census
    }

    /// Returns the models that should be loaded now, the most valuable first.
    fn wanted(&self, now: Time, pool: &CatalogPool, census: &Census) -> Vec<(ModelSpec, f64)> {
        let models = pool.engine.iter().flat_map(|e| &e.models);
        let mut wanted: Vec<(ModelSpec, f64)> = models
            .filter_map(|model| {
                let copies = census.copies(&model.name);
                let rate = self.demands.rate(now, &pool.name, &model.name);
                let is_missed = self.demands.is_missed(now, &pool.name, &model.name);
                let borne = count(copies) * self.settings.copy_rate;
                let value = if copies == 0 && is_missed {
                    rate + 1.0
                } else if copies > 0 && rate > borne {
                    rate - borne
                } else if copies > 0 && self.demands.is_crowded(now, &pool.name, &model.name) {
                    rate / (count(copies) + 1.0)
                } else {
                    return None;
                };
                Some((model.clone(), value))
            })
            .collect();
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
        wanted
    }

    /// Counts the loads from the weight store that are under way.
    fn store_loads(&self) -> usize {
        let jobs = self.engines.values().filter_map(|e| e.job.as_ref());
        jobs.filter(|j| j.source == Checkpoint::Store).count()
    }

    fn may_load_from_store(&self, now: Time, pool: &CatalogPool) -> bool {
        let pause = pool
            .engine
            .as_ref()
            .map(sequoiawing_catalog::Engine::load_pause);
        let pause = pause.unwrap_or_default();
        let is_paced = self.store_begun.is_none_or(|at| now >= at + pause);
        is_paced && self.store_loads() < self.settings.store_loads
    }

    /// Announces a load from a copy at hand that waits for an engine.
    fn queue(&mut self, now: Time, pool: &CatalogPool, census: &Census, model: &ModelSpec) {
        let is_first = census.copies(&model.name) == 0;
        if !is_first || !census.is_at_hand(&model.name) {
            return;
        }
        let rounds = count(self.queued.len()) / count(census.engines).max(1.0) + 1.0;
        let takes = load_time(model, Checkpoint::Disk) + EVICTION_TIME;
        self.queued.push(LoadPlan {
            pool: pool.name.clone(),
            model: model.name.clone(),
            engine: Name::from(""),
            ready: now + takes.mul_f64(rounds + 1.0),
        });
    }

    /// Gives a load to the engine where it costs least; reports whether one
    /// takes it.
    fn place(
        &mut self,
        now: Time,
        pool: &CatalogPool,
        census: &mut Census,
        model: &ModelSpec,
        value: f64,
    ) -> bool {
        // An engine with a copy at hand is soon free again.
        let is_near = census.is_at_hand(&model.name);
        let from_store = !is_near && self.may_load_from_store(now, pool);
        let mut best: Option<(f64, Name, Checkpoint, Vec<Name>)> = None;
        for (name, room) in &census.free {
            let Some(engine) = self.engines.get(name) else {
                continue;
            };
            if engine.will_hold(&model.name) {
                continue;
            }
            let source = engine.checkpoint(&model.name);
            if source == Checkpoint::Store && !from_store {
                continue;
            }
            let free = room.and_then(|room| self.victims(now, pool, census, engine, (model, room)));
            let Some(victims) = free else {
                continue;
            };
            if victims.value >= value {
                continue;
            }
            let seconds = load_time(model, source).as_secs_f64();
            let cost = seconds + victims.value + engine.resting_cost(now);
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, name.clone(), source, victims.models));
            }
        }
        let Some((_, name, source, evict)) = best else {
            return false;
        };
        if source == Checkpoint::Store {
            self.store_begun = Some(now);
        }
        census.place(&name, &model.name, &evict);
        if let Some(engine) = self.engines.get_mut(&name) {
            engine.job = Some(Job::new(model, source, evict));
        }
        // One more copy is tried before another.
        self.demands.clear_crowded(&pool.name, &model.name);
        true
    }

    /// Brings models to the disks of engines while the weight store is idle,
    /// so that a later load is fast.
    fn spread(&mut self, now: Time, pool: &CatalogPool, census: &mut Census) {
        if !self.may_load_from_store(now, pool) {
            return;
        }
        let models = pool.engine.iter().flat_map(|e| &e.models);
        let lacking = models
            .rev()
            .filter(|m| census.copies(&m.name) == 0 && !census.is_at_hand(&m.name))
            .map(|m| (m, self.demands.rate(now, &pool.name, &m.name)));
        // Of equal rates the first model in the configuration counts.
        let most = lacking.max_by(|a, b| a.1.total_cmp(&b.1));
        let Some((model, rate)) = most.map(|(m, rate)| (m.clone(), rate)) else {
            return;
        };
        self.place(now, pool, census, &model, rate + SPREAD_VALUE);
    }

    /// Has adapters fetched that requests missed.
    fn fetch_adapters(&mut self, now: Time, pool: &CatalogPool) {
        let slots = pool.engine.as_ref().map_or(0, |e| e.adapter_slots);
        for (model, adapter) in self.demands.missed_adapters(now, &pool.name) {
            let engines = self.engines.values_mut();
            let holders = engines.filter(|e| e.state.pool == pool.name && e.holds(&model));
            let mut holders: Vec<&mut Engine> = holders.filter(|e| e.is_serving()).collect();
            if holders.iter().any(|e| e.will_have_adapter(&adapter)) {
                continue;
            }
            holders.sort_by_key(|e| e.adapters.len());
            if let Some(engine) = holders.into_iter().next() {
                engine.want_adapter(adapter, slots);
            }
        }
    }

    /// Returns the memory that a model takes; all that there is when it is not
    /// known.
    fn weights(&self, pool: &CatalogPool, model: &Name) -> u64 {
        let spec = self.index.model(&pool.name, model);
        spec.map_or(u64::MAX, |m| m.weights)
    }

    /// Returns the memory that an engine has free for models beside as many
    /// adapters as it may hold; nothing when it may be overcommitted.
    fn room(&self, pool: &CatalogPool, engine: &Engine) -> Option<u64> {
        let capacity = pool.engine.as_ref()?.weights;
        let models = engine.held_or_announced().map(|m| self.weights(pool, m));
        let adapters = engine.adapters.keys().map(|adapter| {
            let model = adapter.as_str().split_once(':').map(|(model, _)| model);
            let model = Name::from(model.unwrap_or_default());
            let spec = self.index.model(&pool.name, &model);
            spec.map_or(0, |m| m.adapter_weights)
        });
        let models = models.fold(0, u64::saturating_add);
        let adapters: u64 = adapters.sum();
        capacity.checked_sub(models.saturating_add(adapters))?;
        let adapters = adapters.max(self.index.adapter_reserve(&pool.name));
        Some(capacity.saturating_sub(models + adapters))
    }

    /// Gives up loads that no longer fit, because an engine turned out to hold
    /// more than was thought.
    fn check_room(&mut self) {
        let is_crowded = |engine: &Engine| {
            let Some(needs) = engine.job.as_ref().and_then(Job::needs) else {
                return false;
            };
            let pool = self.index.pool(&engine.state.pool);
            let room = pool.and_then(|pool| self.room(pool, engine));
            room.is_none_or(|room| room < needs)
        };
        let crowded = self.engines.iter().filter(|(_, e)| is_crowded(e));
        let crowded: Vec<Name> = crowded.map(|(name, _)| name.clone()).collect();
        for name in crowded {
            if let Some(engine) = self.engines.get_mut(&name) {
                engine.job = None;
            }
        }
    }

    fn victims(
        &self,
        now: Time,
        pool: &CatalogPool,
        census: &Census,
        engine: &Engine,
        (model, room): (&ModelSpec, u64),
    ) -> Option<Victims> {
        let needed = model.weights.saturating_sub(room);
        let weights = |name: &Name| self.weights(pool, name);
        let value = |name: &Name| {
            let copies = census.copies(name).saturating_sub(1);
            let rate = self.demands.rate(now, &pool.name, name);
            let lost = (rate - count(copies) * self.settings.copy_rate).max(0.0);
            let is_near = engine.checkpoint(name) != Checkpoint::Store || copies > 0;
            let is_used = self.demands.is_recent(now, &pool.name, name);
            lost + if is_near { 0.0 } else { FAR_VALUE } + if is_used { USED_VALUE } else { 0.0 }
        };
        let held = engine
            .evictable(now)
            .map(|name| (name.clone(), weights(name), value(name)));
        victims::choose(held.collect(), needed)
    }

    /// Has every engine's job taken one step further.
    fn drive(&mut self, now: Time, out: &mut Vec<LoaderAction>) {
        for (name, engine) in &mut self.engines {
            engine.drive(now, name, out);
        }
    }
}

/// How long evictions before a load take, about.
const EVICTION_TIME: Duration = Duration::from_millis(150);

/// What a copy on an engine's disk is worth before anyone asked for the model,
/// in requests a second.
const SPREAD_VALUE: f64 = 0.05;

/// What a model is worth, in requests a second, that would have to be loaded
/// from the weight store again.
const FAR_VALUE: f64 = 10.0;

/// What a model is worth beyond its rate, in requests a second, that requests
/// still run on: an eviction waits for them.
const USED_VALUE: f64 = 0.3;

fn load_time(model: &ModelSpec, source: Checkpoint) -> Duration {
    Duration::from_millis(match source {
        Checkpoint::Memory => model.memory_load,
        Checkpoint::Disk => model.disk_load,
        Checkpoint::Store => model.store_load,
    })
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

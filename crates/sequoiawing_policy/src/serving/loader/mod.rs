//! Placement of models on engines.

mod adapters;
mod demand;
mod engine;
mod evacuation;
mod inventory;
mod late_orders;
mod leaving;
mod memory;
mod stream_demand;
mod turns;
mod victims;

use super::{EngineReply, EngineReport};
use demand::{DemandSample, DemandTracker};
use engine::{Engine, Job, JobPhase};
use inventory::PoolInventory;
use late_orders::LateOrders;
use sequoiawing_catalog::{Catalog, CatalogIndex, CatalogPool, ModelSpec};
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use stream_demand::StreamDemand;
use victims::Victims;

/// The backoff after an engine rejected an order.
const REJECTED_BACKOFF: Duration = Duration::from_secs(2);

/// How long the load of an adapter stays in the plans after its estimated end.
/// By then the engine has announced the adapter.
const ADAPTER_PLAN_TTL: Duration = Duration::from_millis(2_500);

/// The limits of a [`ModelLoader`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoaderSettings {
    /// The number of concurrent loads from the weight store at full bandwidth.
    pub store_loads: usize,
    /// The requests per second that one replica of a model can serve before
    /// another is loaded.
    pub replica_rate: f64,
}

impl Default for LoaderSettings {
    fn default() -> Self {
        Self {
            store_loads: 4,
            replica_rate: 20.0,
        }
    }
}

/// An input of a [`ModelLoader`].
#[derive(Clone, Debug)]
pub enum LoaderEvent {
    /// A new configuration is in effect.
    Catalog(Arc<Catalog>),
    /// An upstream announced itself.
    Upstream(Arc<UpstreamState>),
    /// An upstream has left or stopped announcing itself.
    Gone(Name),
    /// The upstreams that most gateways cannot reach. Replaces the previous
    /// set.
    Unreachable(BTreeSet<Name>),
    /// The evacuated data centres. Replaces the previous set.
    Evacuated(BTreeSet<Name>),
    /// Requests arrived for a model or adapter.
    Demand {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The adapter, as `model:adapter`.
        adapter: Option<Name>,
        /// The number of requests. With none, and nothing else, the adapter is in use.
        requests: u64,
        /// How many of them can wait for a load and still be answered in time.
        patient: u64,
        /// How many of them found no upstream that has loaded it.
        missed: u64,
        /// How many of them found all such upstreams full.
        saturated: u64,
        /// How many answers began late because their upstream was busy.
        late: u64,
    },
    /// A stream that an engine of this software version began found no such engine that
    /// has loaded the model.
    StreamMissed {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The software version.
        software: Name,
    },
    /// An engine replied to an order.
    OrderAnswered {
        /// The engine.
        engine: Name,
        /// The reply.
        reply: EngineReply,
    },
    /// A request for the state of an engine completed.
    Reported {
        /// The engine.
        engine: Name,
        /// The state, or `None` if the engine did not answer.
        report: Option<EngineReport>,
    },
    /// Starts a decision on the basis of all previous events, and advances
    /// time.
    Tick,
}

/// An output of a [`ModelLoader`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoaderAction {
    /// Request the state of an engine.
    QueryState(Name),
    /// Send an order to an engine.
    Order {
        /// The engine.
        engine: Name,
        /// The order.
        kind: OrderKind,
        /// The number of orders that the engine must have accepted before this
        /// one.
        expected: u64,
    },
}

/// A load that is in progress or has just finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadPlan {
    /// The pool.
    pub pool: Name,
    /// The model, or adapter as `model:adapter`.
    pub model: Name,
    /// The engine, or an empty name while the load waits for one.
    pub engine: Name,
    /// The estimated completion time.
    pub ready: Time,
}

/// The fastest source from which an engine can load the weights of a model.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum LoadSource {
    Memory,
    Disk,
    Store,
}

/// Decides which engine loads which model; runs on the leading host.
///
/// Loads are chosen in this order:
///
/// 1. Models of interrupted streams that no engine of the stream's software version has
///    loaded, on such an engine.
/// 2. Models that are requested but not loaded, on the engine with the least
///    cost of the load and of the models that it evicts.
/// 3. Further replicas of models whose demand exceeds what their replicas can
///    serve.
/// 4. While the weight store is idle, models whose weights are not yet in the
///    memory or on the disk of any engine.
/// 5. Models with local checkpoints that fit into free engine memory.
pub struct ModelLoader {
    settings: LoaderSettings,
    index: CatalogIndex,
    engines: BTreeMap<Name, Engine>,
    late_orders: LateOrders,
    /// The evacuated data centres.
    evacuated: BTreeSet<Name>,
    demands: DemandTracker,
    streams: StreamDemand,
    /// When the last load from the weight store started.
    last_store_load: Option<Time>,
    adapter_plans: Vec<LoadPlan>,
    /// Loads that wait for a free engine.
    queued: Vec<LoadPlan>,
}

impl ModelLoader {
    /// Creates a loader without configuration and engines.
    pub fn new(settings: LoaderSettings) -> Self {
        Self {
            settings,
            index: CatalogIndex::default(),
            engines: BTreeMap::new(),
            late_orders: LateOrders::default(),
            evacuated: BTreeSet::new(),
            demands: DemandTracker::default(),
            streams: StreamDemand::default(),
            last_store_load: None,
            adapter_plans: Vec::new(),
            queued: Vec::new(),
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: LoaderEvent, out: &mut Vec<LoaderAction>) {
        match event {
            LoaderEvent::Catalog(catalog) => self.index = CatalogIndex::new(&catalog),
            LoaderEvent::Upstream(state) => self.on_upstream(now, state),
            LoaderEvent::Gone(name) => self.remove_engine(&name),
            LoaderEvent::Unreachable(unreachable) => {
                for (name, engine) in &mut self.engines {
                    engine.is_unreachable = unreachable.contains(name);
                }
            }
            LoaderEvent::Evacuated(centres) => self.set_evacuated(centres),
            LoaderEvent::Demand {
                pool,
                model,
                adapter,
                requests,
                patient,
                missed,
                saturated,
                late,
            } => {
                let sample = DemandSample {
                    requests,
                    patient,
                    is_missed: missed > 0,
                    is_saturated: saturated > 0,
                    late,
                };
                if let Some(adapter) = &adapter {
                    for engine in self.engines.values_mut() {
                        engine.use_adapter(now, adapter);
                    }
                }
                // The adapter runs a request that has been counted.
                if requests + missed + saturated + late == 0 {
                    return;
                }
                self.demands.record(now, (pool, model, adapter), sample);
            }
            LoaderEvent::StreamMissed {
                pool,
                model,
                software,
            } => self.streams.record(now, pool, model, software),
            LoaderEvent::OrderAnswered { engine, reply } => self.on_reply(now, &engine, reply),
            LoaderEvent::Reported { engine, report } => self.on_report(now, &engine, report),
            LoaderEvent::Tick => {
                self.adapter_plans
                    .retain(|p| now < p.ready + ADAPTER_PLAN_TTL);
                self.reserve_for_late_orders(now);
                self.cancel_oversized();
                self.decide(now);
                self.advance_jobs(now, out);
            }
        }
    }

    /// Returns the loads that are queued, in progress or just finished.
    pub fn plans(&self) -> Vec<LoadPlan> {
        let engines = self.engines.iter().filter(|(_, e)| !e.is_evacuated);
        let running = engines.filter_map(|(name, engine)| {
            let job = engine.job.as_ref()?;
            let JobPhase::Loading { ready } = job.phase else {
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
        let adapter_plans = self.adapter_plans.iter().cloned();
        running.chain(adapter_plans).chain(queued).collect()
    }

    /// Returns pairs of an engine and a model or adapter that it was ordered to evict but
    /// may still announce.
    pub fn evicted(&self) -> Vec<(Name, Name)> {
        let all = self.engines.iter().flat_map(|(name, engine)| {
            let evicted = engine.evicted.keys().chain(engine.leaving.names());
            evicted.map(|model| (name.clone(), model.clone()))
        });
        all.collect()
    }

    fn on_upstream(&mut self, now: Time, state: Arc<UpstreamState>) {
        let pool = self.index.pool(&state.pool);
        if pool.is_none_or(|p| p.engine.is_none()) {
            self.remove_engine(&state.name);
            return;
        }
        let known = self.engines.get_mut(&state.name);
        let is_evacuated = self.evacuated.contains(&state.centre);
        if let Some(engine) = known.filter(|e| e.state.epoch == state.epoch) {
            engine.is_evacuated = is_evacuated;
            engine.announce(now, state);
            return;
        }
        self.remove_engine(&state.name);
        let engine = Engine::new(now, state, is_evacuated);
        self.engines.insert(engine.state.name.clone(), engine);
    }

    fn on_reply(&mut self, now: Time, name: &Name, reply: EngineReply) {
        if self.late_orders.on_reply(now, name, reply) {
            return;
        }
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if reply == EngineReply::Unknown
            && let Some(order) = engine.pending_order()
        {
            let epoch = engine.state.epoch;
            self.late_orders.record(name, epoch, order);
        }
        let started = engine.on_reply(now, reply);
        if let Some((model, ready)) = engine.last_adapter_load.take() {
            self.adapter_plans.push(LoadPlan {
                pool: engine.state.pool.clone(),
                model,
                engine: name.clone(),
                ready,
            });
        }
        if started == Some(LoadSource::Store) {
            self.last_store_load = Some(now);
        }
        if matches!(reply, EngineReply::Rejected | EngineReply::Moved) {
            engine.back_off(now + REJECTED_BACKOFF);
        }
    }

    fn on_report(&mut self, now: Time, name: &Name, report: Option<EngineReport>) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.on_report(now, report);
        }
    }

    /// Assigns jobs to idle engines.
    fn decide(&mut self, now: Time) {
        let catalog = self.index.catalog().clone();
        self.queued.clear();
        for pool in catalog.pools.iter().filter(|p| p.engine.is_some()) {
            self.queue_adapters(now, pool);
            let mut inventory = self.inventory(now, pool);
            let assumed = self.settings.replica_rate;
            self.demands
                .learn_capacities(now, &pool.name, assumed, &inventory);
            self.demands.end_waits(&pool.name, &inventory);
            self.load_for_streams(now, pool, &mut inventory);
            for (model, value) in self.wanted(now, pool, &inventory) {
                if !self.assign_load(now, pool, &mut inventory, &model, value, None) {
                    self.plan_queued(now, pool, &inventory, &model);
                }
            }
            self.prefetch(now, pool, &mut inventory);
            self.fill_free_memory(now, pool, &mut inventory);
        }
    }

    /// Fills free engine memory with models that no engine holds, from local
    /// checkpoints. Prefers the most requested model that fits, and the largest
    /// among equals.
    fn fill_free_memory(&mut self, now: Time, pool: &CatalogPool, inventory: &mut PoolInventory) {
        let engines = inventory.free.iter();
        let engines =
            engines.filter_map(|(name, free_memory)| Some((name.clone(), (*free_memory)?)));
        for (name, free_memory) in engines.collect::<Vec<_>>() {
            let Some(engine) = self.engines.get_mut(&name) else {
                continue;
            };
            let checkpoints = engine.state.cached.iter().chain(&engine.state.disk);
            let specs = checkpoints.filter_map(|model| self.index.model(&pool.name, model));
            let fitting =
                specs.filter(|m| m.weights <= free_memory && inventory.replicas(&m.name) == 0);
            let rated = fitting.map(|m| (self.demands.rate(now, &pool.name, &m.name), m));
            let best = rated.max_by(|a, b| {
                let sizes = a.1.weights.cmp(&b.1.weights);
                a.0.total_cmp(&b.0).then(sizes)
            });
            let Some((_, model)) = best else {
                continue;
            };
            let source = engine.load_source(&model.name);
            engine.job = Some(Job::new(model, source, Vec::new()));
            inventory.assign(&name, &model.name, &[]);
        }
    }

    /// Builds the inventory of a pool, once for all models.
    fn inventory(&self, now: Time, pool: &CatalogPool) -> PoolInventory {
        let mut inventory = PoolInventory::default();
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, e)| e.state.pool == pool.name && !e.is_evacuated);
        for (name, engine) in engines {
            inventory.engines += 1;
            if engine.is_serving() {
                inventory.add(now, engine);
            }
            if engine.is_free(now) {
                inventory
                    .free
                    .insert(name.clone(), self.free_memory(pool, engine));
            }
        }
        inventory
    }

    /// Returns the models that should be loaded now with their values, the most
    /// valuable first.
    fn wanted(
        &self,
        now: Time,
        pool: &CatalogPool,
        inventory: &PoolInventory,
    ) -> Vec<(ModelSpec, f64)> {
        let models = pool.engine.iter().flat_map(|e| &e.models);
        let takes_turns = self.demands.has_patient(&pool.name);
        let mut wanted: Vec<(ModelSpec, f64, f64)> = models
            .filter_map(|model| {
                let replicas = inventory.replicas(&model.name);
                let rate = self.demands.rate(now, &pool.name, &model.name);
                let is_missed = self.demands.is_missed(now, &pool.name, &model.name);
                let assumed = self.settings.replica_rate;
                let capacity = self.demands.capacity(now, &pool.name, &model.name, assumed);
                let served = count(replicas) * capacity;
                let value = if replicas == 0 && is_missed {
                    rate + 1.0
                } else if let Some(value) = self.displaced_value(now, pool, &model.name, replicas) {
                    value
                } else if replicas > 0 && self.demands.is_overloaded(now, &pool.name, &model.name) {
                    (rate - served).max(rate / (count(replicas) + 1.0))
                } else if replicas > 0 && rate > served {
                    rate - served
                } else {
                    return None;
                };
                if !takes_turns {
                    return Some((model.clone(), value, value));
                }
                let demand = self.demands.demand(now, &pool.name, &model.name);
                let (gain, rank) = if replicas == 0 {
                    (turns::gain(&demand), turns::rank(&demand))
                } else {
                    let gain = turns::replica_gain(value);
                    (gain, gain)
                };
                Some((model.clone(), gain, rank))
            })
            .collect();
        wanted.sort_by(|a, b| b.2.total_cmp(&a.2));
        let wanted = wanted.into_iter().map(|(model, value, _)| (model, value));
        wanted.collect()
    }

    /// Returns the number of loads from the weight store in progress.
    fn store_loads(&self) -> usize {
        let jobs = self.engines.values().filter_map(|e| e.job.as_ref());
        jobs.filter(|j| j.source == LoadSource::Store).count()
    }

    fn may_load_from_store(&self, now: Time, pool: &CatalogPool) -> bool {
        let interval = pool
            .engine
            .as_ref()
            .map(sequoiawing_catalog::Engine::load_interval);
        let interval = interval.unwrap_or_default();
        let is_interval_over = self.last_store_load.is_none_or(|at| now >= at + interval);
        is_interval_over && self.store_loads() < self.settings.store_loads
    }

    /// Plans a load from a local checkpoint that waits for a free engine.
    fn plan_queued(
        &mut self,
        now: Time,
        pool: &CatalogPool,
        inventory: &PoolInventory,
        model: &ModelSpec,
    ) {
        let is_first = inventory.replicas(&model.name) == 0;
        if !is_first || !inventory.has_checkpoint(&model.name) {
            return;
        }
        let rounds = count(self.queued.len()) / count(inventory.engines).max(1.0) + 1.0;
        let duration = load_time(model, LoadSource::Disk) + EVICTION_DURATION;
        self.queued.push(LoadPlan {
            pool: pool.name.clone(),
            model: model.name.clone(),
            engine: Name::from(""),
            ready: now + duration.mul_f64(rounds + 1.0),
        });
    }

    /// Assigns a load to the engine with the least cost, of a software version if one is
    /// given. Returns whether there is one.
    fn assign_load(
        &mut self,
        now: Time,
        pool: &CatalogPool,
        inventory: &mut PoolInventory,
        model: &ModelSpec,
        value: f64,
        software: Option<&Name>,
    ) -> bool {
        // An engine with a local checkpoint will be free soon, so the weight
        // store is not used.
        let has_checkpoint = inventory.has_checkpoint(&model.name);
        let from_store = !has_checkpoint && self.may_load_from_store(now, pool);
        let mut best: Option<(f64, Name, LoadSource, Vec<Name>)> = None;
        for (name, free_memory) in &inventory.free {
            let Some(engine) = self.engines.get(name) else {
                continue;
            };
            let is_of_version = software.is_none() || engine.state.software.as_ref() == software;
            if engine.will_hold(&model.name) || !is_of_version {
                continue;
            }
            let source = engine.load_source(&model.name);
            if source == LoadSource::Store && !from_store {
                continue;
            }
            let victims = free_memory.and_then(|free_memory| {
                self.victims(now, pool, inventory, engine, (model, free_memory))
            });
            let Some(victims) = victims else {
                continue;
            };
            if victims.value >= value {
                continue;
            }
            let seconds = load_time(model, source).as_secs_f64();
            let delay =
                engine.recent_order_cost(now) + engine.cold_cost(now) + engine.failure_cost(now);
            let cost = seconds + victims.value + delay;
            if best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, name.clone(), source, victims.models));
            }
        }
        let Some((_, name, source, evict)) = best else {
            return false;
        };
        if source == LoadSource::Store {
            self.last_store_load = Some(now);
        }
        inventory.assign(&name, &model.name, &evict);
        let is_used = |victim: &Name| self.demands.is_recent(now, &pool.name, victim);
        let has_idle_victims = self.demands.has_patient(&pool.name) && !evict.iter().any(is_used);
        if let Some(engine) = self.engines.get_mut(&name) {
            let job = Job::new(model, source, evict);
            engine.job = Some(if has_idle_victims {
                job.with_idle_victims()
            } else {
                job
            });
        }
        true
    }

    /// Prefetches models to engine disks while the weight store is idle, so
    /// that later loads are fast.
    fn prefetch(&mut self, now: Time, pool: &CatalogPool, inventory: &mut PoolInventory) {
        if !self.may_load_from_store(now, pool) {
            return;
        }
        let models = pool.engine.iter().flat_map(|e| &e.models);
        let absent = models
            .rev()
            .filter(|m| inventory.replicas(&m.name) == 0 && !inventory.has_checkpoint(&m.name))
            .map(|m| (m, self.demands.rate(now, &pool.name, &m.name)));
        // Among equal rates, the first model in the configuration wins.
        let most = absent.max_by(|a, b| a.1.total_cmp(&b.1));
        let Some((model, rate)) = most.map(|(m, rate)| (m.clone(), rate)) else {
            return;
        };
        self.assign_load(now, pool, inventory, &model, rate + PREFETCH_VALUE, None);
    }

    fn victims(
        &self,
        now: Time,
        pool: &CatalogPool,
        inventory: &PoolInventory,
        engine: &Engine,
        (model, free_memory): (&ModelSpec, u64),
    ) -> Option<Victims> {
        let needed = model.weights.saturating_sub(free_memory);
        let weights = |name: &Name| self.weights(pool, name);
        let takes_turns = self.demands.has_patient(&pool.name);
        let value = |name: &Name| {
            let replicas = inventory.replicas(name).saturating_sub(1);
            let rate = self.demands.rate(now, &pool.name, name);
            let assumed = self.settings.replica_rate;
            let capacity = self.demands.capacity(now, &pool.name, name, assumed);
            let lost = (rate - count(replicas) * capacity).max(0.0);
            let is_cheap = engine.load_source(name) != LoadSource::Store || replicas > 0;
            let is_used = self.demands.is_recent(now, &pool.name, name);
            if takes_turns {
                let demand = self.demands.demand(now, &pool.name, name);
                let share = if rate > 0.0 { lost / rate } else { 0.0 };
                return turns::cost(&demand, share, is_cheap, is_used);
            }
            lost + if is_cheap { 0.0 } else { RELOAD_VALUE }
                + if is_used { IN_USE_VALUE } else { 0.0 }
        };
        let held = engine
            .evictable(now)
            .map(|name| (name.clone(), weights(name), value(name)));
        victims::choose(held.collect(), needed)
    }

    /// Advances the jobs of all engines.
    fn advance_jobs(&mut self, now: Time, out: &mut Vec<LoaderAction>) {
        for (name, engine) in &mut self.engines {
            if !self.late_orders.is_awaited(now, name) {
                engine.advance(now, name, out);
            }
        }
    }
}

/// The approximate duration of the evictions before a load.
const EVICTION_DURATION: Duration = Duration::from_millis(150);

/// The value of a checkpoint on an engine disk before any request for the
/// model, in requests per second.
const PREFETCH_VALUE: f64 = 0.05;

/// The value added to a model that could be reloaded only from the weight
/// store, in requests per second.
const RELOAD_VALUE: f64 = 10.0;

/// The value added to a model that still runs requests, in requests per second:
/// evicting it waits for them.
const IN_USE_VALUE: f64 = 0.3;

fn load_time(model: &ModelSpec, source: LoadSource) -> Duration {
    Duration::from_millis(match source {
        LoadSource::Memory => model.memory_load,
        LoadSource::Disk => model.disk_load,
        LoadSource::Store => model.store_load,
    })
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

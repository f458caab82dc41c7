use super::{LoadSource, engine::Engine};
use sequoiawing_types::{Name, Time};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The models held by the engines of one pool, as of one decision.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolInventory {
    /// The number of engines.
    pub(super) engines: usize,
    /// The engines that can take a load, with their free memory in megabytes,
    /// or `None` if the memory may be overcommitted.
    pub(super) free: BTreeMap<Name, Option<u64>>,
    /// The number of engines per model that hold it or will hold it.
    replicas: HashMap<Name, usize>,
    /// The models whose weights are, or will be, in the host memory or on the
    /// disk of an engine that does not hold them.
    checkpoints: HashSet<Name>,
    /// The models that an engine loads or is about to load.
    loading: HashSet<Name>,
}

impl PoolInventory {
    /// Adds the models of a serving engine. The load of one that leaves an order
    /// unanswered does not count, so that another engine takes it over.
    pub(super) fn add(&mut self, now: Time, engine: &Engine) {
        let loading = engine.job.as_ref().map(|job| &job.model);
        let stalled = loading.filter(|_| engine.is_stalled(now));
        let loading = loading.filter(|_| stalled.is_none());
        self.loading.extend(loading.cloned());
        let held = engine.held().filter(|m| Some(*m) != loading);
        let remaining = held.filter(|m| engine.will_hold(m) && Some(*m) != stalled);
        for model in remaining.chain(loading) {
            *self.replicas.entry(model.clone()).or_default() += 1;
        }
        let stored = engine.state.cached.iter().chain(&engine.state.disk);
        let unloaded = stored.filter(|m| !engine.holds(m));
        let unloaded = unloaded.filter(|m| engine.load_source(m) != LoadSource::Store);
        for model in unloaded.chain(loading) {
            if !self.checkpoints.contains(model) {
                self.checkpoints.insert(model.clone());
            }
        }
    }

    /// Returns the number of engines that hold a model or will hold it.
    pub(super) fn replicas(&self, model: &Name) -> usize {
        self.replicas.get(model).copied().unwrap_or_default()
    }

    /// Returns whether an engine loads a model or is about to.
    pub(super) fn is_loading(&self, model: &Name) -> bool {
        self.loading.contains(model)
    }

    /// Returns whether the weights of a model are, or will be, in the host
    /// memory or on the disk of an engine that does not hold it.
    pub(super) fn has_checkpoint(&self, model: &Name) -> bool {
        self.checkpoints.contains(model)
    }

    /// Records that an engine was assigned a load and will evict other models.
    pub(super) fn assign(&mut self, engine: &Name, model: &Name, evict: &[Name]) {
        self.free.remove(engine);
        *self.replicas.entry(model.clone()).or_default() += 1;
        self.checkpoints.insert(model.clone());
        self.loading.insert(model.clone());
        for name in evict {
            if let Some(replicas) = self.replicas.get_mut(name) {
                *replicas = replicas.saturating_sub(1);
            }
        }
    }
}

use super::{
    ModelLoader,
    engine::{Engine, Job},
};
use sequoiawing_catalog::CatalogPool;
use sequoiawing_types::Name;

impl ModelLoader {
    /// Returns the memory of a model in megabytes, or `u64::MAX` if the model
    /// is unknown.
    pub(super) fn weights(&self, pool: &CatalogPool, model: &Name) -> u64 {
        let spec = self.index.model(&pool.name, model);
        spec.map_or(u64::MAX, |m| m.weights)
    }

    /// Returns the memory of an engine that is free for models, in megabytes,
    /// after the reserves for adapters and for late orders. Returns `None` if the engine may be
    /// overcommitted.
    pub(super) fn free_memory(&self, pool: &CatalogPool, engine: &Engine) -> Option<u64> {
        let capacity = pool.engine.as_ref()?.weights;
        let models = engine.held_or_announced().map(|m| self.weights(pool, m));
        let adapters = engine.adapters.keys().chain(engine.leaving.names());
        let adapters = adapters.map(|adapter| {
            let model = adapter.as_str().split_once(':').map(|(model, _)| model);
            let model = Name::from(model.unwrap_or_default());
            let spec = self.index.model(&pool.name, &model);
            spec.map_or(0, |m| m.adapter_weights)
        });
        let models = models.fold(0, u64::saturating_add);
        let adapters: u64 = adapters.sum();
        capacity.checked_sub(models.saturating_add(adapters))?;
        let adapters = adapters.max(self.index.adapter_reserve(&pool.name));
        Some(capacity.saturating_sub(models + adapters + engine.reserve.memory))
    }

    /// Cancels loads that no longer fit, because an engine turned out to hold
    /// more than assumed.
    pub(super) fn cancel_oversized(&mut self) {
        let is_overcommitted = |engine: &Engine| {
            let Some(needed) = engine.job.as_ref().and_then(Job::pending_memory) else {
                return false;
            };
            let pool = self.index.pool(&engine.state.pool);
            let free_memory = pool.and_then(|pool| self.free_memory(pool, engine));
            free_memory.is_none_or(|free_memory| free_memory < needed)
        };
        let overcommitted = self.engines.iter().filter(|(_, e)| is_overcommitted(e));
        let overcommitted: Vec<Name> = overcommitted.map(|(name, _)| name.clone()).collect();
        for name in overcommitted {
            if let Some(engine) = self.engines.get_mut(&name) {
                engine.job = None;
            }
        }
    }
}

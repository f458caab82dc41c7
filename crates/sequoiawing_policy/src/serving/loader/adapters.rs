use super::{ModelLoader, engine::Engine};
use sequoiawing_catalog::CatalogPool;
use sequoiawing_types::Time;
use std::time::Duration;

/// How long an adapter waits for one that is not in use to give way. An engine drops one in
/// use only when its requests have ended.
const ADAPTER_PATIENCE: Duration = Duration::from_secs(3);

impl ModelLoader {
    /// Queues the adapters that requests found missing.
    pub(super) fn queue_adapters(&mut self, now: Time, pool: &CatalogPool) {
        let slots = pool.engine.as_ref().map_or(0, |e| e.adapter_slots);
        for (model, adapter, missing) in self.demands.missed_adapters(now, &pool.name) {
            let engines = self.engines.values_mut();
            let holders = engines.filter(|e| e.state.pool == pool.name && e.holds(&model));
            let mut holders: Vec<&mut Engine> = holders.filter(|e| e.is_serving()).collect();
            if holders.is_empty() {
                continue;
            }
            if holders.iter().any(|e| e.will_have_adapter(&adapter)) {
                if missing >= ADAPTER_PATIENCE {
                    let engines = holders.into_iter();
                    engines.for_each(|engine| engine.verify_adapter(now, &adapter));
                }
                continue;
            }
            if !holders.iter().any(|e| e.has_adapter_slot(now, slots)) {
                // Another replica has slots too.
                self.demands.mark_overloaded(now, &pool.name, &model);
                if missing < ADAPTER_PATIENCE {
                    continue;
                }
            }
            holders.sort_by_key(|e| {
                let is_crowded = !e.has_adapter_slot(now, slots);
                (
                    is_crowded,
                    e.load_delay(now),
                    e.adapters.len() + e.leaving.len(),
                )
            });
            if let Some(engine) = holders.into_iter().next() {
                engine.queue_adapter(adapter, slots);
            }
        }
    }
}

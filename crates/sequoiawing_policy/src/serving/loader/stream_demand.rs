use super::{ModelLoader, inventory::PoolInventory};
use sequoiawing_catalog::CatalogPool;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// How long a stream that found no replica counts as waiting for its model or as about to
/// be taken up again.
const MISS_TTL: Duration = Duration::from_secs(2);

/// The value added to a model for which an interrupted stream waits, in requests per
/// second. Most of the stream's work is done, and only one software version can go on.
const STREAM_VALUE: f64 = 2.0;

/// The models for which streams wait, with the software version that must go on with them.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamDemand {
    /// When a stream last missed a model, by pool, model and software version.
    missed: BTreeMap<(Name, Name, Name), Time>,
}

impl StreamDemand {
    pub(super) fn record(&mut self, now: Time, pool: Name, model: Name, software: Name) {
        self.missed.insert((pool, model, software), now);
    }

    /// Returns the models of a pool for which streams wait, with the software versions.
    pub(super) fn missed(&mut self, now: Time, pool: &Name) -> Vec<(Name, Name)> {
        self.missed.retain(|_, at| now < *at + MISS_TTL);
        let missed = self.missed.keys().filter(|(p, ..)| p == pool);
        missed.map(|(_, m, s)| (m.clone(), s.clone())).collect()
    }
}

impl ModelLoader {
    /// Assigns loads of the models for which streams wait to engines of their software
    /// version.
    pub(super) fn load_for_streams(
        &mut self,
        now: Time,
        pool: &CatalogPool,
        inventory: &mut PoolInventory,
    ) {
        for (model, software) in self.streams.missed(now, &pool.name) {
            let mut engines = self.engines.values();
            let is_held = engines.any(|engine| {
                let state = &engine.state;
                let is_of_version = state.software.as_ref() == Some(&software);
                let is_serving = state.pool == pool.name && engine.is_serving();
                is_serving && is_of_version && engine.will_hold(&model)
            });
            let spec = self.index.model(&pool.name, &model).cloned();
            if let Some(spec) = spec.filter(|_| !is_held) {
                let value = self.demands.rate(now, &pool.name, &model) + STREAM_VALUE;
                self.assign_load(now, pool, inventory, &spec, value, Some(&software));
            }
        }
    }
}

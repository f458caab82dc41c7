//! Placement while data centres are evacuated.

use super::{ModelLoader, PREFETCH_VALUE};
use sequoiawing_catalog::CatalogPool;
use sequoiawing_types::{Name, Time};
use std::collections::BTreeSet;

/// The value of a replacement for a model that is in use and that only evacuated engines
/// hold, in requests per second. It is that of a model that requests found missing, since
/// they will within seconds.
const DISPLACED_VALUE: f64 = 1.0;

impl ModelLoader {
    /// Sets the evacuated data centres. Their engines get no orders, and count neither as
    /// replicas nor as room.
    pub(super) fn set_evacuated(&mut self, centres: BTreeSet<Name>) {
        self.evacuated = centres;
        for engine in self.engines.values_mut() {
            engine.is_evacuated = self.evacuated.contains(&engine.state.centre);
        }
    }

    /// Returns the value of a replacement for a model, or `None` if it has replicas or no
    /// evacuated engine holds it.
    pub(super) fn displaced_value(
        &self,
        now: Time,
        pool: &CatalogPool,
        model: &Name,
        replicas: usize,
    ) -> Option<f64> {
        if replicas > 0 || self.evacuated.is_empty() {
            return None;
        }
        let mut engines = self.engines.values();
        let is_displaced = engines.any(|engine| {
            engine.is_evacuated && engine.state.pool == pool.name && engine.will_hold(model)
        });
        let is_used = self.demands.is_recent(now, &pool.name, model);
        let least = if is_used {
            DISPLACED_VALUE
        } else {
            PREFETCH_VALUE
        };
        let rate = self.demands.rate(now, &pool.name, model);
        is_displaced.then_some(rate + least)
    }
}

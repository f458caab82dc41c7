use crate::{CheckpointLocation, PlaceSettings, place::settings::REFERENCE_MIB};
use sequoiawing_types::Name;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The load times from disk and from main memory relative to the weight store,
/// assumed until a load has been observed.
const DISK_FACTOR: f64 = 0.35;
const MEMORY_FACTOR: f64 = 0.12;

/// The weight of the latest load in the moving averages.
const EWMA_WEIGHT: f64 = 0.3;

/// The weight of the latest load in the moving average of the store's slowness.
const SLOWNESS_WEIGHT: f64 = 0.5;

/// The slowness of the store above which load times are not attributed to the
/// model.
const MAX_USUAL_SLOWNESS: f64 = 1.5;

/// The observed load times, by model and checkpoint location.
#[derive(Clone, Debug)]
pub(crate) struct LoadTimes {
    models: BTreeMap<(Name, CheckpointLocation), f64>,
    secs_per_mib: BTreeMap<CheckpointLocation, f64>,
    learned: BTreeSet<CheckpointLocation>,
    slowness: f64,
    running_slowness: f64,
}

impl LoadTimes {
    pub(crate) fn new(settings: &PlaceSettings) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a small constant")]
        let remote = settings.load_time.as_secs_f64() / REFERENCE_MIB as f64;
        let secs_per_mib = [
            (CheckpointLocation::Memory, remote * MEMORY_FACTOR),
            (CheckpointLocation::Disk, remote * DISK_FACTOR),
            (CheckpointLocation::Remote, remote),
        ];
        Self {
            models: BTreeMap::new(),
            secs_per_mib: BTreeMap::from(secs_per_mib),
            learned: BTreeSet::new(),
            slowness: 1.0,
            running_slowness: 1.0,
        }
    }

    /// Returns the load time at the usual speed of the store.
    pub(crate) fn baseline(
        &self,
        model: &Name,
        memory: u64,
        checkpoint: CheckpointLocation,
    ) -> Duration {
        let known = self.models.get(&(model.clone(), checkpoint));
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let by_size = memory.max(1) as f64 * self.secs_per_mib[&checkpoint];
        Duration::from_secs_f64(known.copied().unwrap_or(by_size))
    }

    /// Estimates the duration of a load that starts now.
    pub(crate) fn estimate(
        &self,
        model: &Name,
        memory: u64,
        checkpoint: CheckpointLocation,
    ) -> Duration {
        let baseline = self.baseline(model, memory, checkpoint);
        match checkpoint {
            CheckpointLocation::Remote => {
                baseline.mul_f64(self.slowness.max(self.running_slowness))
            }
            CheckpointLocation::Memory | CheckpointLocation::Disk => baseline,
        }
    }

    /// Returns whether a load from the location has been observed.
    pub(crate) fn is_learned(&self, checkpoint: CheckpointLocation) -> bool {
        self.learned.contains(&checkpoint)
    }

    /// Updates the estimates with a successful load.
    pub(crate) fn observe(
        &mut self,
        model: &Name,
        memory: u64,
        checkpoint: CheckpointLocation,
        took: Duration,
    ) {
        let took = took.as_secs_f64();
        if checkpoint == CheckpointLocation::Remote {
            let baseline = self.baseline(model, memory, checkpoint).as_secs_f64();
            let ratio = (took / baseline.max(1e-3)).clamp(0.25, 50.0);
            let known = self.models.contains_key(&(model.clone(), checkpoint));
            if known {
                self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
            }
            if known && self.slowness > MAX_USUAL_SLOWNESS {
                return;
            }
        }
        let mean = self
            .models
            .entry((model.clone(), checkpoint))
            .or_insert(took);
        *mean += EWMA_WEIGHT * (took - *mean);
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let rate = took / memory.max(1) as f64;
        let weight = if self.learned.insert(checkpoint) {
            1.0
        } else {
            EWMA_WEIGHT
        };
        if let Some(mean) = self.secs_per_mib.get_mut(&checkpoint) {
            *mean += weight * (rate - *mean);
        }
    }

    /// Updates the slowness from the running loads from the store: the ratios
    /// of elapsed to usual time, in ascending order. The highest may be a hung
    /// load, so the second highest is used.
    pub(crate) fn update_running(&mut self, ratios: &[f64]) {
        let second = ratios.len().checked_sub(2).map(|i| ratios[i]);
        self.running_slowness = second.unwrap_or(1.0).max(1.0);
    }

    /// Returns the store's current load time as a multiple of the usual one.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness.max(self.running_slowness).max(1.0)
    }
}

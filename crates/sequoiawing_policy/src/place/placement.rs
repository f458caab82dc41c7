use sequoiawing_fleet::UpstreamState;
use sequoiawing_types::Name;
use std::time::Duration;

/// The location of a model checkpoint relative to an upstream, nearest first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum CheckpointLocation {
    /// In the main memory of the upstream.
    Memory,
    /// On the disk of the upstream.
    Disk,
    /// In the weight store.
    #[default]
    Remote,
}

impl CheckpointLocation {
    /// Returns where the model's checkpoint is.
    pub fn of(state: &UpstreamState, model: &Name) -> Self {
        if state.cached.contains(model) {
            Self::Memory
        } else if state.disk.contains(model) {
            Self::Disk
        } else {
            Self::Remote
        }
    }
}

/// An upstream that could load a replica.
#[derive(Clone, Debug)]
pub struct Placement<'a> {
    /// The latest announcement of the upstream.
    pub state: &'a UpstreamState,
    /// The location of the checkpoint.
    pub checkpoint: CheckpointLocation,
    /// The estimated load time.
    pub estimate: Duration,
    /// The memory left after the load, in MiB.
    pub spare: u64,
    /// Whether enough memory is free now, without evictions.
    pub has_room: bool,
    /// The number of pending load orders on the upstream.
    pub loads: u32,
    /// The models to evict first.
    pub victims: Vec<Name>,
    /// The expected cost of the evictions, in seconds of load time.
    pub eviction_cost: f64,
}

/// Chooses the upstream that loads a replica.
pub trait ChoosePlacement: Send {
    /// Returns the index of the chosen placement. `placements` is not empty and
    /// sorted by upstream name.
    fn choose(&self, placements: &[Placement<'_>]) -> usize;
}

/// Chooses the first upstream with free memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl ChoosePlacement for FirstFit {
    fn choose(&self, placements: &[Placement<'_>]) -> usize {
        placements.iter().position(|p| p.has_room).unwrap_or(0)
    }
}

/// Chooses the upstream where the replica is ready first, including the cost of
/// evictions.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestCheckpoint;

/// The time to unload a model, in seconds.
const UNLOAD_SECS: f64 = 0.3;

/// The cost of each concurrent load on the same upstream, in seconds.
const CONTENTION_SECS: f64 = 0.05;

impl NearestCheckpoint {
    fn cost(placement: &Placement<'_>) -> f64 {
        let unload = if placement.has_room { 0.0 } else { UNLOAD_SECS };
        let contention = f64::from(placement.loads) * CONTENTION_SECS;
        let slots = f64::from(placement.state.slots.max(1));
        let utilization = f64::from(placement.state.running) / slots;
        placement.estimate.as_secs_f64()
            + unload
            + placement.eviction_cost
            + contention
            + utilization * CONTENTION_SECS
    }
}

impl ChoosePlacement for NearestCheckpoint {
    fn choose(&self, placements: &[Placement<'_>]) -> usize {
        let mut best = 0;
        for i in 1..placements.len() {
            let order = Self::cost(&placements[i]).total_cmp(&Self::cost(&placements[best]));
            let order = order.then(placements[best].spare.cmp(&placements[i].spare));
            if order.is_lt() {
                best = i;
            }
        }
        best
    }
}

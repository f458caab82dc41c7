use sequoiawing_fleet::{Order, OrderKind, OrderReply, UpstreamKind, UpstreamState};
use sequoiawing_policy::CheckpointLocation;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// A runner of a deployment.
#[derive(Clone, Debug)]
pub struct RunnerSpec {
    /// The name.
    pub name: Name,
    /// The pool.
    pub pool: Name,
    /// The data centre.
    pub centre: Name,
    /// The accelerator memory, in MiB.
    pub memory: u64,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The models whose checkpoint is on its disk.
    pub disk: Vec<Name>,
    /// The models whose checkpoint is in its main memory.
    pub cached: Vec<Name>,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
}

/// The checkpoints that main memory keeps of unloaded models.
const CACHED_MODELS: usize = 4;

/// The orders that an announcement lists as taken.
const TAKEN_ORDERS: usize = 32;

/// The prompts' beginnings that an engine's cache holds.
const CACHED_PREFIXES: usize = 64;

/// What an order makes a runner begin.
#[derive(Clone, Debug)]
pub(crate) enum Started {
    /// Nothing that takes time.
    Nothing,
    /// The load of a model.
    Load {
        model: Name,
        checkpoint: CheckpointLocation,
    },
    /// The load of an adapter.
    Adapter { adapter: Name },
    /// The end of a load.
    Abort { model: Name },
}

/// A load in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loading {
    pub(crate) memory: u64,
    /// Whether it uses the weight store.
    pub(crate) is_remote: bool,
}

/// A replica and what it is used for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) memory: u64,
    pub(crate) running: u32,
    /// Since when it has run nothing.
    pub(crate) idle: Time,
}

/// A stand-in for an engine. It obeys blindly, so that an order that should not
/// have been given shows.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults come and go independently of each other"
)]
pub(crate) struct FakeRunner {
    pub(crate) spec: RunnerSpec,
    pub(crate) epoch: u64,
    pub(crate) is_alive: bool,
    pub(crate) is_frozen: bool,
    /// Whether its answers to orders are lost.
    pub(crate) is_mute: bool,
    /// Whether its loads never end.
    pub(crate) is_hanging: bool,
    /// Whether its loads fail.
    pub(crate) is_failing: bool,
    pub(crate) is_leaving: bool,
    /// Whether its announcements list the orders that it took in.
    pub(crate) tells_orders: bool,
    sequence: u64,
    fence: u64,
    orders: BTreeSet<(u64, u64)>,
    taken: VecDeque<u64>,
    pub(crate) loaded: BTreeMap<Name, Held>,
    pub(crate) loading: BTreeMap<Name, Loading>,
    adapters: BTreeSet<Name>,
    loading_adapters: BTreeSet<Name>,
    failed: BTreeSet<Name>,
    cached: VecDeque<Name>,
    active: BTreeSet<Name>,
    prefixes: VecDeque<u64>,
    stored: Vec<u64>,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<usize>,
    /// The orders that wait for a frozen runner.
    pub(crate) inbox: Vec<Order>,
}

impl FakeRunner {
    pub(crate) fn new(spec: RunnerSpec) -> Self {
        let cached = spec.cached.iter().cloned().collect();
        Self {
            spec,
            epoch: 1,
            is_alive: true,
            is_frozen: false,
            is_mute: false,
            is_hanging: false,
            is_failing: false,
            is_leaving: false,
            tells_orders: true,
            sequence: 0,
            fence: 0,
            orders: BTreeSet::new(),
            taken: VecDeque::new(),
            loaded: BTreeMap::new(),
            loading: BTreeMap::new(),
            adapters: BTreeSet::new(),
            loading_adapters: BTreeSet::new(),
            failed: BTreeSet::new(),
            cached,
            active: BTreeSet::new(),
            prefixes: VecDeque::new(),
            stored: Vec::new(),
            running: 0,
            queue: VecDeque::new(),
            inbox: Vec::new(),
        }
    }

    /// Starts the runner anew, with nothing loaded.
    pub(crate) fn restart(&mut self) {
        let mut fresh = Self::new(self.spec.clone());
        fresh.epoch = self.epoch + 1;
        fresh.tells_orders = self.tells_orders;
        *self = fresh;
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.is_alive && !self.is_frozen
    }

    /// Notes that a load in progress uses the weight store.
    pub(crate) fn note_remote(&mut self, model: &Name) {
        if let Some(loading) = self.loading.get_mut(model) {
            loading.is_remote = true;
        }
    }

    /// Counts the loads in progress that use the weight store.
    pub(crate) fn remote_loads(&self) -> u32 {
        let remote = self.loading.values().filter(|l| l.is_remote);
        u32::try_from(remote.count()).unwrap_or(u32::MAX)
    }

    /// Counts the adapter loads in progress.
    pub(crate) fn adapter_loads(&self) -> u32 {
        u32::try_from(self.loading_adapters.len()).unwrap_or(u32::MAX)
    }

    /// Reports whether the model is loaded or being loaded.
    pub(crate) fn holds(&self, model: &Name) -> bool {
        self.loaded.contains_key(model) || self.loading.contains_key(model)
    }

    /// Returns the memory that models take, in MiB.
    pub(crate) fn used_memory(&self) -> u64 {
        let loaded = self.loaded.values().map(|h| h.memory);
        loaded.chain(self.loading.values().map(|l| l.memory)).sum()
    }

    /// Announces the runner's state.
    pub(crate) fn announce(&mut self, lifetime: Duration) -> UpstreamState {
        self.sequence += 1;
        let mut active = std::mem::take(&mut self.active);
        let busy = self.loaded.iter().filter(|(_, h)| h.running > 0);
        active.extend(busy.map(|(model, _)| model.clone()));
        let loading = self.loading.keys().chain(&self.loading_adapters);
        let taken = self.taken.iter().copied();
        UpstreamState {
            name: self.spec.name.clone(),
            pool: self.spec.pool.clone(),
            centre: self.spec.centre.clone(),
            kind: UpstreamKind::Runner,
            address: None,
            epoch: self.epoch,
            sequence: self.sequence,
            lifetime: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
            leaving: self.is_leaving,
            fenced: self.spec.fenced,
            fence: self.fence,
            memory: self.spec.memory,
            slots: self.spec.slots,
            running: self.running + u32::try_from(self.queue.len()).unwrap_or(0),
            loaded: self.loaded.keys().cloned().collect(),
            adapters: self.adapters.iter().cloned().collect(),
            active: active.into_iter().collect(),
            loading: loading.cloned().collect(),
            failed: self.failed.iter().cloned().collect(),
            disk: self.spec.disk.clone(),
            cached: self.cached.iter().cloned().collect(),
            taken: if self.tells_orders {
                taken.collect()
            } else {
                Vec::new()
            },
            stored: std::mem::take(&mut self.stored),
        }
    }

    /// Takes in an order.
    pub(crate) fn order(&mut self, order: &Order) -> (OrderReply, Started) {
        if self.spec.fenced && order.fence < self.fence {
            let fence = self.fence;
            return (OrderReply::Outdated { fence }, Started::Nothing);
        }
        if order.epoch != self.epoch {
            let problem = "the order is for another start of this upstream".to_owned();
            return (OrderReply::Rejected { problem }, Started::Nothing);
        }
        self.fence = self.fence.max(order.fence);
        if !self.orders.insert((order.fence, order.id)) {
            return (OrderReply::Accepted, Started::Nothing);
        }
        self.taken.push_back(order.id);
        if self.taken.len() > TAKEN_ORDERS {
            self.taken.pop_front();
        }
        (OrderReply::Accepted, self.carry_out(&order.kind))
    }

    fn carry_out(&mut self, kind: &OrderKind) -> Started {
        match kind {
            OrderKind::Load { model, memory } => {
                if self.holds(model) {
                    return Started::Nothing;
                }
                self.failed.remove(model);
                let loading = Loading {
                    memory: *memory,
                    is_remote: false,
                };
                self.loading.insert(model.clone(), loading);
                let checkpoint = self.checkpoint(model);
                let model = model.clone();
                Started::Load { model, checkpoint }
            }
            OrderKind::Unload { model } => self.unload(model),
            OrderKind::LoadAdapter { adapter } => {
                let base = adapter.as_str().split(':').next().unwrap_or_default();
                if !self.loaded.contains_key(base) || self.adapters.contains(adapter) {
                    return Started::Nothing;
                }
                self.loading_adapters.insert(adapter.clone());
                let adapter = adapter.clone();
                Started::Adapter { adapter }
            }
            OrderKind::UnloadAdapter { adapter } => {
                self.adapters.remove(adapter);
                Started::Nothing
            }
            OrderKind::Fence => Started::Nothing,
        }
    }

    fn unload(&mut self, model: &Name) -> Started {
        let prefix = format!("{model}:");
        self.adapters.retain(|a| !a.as_str().starts_with(&prefix));
        if self.loaded.remove(model).is_some() {
            self.cached.retain(|m| m != model);
            self.cached.push_back(model.clone());
            if self.cached.len() > CACHED_MODELS {
                self.cached.pop_front();
            }
        }
        if self.loading.remove(model).is_some() {
            let model = model.clone();
            return Started::Abort { model };
        }
        Started::Nothing
    }

    /// Returns where the model's checkpoint is.
    pub(crate) fn checkpoint(&self, model: &Name) -> CheckpointLocation {
        if self.cached.contains(model) {
            CheckpointLocation::Memory
        } else if self.spec.disk.contains(model) {
            CheckpointLocation::Disk
        } else {
            CheckpointLocation::Remote
        }
    }

    /// Ends the load of a model, and reports whether it was under way.
    pub(crate) fn end_load(&mut self, now: Time, model: &Name) -> bool {
        let Some(loading) = self.loading.remove(model) else {
            return false;
        };
        if self.is_failing {
            self.failed.insert(model.clone());
            return true;
        }
        let held = Held {
            memory: loading.memory,
            running: 0,
            idle: now,
        };
        self.loaded.insert(model.clone(), held);
        true
    }

    pub(crate) fn end_adapter(&mut self, adapter: &Name) {
        if self.loading_adapters.remove(adapter) {
            self.adapters.insert(adapter.clone());
        }
    }

    /// Reports whether the model, or `model:adapter`, is loaded.
    pub(crate) fn has(&self, model: &Name, adapter: Option<&Name>) -> bool {
        self.loaded.contains_key(model) && adapter.is_none_or(|a| self.adapters.contains(a))
    }

    /// Counts a request as running and returns how long the replica had been
    /// idle, and whether the prompt's beginning was cached.
    pub(crate) fn begin(
        &mut self,
        now: Time,
        model: &Name,
        adapter: Option<&Name>,
        prefix: u64,
    ) -> (Duration, bool) {
        self.running += 1;
        self.active.insert(model.clone());
        self.active.extend(adapter.cloned());
        let was_cached = self.prefixes.contains(&prefix);
        if !was_cached && prefix != 0 {
            self.prefixes.push_back(prefix);
            self.stored.push(prefix);
            if self.prefixes.len() > CACHED_PREFIXES {
                self.prefixes.pop_front();
            }
        }
        let Some(held) = self.loaded.get_mut(model) else {
            return (Duration::ZERO, was_cached);
        };
        held.running += 1;
        let was_idle = held.running == 1;
        let idle = if was_idle {
            now.since(held.idle)
        } else {
            Duration::ZERO
        };
        (idle, was_cached)
    }

    /// Counts a request as ended.
    pub(crate) fn end(&mut self, now: Time, model: &Name) {
        self.running = self.running.saturating_sub(1);
        if let Some(held) = self.loaded.get_mut(model) {
            held.running = held.running.saturating_sub(1);
            held.idle = now;
        }
    }
}

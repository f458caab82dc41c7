use sequoiawing_fleet::{Order, OrderKind, OrderReply, UpstreamKind, UpstreamState};
use sequoiawing_policy::CheckpointLocation;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

/// The configuration of a runner.
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
    /// The requests that it processes concurrently.
    pub slots: u32,
    /// The models with a checkpoint on its disk.
    pub disk: Vec<Name>,
    /// The models with a checkpoint in its main memory.
    pub cached: Vec<Name>,
    /// Whether it rejects orders with an outdated fencing token.
    pub fenced: bool,
}

/// The number of unloaded models whose checkpoints stay in main memory.
const CACHED_MODELS: usize = 4;

/// The number of accepted orders that an announcement lists.
const LISTED_ORDERS: usize = 32;

/// The number of prompt prefixes in an engine's cache.
const CACHED_PREFIXES: usize = 64;

/// The work that an order starts.
#[derive(Clone, Debug)]
pub(crate) enum StartedWork {
    /// No asynchronous work.
    Nothing,
    /// A model load.
    Load {
        model: Name,
        checkpoint: CheckpointLocation,
    },
    /// An adapter load.
    Adapter { adapter: Name },
    /// The cancellation of a model load.
    Abort { model: Name },
}

/// A model load in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingLoad {
    pub(crate) memory: u64,
    /// Whether it reads from the weight store.
    pub(crate) is_remote: bool,
}

/// A loaded replica of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica {
    pub(crate) memory: u64,
    pub(crate) running: u32,
    /// The time since which it has run no request.
    pub(crate) idle_since: Time,
}

/// A simulated runner. It executes every valid order, even harmful ones, so
/// that wrong orders show up as violations.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are injected independently of each other"
)]
pub(crate) struct FakeRunner {
    pub(crate) spec: RunnerSpec,
    pub(crate) epoch: u64,
    pub(crate) is_alive: bool,
    pub(crate) is_frozen: bool,
    /// Whether its replies to orders are lost.
    pub(crate) loses_replies: bool,
    /// Whether its loads never complete.
    pub(crate) is_hanging: bool,
    /// Whether its loads fail.
    pub(crate) is_failing: bool,
    pub(crate) is_leaving: bool,
    /// Whether its announcements list accepted orders.
    pub(crate) lists_orders: bool,
    sequence: u64,
    fence: u64,
    orders: BTreeSet<(u64, u64)>,
    taken: VecDeque<u64>,
    pub(crate) loaded: BTreeMap<Name, Replica>,
    pub(crate) loading: BTreeMap<Name, PendingLoad>,
    adapters: BTreeSet<Name>,
    /// The running requests of each adapter.
    adapter_runs: BTreeMap<Name, u32>,
    /// The adapters that are dropped once their requests have ended.
    leaving_adapters: BTreeSet<Name>,
    loading_adapters: BTreeSet<Name>,
    failed: BTreeSet<Name>,
    cached: VecDeque<Name>,
    active: BTreeSet<Name>,
    prefixes: VecDeque<u64>,
    stored: Vec<u64>,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<usize>,
    /// The orders that arrived while the runner was frozen.
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
            loses_replies: false,
            is_hanging: false,
            is_failing: false,
            is_leaving: false,
            lists_orders: true,
            sequence: 0,
            fence: 0,
            orders: BTreeSet::new(),
            taken: VecDeque::new(),
            loaded: BTreeMap::new(),
            loading: BTreeMap::new(),
            adapters: BTreeSet::new(),
            adapter_runs: BTreeMap::new(),
            leaving_adapters: BTreeSet::new(),
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

    /// Restarts the runner with nothing loaded.
    pub(crate) fn restart(&mut self) {
        let mut restarted = Self::new(self.spec.clone());
        restarted.epoch = self.epoch + 1;
        restarted.lists_orders = self.lists_orders;
        *self = restarted;
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.is_alive && !self.is_frozen
    }

    /// Marks a load in progress as reading from the weight store.
    pub(crate) fn mark_remote(&mut self, model: &Name) {
        if let Some(loading) = self.loading.get_mut(model) {
            loading.is_remote = true;
        }
    }

    /// Returns the number of loads in progress that read from the weight store.
    pub(crate) fn remote_loads(&self) -> u32 {
        let remote = self.loading.values().filter(|l| l.is_remote);
        u32::try_from(remote.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of adapter loads in progress.
    pub(crate) fn adapter_loads(&self) -> u32 {
        u32::try_from(self.loading_adapters.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the model is loaded or loading.
    pub(crate) fn holds(&self, model: &Name) -> bool {
        self.loaded.contains_key(model) || self.loading.contains_key(model)
    }

    /// Returns the memory of loaded and loading models, in MiB.
    pub(crate) fn used_memory(&self) -> u64 {
        let loaded = self.loaded.values().map(|h| h.memory);
        loaded.chain(self.loading.values().map(|l| l.memory)).sum()
    }

    /// Returns the next announcement of the runner's state.
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
            software: None,
            kind: UpstreamKind::Runner,
            address: None,
            epoch: self.epoch,
            sequence: self.sequence,
            lifetime: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
            leaving: self.is_leaving,
            fenced: self.spec.fenced,
            fence: self.fence,
            memory: self.spec.memory,
            cold: 0,
            slots: self.spec.slots,
            running: self.running + u32::try_from(self.queue.len()).unwrap_or(0),
            loaded: self.loaded.keys().cloned().collect(),
            adapters: self.adapters.iter().cloned().collect(),
            active: active.into_iter().collect(),
            loading: loading.cloned().collect(),
            failed: self.failed.iter().cloned().collect(),
            disk: self.spec.disk.clone(),
            cached: self.cached.iter().cloned().collect(),
            taken: if self.lists_orders {
                taken.collect()
            } else {
                Vec::new()
            },
            stored: std::mem::take(&mut self.stored),
        }
    }

    /// Handles an order, and returns the reply and the work it starts.
    pub(crate) fn handle_order(&mut self, order: &Order) -> (OrderReply, StartedWork) {
        if self.spec.fenced && order.fence < self.fence {
            let fence = self.fence;
            return (OrderReply::Outdated { fence }, StartedWork::Nothing);
        }
        if order.epoch != self.epoch {
            let problem = "the order is for another start of this upstream".to_owned();
            return (OrderReply::Rejected { problem }, StartedWork::Nothing);
        }
        self.fence = self.fence.max(order.fence);
        if !self.orders.insert((order.fence, order.id)) {
            return (OrderReply::Accepted, StartedWork::Nothing);
        }
        self.taken.push_back(order.id);
        if self.taken.len() > LISTED_ORDERS {
            self.taken.pop_front();
        }
        (OrderReply::Accepted, self.execute(&order.kind))
    }

    fn execute(&mut self, kind: &OrderKind) -> StartedWork {
        match kind {
            OrderKind::Load { model, memory } => {
                if self.holds(model) {
                    return StartedWork::Nothing;
                }
                self.failed.remove(model);
                let pending = PendingLoad {
                    memory: *memory,
                    is_remote: false,
                };
                self.loading.insert(model.clone(), pending);
                let checkpoint = self.checkpoint(model);
                let model = model.clone();
                StartedWork::Load { model, checkpoint }
            }
            OrderKind::Unload { model } => self.unload(model),
            OrderKind::LoadAdapter { adapter } => {
                let base = adapter.as_str().split(':').next().unwrap_or_default();
                if !self.loaded.contains_key(base) || self.adapters.contains(adapter) {
                    return StartedWork::Nothing;
                }
                self.loading_adapters.insert(adapter.clone());
                let adapter = adapter.clone();
                StartedWork::Adapter { adapter }
            }
            OrderKind::UnloadAdapter { adapter } => {
                if self.adapter_runs.contains_key(adapter) {
                    self.leaving_adapters.insert(adapter.clone());
                } else {
                    self.adapters.remove(adapter);
                }
                StartedWork::Nothing
            }
            OrderKind::Fence => StartedWork::Nothing,
        }
    }

    fn unload(&mut self, model: &Name) -> StartedWork {
        let prefix = format!("{model}:");
        self.adapters.retain(|a| !a.as_str().starts_with(&prefix));
        self.leaving_adapters
            .retain(|a| !a.as_str().starts_with(&prefix));
        if self.loaded.remove(model).is_some() {
            self.cached.retain(|m| m != model);
            self.cached.push_back(model.clone());
            if self.cached.len() > CACHED_MODELS {
                self.cached.pop_front();
            }
        }
        if self.loading.remove(model).is_some() {
            let model = model.clone();
            return StartedWork::Abort { model };
        }
        StartedWork::Nothing
    }

    /// Returns the location of the model's nearest checkpoint.
    pub(crate) fn checkpoint(&self, model: &Name) -> CheckpointLocation {
        if self.cached.contains(model) {
            CheckpointLocation::Memory
        } else if self.spec.disk.contains(model) {
            CheckpointLocation::Disk
        } else {
            CheckpointLocation::Remote
        }
    }

    /// Completes a model load. Returns whether the load was in progress.
    pub(crate) fn end_load(&mut self, now: Time, model: &Name) -> bool {
        let Some(loading) = self.loading.remove(model) else {
            return false;
        };
        if self.is_failing {
            self.failed.insert(model.clone());
            return true;
        }
        let replica = Replica {
            memory: loading.memory,
            running: 0,
            idle_since: now,
        };
        self.loaded.insert(model.clone(), replica);
        true
    }

    pub(crate) fn end_adapter_load(&mut self, adapter: &Name) {
        if self.loading_adapters.remove(adapter) {
            self.adapters.insert(adapter.clone());
        }
    }

    /// Returns whether the model is loaded, and its adapter (`model:adapter`)
    /// if one is given.
    pub(crate) fn has_loaded(&self, model: &Name, adapter: Option<&Name>) -> bool {
        let has_adapter = |a| self.adapters.contains(a) && !self.leaving_adapters.contains(a);
        self.loaded.contains_key(model) && adapter.is_none_or(has_adapter)
    }

    /// Counts a request as running. Returns how long the replica was idle
    /// before it, and whether the prompt prefix was cached.
    pub(crate) fn start_request(
        &mut self,
        now: Time,
        model: &Name,
        adapter: Option<&Name>,
        prefix: u64,
    ) -> (Duration, bool) {
        self.running += 1;
        self.active.insert(model.clone());
        self.active.extend(adapter.cloned());
        if let Some(adapter) = adapter {
            *self.adapter_runs.entry(adapter.clone()).or_default() += 1;
        }
        let was_cached = self.prefixes.contains(&prefix);
        if !was_cached && prefix != 0 {
            self.prefixes.push_back(prefix);
            self.stored.push(prefix);
            if self.prefixes.len() > CACHED_PREFIXES {
                self.prefixes.pop_front();
            }
        }
        let Some(replica) = self.loaded.get_mut(model) else {
            return (Duration::ZERO, was_cached);
        };
        replica.running += 1;
        let was_idle = replica.running == 1;
        let idle = if was_idle {
            now.since(replica.idle_since)
        } else {
            Duration::ZERO
        };
        (idle, was_cached)
    }

    fn end_adapter_run(&mut self, adapter: &Name) {
        let Some(runs) = self.adapter_runs.get_mut(adapter) else {
            return;
        };
        *runs -= 1;
        if *runs == 0 {
            self.adapter_runs.remove(adapter);
            if self.leaving_adapters.remove(adapter) {
                self.adapters.remove(adapter);
            }
        }
    }

    /// Counts a request as finished.
    pub(crate) fn end_request(&mut self, now: Time, model: &Name, adapter: Option<&Name>) {
        if let Some(adapter) = adapter {
            self.end_adapter_run(adapter);
        }
        self.running = self.running.saturating_sub(1);
        if let Some(replica) = self.loaded.get_mut(model) {
            replica.running = replica.running.saturating_sub(1);
            replica.idle_since = now;
        }
    }
}

//! Execution of orders on runners.

use crate::{
    Simulation,
    fakes::{FakeRunner, StartedWork},
    simulation::{Fault, event::Event, state::CALL_TIMEOUT},
};
use sequoiawing_fleet::{Order, OrderKind, OrderReply};
use sequoiawing_policy::CheckpointLocation;
use sequoiawing_types::Name;
use std::time::Duration;

/// The time of an adapter load below [`ADAPTER_SLOTS`] concurrent loads.
const ADAPTER_TIME: Duration = Duration::from_millis(8);

/// The concurrent adapter loads across the fleet that do not slow each other
/// down.
const ADAPTER_SLOTS: u32 = 30;

impl Simulation {
    pub(crate) fn handle_order(&mut self, i: usize, centre: usize, order: &Order) {
        let id = order.id;
        let no_reply = Event::Reply {
            centre,
            id,
            reply: None,
        };
        let name = self.runners[i].spec.name.clone();
        if !self.runners[i].is_alive || self.runner_states[i].loses_orders {
            self.record_trace(|| format!("{name} does not get order {:?}", order.kind));
            self.schedule(self.now + CALL_TIMEOUT, no_reply);
            return;
        }
        if self.runners[i].is_frozen {
            self.runners[i].inbox.push(order.clone());
            self.schedule(self.now + CALL_TIMEOUT, no_reply);
            return;
        }
        if matches!(order.kind, OrderKind::Load { .. }) {
            self.check_leaving(i);
        }
        let reply = self.execute_order(i, order);
        if self.runners[i].loses_replies {
            self.schedule(self.now + CALL_TIMEOUT, no_reply);
            return;
        }
        let reply = Some(reply);
        self.schedule(self.now, Event::Reply { centre, id, reply });
    }

    pub(crate) fn execute_order(&mut self, i: usize, order: &Order) -> OrderReply {
        if let OrderKind::Unload { model } = &order.kind {
            self.count_idle(i, Some(model));
            let replica = self.runners[i].loaded.get(model);
            let running = replica.map_or(0, |r| r.running);
            if running > 0 {
                let name = self.runners[i].spec.name.clone();
                self.record_trace(|| {
                    format!("{name} unloads {model}, which runs {running} requests")
                });
            }
        }
        let (reply, started) = self.runners[i].handle_order(order);
        let name = self.runners[i].spec.name.clone();
        if order.kind != OrderKind::Fence {
            let text = describe_order(&order.kind);
            self.record_trace(|| format!("{name} {text}: {reply:?}"));
        }
        self.start_work(i, started);
        self.check_runner(i);
        if order.kind == OrderKind::Fence {
            self.announce_change(i);
        }
        reply
    }

    fn start_work(&mut self, i: usize, started: StartedWork) {
        let epoch = self.runners[i].epoch;
        match started {
            StartedWork::Nothing => self.announce_change(i),
            StartedWork::Load { model, checkpoint } => {
                self.start_load(i, epoch, model, checkpoint);
                self.announce_change(i);
            }
            StartedWork::Adapter { adapter } => {
                let active = self.adapter_loads().max(ADAPTER_SLOTS);
                let duration = ADAPTER_TIME * active / ADAPTER_SLOTS;
                let end = Event::AdapterEnd {
                    runner: i,
                    epoch,
                    adapter,
                };
                self.schedule(self.now + duration, end);
            }
            StartedWork::Abort { model } => {
                self.store
                    .abort(self.now, |runner, m| runner == i && *m == model);
                self.schedule_transfer_end();
                self.announce_change(i);
            }
        }
    }

    fn adapter_loads(&self) -> u32 {
        self.runners.iter().map(FakeRunner::adapter_loads).sum()
    }

    fn start_load(&mut self, i: usize, epoch: u64, model: Name, checkpoint: CheckpointLocation) {
        self.counters.loads += 1;
        let memory = self.model_memory(&model);
        let duration = self.deployment.load_duration(memory, checkpoint);
        if self.runner_states[i].dies_in_load {
            self.runner_states[i].dies_in_load = false;
            self.schedule(self.now + duration / 2, Event::Fault(Fault::Kill(i)));
        }
        if self.runners[i].is_hanging {
            return;
        }
        if checkpoint == CheckpointLocation::Remote {
            let centre = &self.runners[i].spec.centre;
            if let Some(centre) = self.centres.iter().position(|c| c.name == *centre) {
                self.credits.record_start(centre);
            }
            self.runners[i].mark_remote(&model);
            let start = self.store.reserve_start(self.now);
            let event = Event::TransferStart {
                runner: i,
                epoch,
                model,
                memory,
            };
            self.schedule(start, event);
            return;
        }
        self.record_load_start(&model);
        let event = Event::LoadEnd {
            runner: i,
            epoch,
            model,
        };
        self.schedule(self.now + duration, event);
    }

    /// Records the start of the first load of a cold model.
    fn record_load_start(&mut self, model: &Name) {
        let now = self.now;
        if let Some(cold) = self.open_cold.get_mut(model) {
            cold.started.get_or_insert(now);
        }
    }

    pub(crate) fn start_transfer(&mut self, runner: usize, epoch: u64, model: Name, memory: u64) {
        let target = &self.runners[runner];
        let is_wanted = target.epoch == epoch && target.loading.contains_key(&model);
        if !target.is_alive || !is_wanted {
            return;
        }
        let duration = self
            .deployment
            .load_duration(memory, CheckpointLocation::Remote);
        self.record_load_start(&model);
        self.store
            .start_transfer(self.now, runner, epoch, model, duration);
        self.schedule_transfer_end();
    }

    pub(crate) fn schedule_transfer_end(&mut self) {
        let version = self.store.version;
        if let Some(at) = self.store.next_end() {
            self.schedule(at, Event::TransferEnd { version });
        }
    }

    pub(crate) fn end_transfers(&mut self, version: u64) {
        if version != self.store.version {
            return;
        }
        for (runner, epoch, model) in self.store.take_ended(self.now) {
            self.finish_load(runner, epoch, &model);
        }
        self.schedule_transfer_end();
        self.allocate_credits();
    }

    pub(crate) fn finish_load(&mut self, i: usize, epoch: u64, model: &Name) {
        if self.runners[i].epoch != epoch || !self.runners[i].is_alive {
            return;
        }
        if self.runners[i].is_frozen {
            let model = model.clone();
            let retry = Event::LoadEnd {
                runner: i,
                epoch,
                model,
            };
            self.schedule(self.now + Duration::from_millis(100), retry);
            return;
        }
        if !self.runners[i].end_load(self.now, model) {
            return;
        }
        let name = self.runners[i].spec.name.clone();
        let has_failed = !self.runners[i].loaded.contains_key(model);
        let end = if has_failed {
            "failed to load"
        } else {
            "has loaded"
        };
        self.record_trace(|| format!("{name} {end} {model}"));
        if !has_failed && let Some(mut cold) = self.open_cold.remove(model) {
            cold.ready = Some(self.now);
            self.counters.cold_loads.push(cold);
        }
        self.announce_change(i);
    }

    pub(crate) fn finish_adapter_load(&mut self, i: usize, epoch: u64, adapter: &Name) {
        if self.runners[i].epoch == epoch && self.runners[i].is_serving() {
            self.runners[i].end_adapter_load(adapter);
            self.announce_change(i);
        }
    }
}

fn describe_order(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Load { model, .. } => format!("is to load {model}"),
        OrderKind::Unload { model } => format!("is to unload {model}"),
        OrderKind::LoadAdapter { adapter } => format!("is to load adapter {adapter}"),
        OrderKind::UnloadAdapter { adapter } => format!("is to unload adapter {adapter}"),
        OrderKind::Fence => "is to note the fence".to_owned(),
    }
}

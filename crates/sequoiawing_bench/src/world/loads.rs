//! How the runners of a world carry out orders.

use crate::{
    World,
    fakes::{FakeRunner, Started},
    world::{Fault, event::Event, state::CALL_LIMIT},
};
use sequoiawing_fleet::{Order, OrderKind, OrderReply};
use sequoiawing_policy::CheckpointLocation;
use sequoiawing_types::Name;
use std::time::Duration;

/// The time of an adapter load while few are in flight.
const ADAPTER_TIME: Duration = Duration::from_millis(8);

/// The adapter loads in flight over the fleet that do not slow each other.
const ADAPTER_SLOTS: u32 = 30;

impl World {
    pub(crate) fn order(&mut self, i: usize, centre: usize, order: &Order) {
        let id = order.id;
        let lost = Event::Reply {
            centre,
            id,
            reply: None,
        };
        let name = self.runners[i].spec.name.clone();
        if !self.runners[i].is_alive || self.plights[i].loses_orders {
            self.note(|| format!("{name} does not get order {:?}", order.kind));
            self.push(self.now + CALL_LIMIT, lost);
            return;
        }
        if self.runners[i].is_frozen {
            self.runners[i].inbox.push(order.clone());
            self.push(self.now + CALL_LIMIT, lost);
            return;
        }
        if matches!(order.kind, OrderKind::Load { .. }) {
            self.check_leaving(i);
        }
        let reply = self.take_order(i, order);
        if self.runners[i].is_mute {
            self.push(self.now + CALL_LIMIT, lost);
            return;
        }
        let reply = Some(reply);
        self.push(self.now, Event::Reply { centre, id, reply });
    }

    pub(crate) fn take_order(&mut self, i: usize, order: &Order) -> OrderReply {
        if let OrderKind::Unload { model } = &order.kind {
            self.count_idle(i, Some(model));
            let held = self.runners[i].loaded.get(model);
            let running = held.map_or(0, |h| h.running);
            if running > 0 {
                let name = self.runners[i].spec.name.clone();
                self.note(|| format!("{name} unloads {model}, which runs {running} requests"));
            }
        }
        let (reply, started) = self.runners[i].order(order);
        let name = self.runners[i].spec.name.clone();
        if order.kind != OrderKind::Fence {
            let text = describe(&order.kind);
            self.note(|| format!("{name} {text}: {reply:?}"));
        }
        self.begin_order(i, started);
        self.check_runner(i);
        if order.kind == OrderKind::Fence {
            self.announce_change(i);
        }
        reply
    }

    fn begin_order(&mut self, i: usize, started: Started) {
        let epoch = self.runners[i].epoch;
        match started {
            Started::Nothing => self.announce_change(i),
            Started::Load { model, checkpoint } => {
                self.begin_load(i, epoch, model, checkpoint);
                self.announce_change(i);
            }
            Started::Adapter { adapter } => {
                let crowd = self.adapter_loads().max(ADAPTER_SLOTS);
                let span = ADAPTER_TIME * crowd / ADAPTER_SLOTS;
                let end = Event::AdapterEnd {
                    runner: i,
                    epoch,
                    adapter,
                };
                self.push(self.now + span, end);
            }
            Started::Abort { model } => {
                self.store
                    .abort(self.now, |runner, m| runner == i && *m == model);
                self.schedule_store();
                self.announce_change(i);
            }
        }
    }

    fn adapter_loads(&self) -> u32 {
        self.runners.iter().map(FakeRunner::adapter_loads).sum()
    }

    fn begin_load(&mut self, i: usize, epoch: u64, model: Name, checkpoint: CheckpointLocation) {
        self.tally.loads += 1;
        let memory = self.memory(&model);
        let span = self.deployment.load_span(memory, checkpoint);
        if self.plights[i].dies_in_load {
            self.plights[i].dies_in_load = false;
            self.push(self.now + span / 2, Event::Fault(Fault::Kill(i)));
        }
        if self.runners[i].is_hanging {
            return;
        }
        if checkpoint == CheckpointLocation::Remote {
            let centre = &self.runners[i].spec.centre;
            if let Some(centre) = self.centres.iter().position(|c| c.name == *centre) {
                self.owner.begun(centre);
            }
            self.runners[i].note_remote(&model);
            let start = self.store.admit(self.now);
            let event = Event::StoreStart {
                runner: i,
                epoch,
                model,
                memory,
            };
            self.push(start, event);
            return;
        }
        self.note_begun(&model);
        let event = Event::LoadEnd {
            runner: i,
            epoch,
            model,
        };
        self.push(self.now + span, event);
    }

    /// Notes when the first load of a cold model began.
    fn note_begun(&mut self, model: &Name) {
        let now = self.now;
        if let Some(cold) = self.cold.get_mut(model) {
            cold.begun.get_or_insert(now);
        }
    }

    pub(crate) fn store_start(&mut self, runner: usize, epoch: u64, model: Name, memory: u64) {
        let known = &self.runners[runner];
        let is_wanted = known.epoch == epoch && known.loading.contains_key(&model);
        if !known.is_alive || !is_wanted {
            return;
        }
        let span = self
            .deployment
            .load_span(memory, CheckpointLocation::Remote);
        self.note_begun(&model);
        self.store.begin(self.now, runner, epoch, model, span);
        self.schedule_store();
    }

    pub(crate) fn schedule_store(&mut self) {
        let version = self.store.version;
        if let Some(at) = self.store.next_end() {
            self.push(at, Event::StoreEnd { version });
        }
    }

    pub(crate) fn store_end(&mut self, version: u64) {
        if version != self.store.version {
            return;
        }
        for (runner, epoch, model) in self.store.take_ended(self.now) {
            self.load_end(runner, epoch, &model);
        }
        self.schedule_store();
        self.grant();
    }

    pub(crate) fn load_end(&mut self, i: usize, epoch: u64, model: &Name) {
        if self.runners[i].epoch != epoch || !self.runners[i].is_alive {
            return;
        }
        if self.runners[i].is_frozen {
            let model = model.clone();
            let again = Event::LoadEnd {
                runner: i,
                epoch,
                model,
            };
            self.push(self.now + Duration::from_millis(100), again);
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
        self.note(|| format!("{name} {end} {model}"));
        if !has_failed && let Some(mut cold) = self.cold.remove(model) {
            cold.ready = Some(self.now);
            self.tally.cold_loads.push(cold);
        }
        self.announce_change(i);
    }

    pub(crate) fn adapter_end(&mut self, i: usize, epoch: u64, adapter: &Name) {
        if self.runners[i].epoch == epoch && self.runners[i].is_serving() {
            self.runners[i].end_adapter(adapter);
            self.announce_change(i);
        }
    }
}

fn describe(kind: &OrderKind) -> String {
    match kind {
        OrderKind::Load { model, .. } => format!("is to load {model}"),
        OrderKind::Unload { model } => format!("is to unload {model}"),
        OrderKind::LoadAdapter { adapter } => format!("is to load adapter {adapter}"),
        OrderKind::UnloadAdapter { adapter } => format!("is to unload adapter {adapter}"),
        OrderKind::Fence => "is to note the fence".to_owned(),
    }
}

//! Sends load orders, and evicts models to make room for them.

use crate::{
    CheckpointLocation, LoadNeed, PlaceAction, Placer,
    place::{
        allotments::Target,
        pending_orders::{PendingOrder, Phase},
    },
};
use sequoiawing_fleet::{Order, OrderKind};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// How long memory stays reserved for a model while the evictions do not
/// complete.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(5);

impl Placer {
    /// Orders a load, or the evictions that make room for it.
    pub(crate) fn load(&mut self, now: Time, need: &LoadNeed, out: &mut Vec<PlaceAction>) {
        let target = (need.pool.clone(), need.model.clone());
        if !self.is_pool_synced(now, &need.pool) {
            return;
        }
        let running = self.store_loads();
        let has_store = self.credits.may_load(now, running);
        let placements = self.placements(now, need, has_store);
        if placements.is_empty() {
            return;
        }
        let placement = &placements[self.policies.placement.choose(&placements)];
        let upstream = placement.state.name.clone();
        let checkpoint = placement.checkpoint;
        let victims = placement.victims.clone();
        if placement.has_room {
            self.evictions.remove(&target);
            self.order_load(now, &upstream, &target, need, checkpoint, out);
            return;
        }
        self.evict_for(now, &upstream, &target, need.memory, &victims, out);
    }

    fn order_load(
        &mut self,
        now: Time,
        upstream: &Name,
        target: &Target,
        need: &LoadNeed,
        checkpoint: CheckpointLocation,
        out: &mut Vec<PlaceAction>,
    ) {
        if checkpoint == CheckpointLocation::Remote {
            self.credits.take_start();
        }
        if let Some(runner) = self.runners.get_mut(upstream) {
            runner.allocate(&target.1, need.memory);
        }
        self.policies.sequence.started(need);
        let model = target.1.clone();
        let memory = need.memory;
        self.send(
            now,
            upstream,
            target,
            OrderKind::Load { model, memory },
            out,
        );
    }

    fn evict_for(
        &mut self,
        now: Time,
        upstream: &Name,
        target: &Target,
        memory: u64,
        victims: &[Name],
        out: &mut Vec<PlaceAction>,
    ) {
        let until = now + EVICTION_TIMEOUT;
        self.evictions
            .insert(target.clone(), (upstream.clone(), until));
        if let Some(runner) = self.runners.get_mut(upstream) {
            runner.reservations.insert(target.1.clone(), memory);
        }
        for model in victims {
            let evicted = (target.0.clone(), model.clone());
            if self.orders.has(upstream, &evicted) {
                continue;
            }
            let model = model.clone();
            self.send(now, upstream, &evicted, OrderKind::Unload { model }, out);
        }
    }

    pub(crate) fn expire_reservations(&mut self, now: Time) {
        let old = self
            .evictions
            .iter()
            .filter(|(target, (_, until))| *until <= now || !self.demands.is_wanted(now, target));
        let old: Vec<(Target, Name)> = old.map(|(t, (on, _))| (t.clone(), on.clone())).collect();
        for (target, upstream) in old {
            self.evictions.remove(&target);
            if let Some(runner) = self.runners.get_mut(&upstream) {
                runner.reservations.remove(&target.1);
            }
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Time,
        upstream: &Name,
        target: &Target,
        kind: OrderKind,
        out: &mut Vec<PlaceAction>,
    ) {
        let Some(leadership) = self.leadership else {
            return;
        };
        let Some(runner) = self.runners.get(upstream) else {
            return;
        };
        let subject = match &kind {
            OrderKind::LoadAdapter { adapter } | OrderKind::UnloadAdapter { adapter } => adapter,
            _ => &target.1,
        };
        let had_failed = runner.state.failed.contains(subject);
        let memory = match &kind {
            OrderKind::Load { memory, .. } => *memory,
            _ => 0,
        };
        self.last_order += 1;
        let order = Order {
            id: self.last_order,
            fence: leadership.term,
            epoch: runner.state.epoch,
            kind,
        };
        self.orders.insert(PendingOrder {
            upstream: upstream.clone(),
            target: target.clone(),
            order: order.clone(),
            first_sent: now,
            last_sent: now,
            attempts: 1,
            phase: Phase::Sent,
            is_late: false,
            is_cancelled: false,
            had_failed,
            checkpoint: CheckpointLocation::of(&runner.state, &target.1),
            memory,
        });
        let upstream = upstream.clone();
        out.push(PlaceAction::Send { upstream, order });
    }
}

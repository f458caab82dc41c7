//! Handles announcements of upstreams and completes their pending orders.

use crate::{
    CheckpointLocation, PlaceAction, Placer,
    place::{
        pending_orders::{OrderOutcome, PendingOrder, Phase},
        runner::Runner,
    },
};
use sequoiawing_fleet::{OrderKind, OrderReply, UpstreamKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{sync::Arc, time::Duration};

/// The multiple of its estimate after which a load times out.
const TIMEOUT_FACTOR: f64 = 5.0;

/// The multiple of its estimate after which a load is late and another replica
/// may be loaded elsewhere, within the allotment.
const LATE_FACTOR: f64 = 1.5;

/// The minimum time after which a load can be late.
const MIN_LATE_TIME: Duration = Duration::from_millis(700);

/// The minimum time after which a load can time out.
const MIN_LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of remembered upstreams that were presumed dead.
const MAX_DEAD_EPOCHS: usize = 1_024;

impl Placer {
    pub(crate) fn announce(&mut self, now: Time, state: &Arc<UpstreamState>) {
        if state.kind != UpstreamKind::Runner {
            return;
        }
        if state.centre != self.settings.centre {
            self.remote.insert(state.name.clone(), state.clone());
            return;
        }
        let known = self.runners.get_mut(&state.name);
        if let Some(runner) = known {
            if state.version() <= runner.state.version() {
                // The routers' registry lists it again, so it is alive.
                runner.expired_at = None;
                return;
            }
            runner.announce(now, state.clone());
        } else {
            let mut runner = Runner::new(now, state.clone());
            if self.dead_epochs.remove(&state.name) == Some(state.epoch) {
                runner.block_until(now + self.settings.order_lifetime);
            }
            self.runners.insert(state.name.clone(), runner);
        }
        for name in &state.active {
            self.policies.keep_alive.record_use(now, name);
        }
        self.complete_orders(now, state);
    }

    /// Completes the orders whose outcome the announcement shows.
    fn complete_orders(&mut self, now: Time, state: &UpstreamState) {
        let lifetime = self.settings.order_lifetime;
        let runner = self.runners.get(&state.name);
        let stable_since = runner.map_or(now, |r| r.stable_since);
        let mut finished = Vec::new();
        for order in self.orders.iter_mut().filter(|o| o.upstream == state.name) {
            if let OrderKind::Load { model, .. } = &order.order.kind
                && state.is_loading(model)
            {
                order.advance_to(Phase::Started);
            }
            if let Some(outcome) = order.outcome(now, state, lifetime, stable_since) {
                finished.push((order.order.id, outcome));
            }
        }
        for (id, outcome) in finished {
            if let Some(order) = self.orders.remove(id) {
                self.apply_outcome(now, &order, outcome);
            }
        }
    }

    /// Updates failures, load times and keep-alive with an order's outcome.
    fn apply_outcome(&mut self, now: Time, order: &PendingOrder, outcome: OrderOutcome) {
        let model = &order.target.1;
        match &order.order.kind {
            OrderKind::Load { .. } => {
                let Some(runner) = self.runners.get_mut(&order.upstream) else {
                    return;
                };
                match outcome {
                    OrderOutcome::Done => runner.clear_failures(model),
                    OrderOutcome::Failed => runner.record_failure(now, model),
                    OrderOutcome::Lapsed => {}
                }
                if outcome == OrderOutcome::Done && !order.is_cancelled {
                    let took = now.since(order.first_sent);
                    self.load_times
                        .observe(model, order.memory, order.checkpoint, took);
                    self.policies.keep_alive.record_load(model, took);
                }
            }
            OrderKind::LoadAdapter { adapter } if outcome == OrderOutcome::Done => {
                self.adapters.remove(adapter);
                self.policies
                    .keep_alive
                    .record_load(adapter, now.since(order.first_sent));
            }
            _ => {}
        }
    }

    pub(crate) fn reply(&mut self, now: Time, id: u64, reply: Option<&OrderReply>) {
        let Some(order) = self.orders.get_mut(id) else {
            return;
        };
        match reply {
            Some(OrderReply::Accepted) => order.advance_to(Phase::Accepted),
            None => {}
            Some(OrderReply::Outdated { .. } | OrderReply::Rejected { .. }) => {
                // An earlier attempt may have been accepted and its reply lost;
                // then only an announcement shows the outcome.
                if order.attempts > 1 {
                    return;
                }
                if let Some(order) = self.orders.remove(id) {
                    self.apply_outcome(now, &order, OrderOutcome::Failed);
                }
            }
        }
    }

    /// Removes the upstreams that have been silent for long enough to be presumed
    /// dead.
    pub(crate) fn presume_dead(&mut self, now: Time) {
        let limit = self.settings.dead_after;
        let is_dead = |r: &Runner| r.expired_at.is_some() && now >= r.last_announced + limit;
        let dead = self.runners.iter().filter(|(_, r)| is_dead(r));
        let dead: Vec<Name> = dead.map(|(name, _)| name.clone()).collect();
        for name in dead {
            if let Some(runner) = self.runners.remove(&name) {
                self.dead_epochs.insert(name.clone(), runner.state.epoch);
            }
            if self.dead_epochs.len() > MAX_DEAD_EPOCHS {
                self.dead_epochs.pop_first();
            }
            self.orders.remove_upstream(&name);
            self.evictions.retain(|_, (on, _)| *on != name);
        }
    }

    /// Sends the leader's fencing token to upstreams that check it. Their next
    /// announcement then shows the effects of all older orders.
    pub(crate) fn send_fences(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        let Some(leadership) = self.leadership else {
            return;
        };
        let resend_after = self.settings.resend_after;
        let is_due = |r: &Runner| {
            let is_behind = r.state.fenced && r.state.fence < leadership.term;
            let may_resend = r.fenced.is_none_or(|at| now >= at + resend_after);
            is_behind && may_resend && r.expired_at.is_none()
        };
        let due = self.runners.iter().filter(|(_, r)| is_due(r));
        let due: Vec<(Name, Name)> = due
            .map(|(name, r)| (name.clone(), r.state.pool.clone()))
            .collect();
        for (name, pool) in due {
            if let Some(runner) = self.runners.get_mut(&name) {
                runner.fenced = Some(now);
            }
            let target = (pool, Name::default());
            self.send(now, &name, &target, OrderKind::Fence, out);
        }
    }

    /// Resends unanswered orders.
    pub(crate) fn resend(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        let resend_after = self.settings.resend_after;
        for order in self.orders.iter_mut() {
            if order.is_unanswered(now, resend_after) && order.order.kind != OrderKind::Fence {
                order.last_sent = now;
                order.attempts += 1;
                out.push(PlaceAction::Send {
                    upstream: order.upstream.clone(),
                    order: order.order.clone(),
                });
            }
        }
    }

    /// Cancels loads that far exceed their estimate, and updates the estimate
    /// of the weight store from all running loads.
    ///
    /// The replica of a cancelled load counts until its upstream announces that
    /// it is unloaded.
    pub(crate) fn time_out_loads(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        let loads = self
            .orders
            .iter()
            .filter(|o| o.is_load() && !o.is_cancelled);
        let loads: Vec<(u64, CheckpointLocation, f64)> = loads
            .map(|o| {
                let baseline = self
                    .load_times
                    .baseline(&o.target.1, o.memory, o.checkpoint);
                let elapsed = now.since(o.first_sent).as_secs_f64();
                (
                    o.order.id,
                    o.checkpoint,
                    elapsed / baseline.as_secs_f64().max(0.05),
                )
            })
            .collect();
        let remote = loads
            .iter()
            .filter(|(_, c, _)| *c == CheckpointLocation::Remote);
        let mut ratios: Vec<f64> = remote.map(|(_, _, ratio)| *ratio).collect();
        ratios.sort_by(f64::total_cmp);
        self.load_times.update_running(&ratios);
        for (id, checkpoint, ratio) in loads {
            let slowness = match checkpoint {
                CheckpointLocation::Remote => self.load_times.slowness(),
                CheckpointLocation::Memory | CheckpointLocation::Disk => 1.0,
            };
            if ratio > LATE_FACTOR * slowness
                && let Some(order) = self.orders.get_mut(id)
                && now >= order.first_sent + MIN_LATE_TIME
            {
                order.is_late = true;
            }
            if ratio > TIMEOUT_FACTOR * slowness {
                self.time_out_load(now, id, out);
            }
        }
    }

    fn time_out_load(&mut self, now: Time, id: u64, out: &mut Vec<PlaceAction>) {
        let Some(order) = self.orders.get_mut(id) else {
            return;
        };
        if now < order.first_sent + MIN_LOAD_TIMEOUT {
            return;
        }
        order.is_late = true;
        order.is_cancelled = true;
        let upstream = order.upstream.clone();
        let target = order.target.clone();
        let Some(runner) = self.runners.get_mut(&upstream) else {
            return;
        };
        runner.record_failure(now, &target.1);
        if runner.expired_at.is_none() {
            let model = target.1.clone();
            self.send(now, &upstream, &target, OrderKind::Unload { model }, out);
        }
    }
}

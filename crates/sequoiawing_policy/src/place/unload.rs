//! Unloads idle and surplus replicas.

use crate::{
    PlaceAction, Placer,
    place::{allotments::Target, runner::Replica},
};
use sequoiawing_fleet::OrderKind;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

impl Placer {
    /// Unloads idle replicas beyond the allotment, such as one on an upstream
    /// that was presumed dead and returned.
    pub(crate) fn unload_surplus(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        for target in self.allotments.targets() {
            let Some(decided) = self.allotments.known(&target) else {
                continue;
            };
            if self.replicas(&target) <= decided {
                continue;
            }
            let runners = self.runners.values();
            let alive = runners.filter(|r| r.expired_at.is_none() && r.state.pool == target.0);
            let idle = alive.filter(|r| !r.state.active.contains(&target.1));
            let idle = idle.filter_map(|r| Some((r.replicas.get(&target.1)?.last_used, r)));
            let idle = idle.filter(|(_, r)| !self.orders.has(&r.state.name, &target));
            let first = idle.min_by_key(|(used, _)| *used);
            let is_unloading = |name: &Name| {
                let mut orders = self.orders.iter();
                orders.any(|o| o.upstream == *name && o.target == target && o.is_unload())
            };
            let unloading = self
                .runners
                .keys()
                .filter(|name| is_unloading(name))
                .count();
            let unloading = u32::try_from(unloading).unwrap_or(u32::MAX);
            if self.replicas(&target).saturating_sub(unloading) <= decided {
                continue;
            }
            let first = first.map(|(_, r)| r.state.name.clone());
            if let Some(upstream) = first {
                self.unload(now, &upstream, &target, out);
            }
        }
    }

    /// Unloads each replica that has been idle for its keep-alive time.
    pub(crate) fn unload_idle(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        let mut idle: Vec<(Name, Target)> = Vec::new();
        for (name, runner) in &self.runners {
            if runner.expired_at.is_some() {
                continue;
            }
            for (model, replica) in &runner.replicas {
                let target = (runner.state.pool.clone(), model.clone());
                let is_busy = runner.state.active.contains(model);
                let is_wanted =
                    self.demands.has_waiting(now, &target) || self.pinned.contains_key(&target);
                let is_ordered = self.orders.has(name, &target);
                if !is_busy && !is_wanted && !is_ordered && self.is_idle(now, &target, *replica) {
                    idle.push((name.clone(), target));
                }
            }
        }
        for (upstream, target) in idle {
            self.unload(now, &upstream, &target, out);
        }
    }

    fn is_idle(&self, now: Time, target: &Target, replica: Replica) -> bool {
        if self.model(target).is_none() {
            return true;
        }
        let operator = self.pools.get(&target.0).map_or(0, |p| p.idle);
        let learned = self.policies.keep_alive.keep_time(&target.1);
        let span = match operator {
            0 => learned,
            seconds => learned.min(Duration::from_secs(seconds)),
        };
        let span = span.max(self.settings.min_residency);
        now.since(replica.last_used) >= span
    }

    fn unload(&mut self, now: Time, upstream: &Name, target: &Target, out: &mut Vec<PlaceAction>) {
        let model = target.1.clone();
        self.send(now, upstream, target, OrderKind::Unload { model }, out);
    }

    /// Unloads idle adapters of one upstream per tick, in rotation.
    pub(crate) fn unload_idle_adapters(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        self.adapter_cursor = self.adapter_cursor.wrapping_add(1);
        let cursor = self.adapter_cursor % self.runners.len().max(1);
        let Some(runner) = self.runners.values().nth(cursor) else {
            return;
        };
        if runner.expired_at.is_some() {
            return;
        }
        let state = &runner.state;
        let is_busy = |adapter: &&Name| state.active.contains(adapter);
        let mut idle: Vec<(Duration, Name, bool)> = state
            .adapters
            .iter()
            .filter(|a| !is_busy(a))
            .map(|a| {
                let unused = self.policies.keep_alive.idle_time(now, a);
                (
                    unused,
                    a.clone(),
                    unused >= self.policies.keep_alive.keep_time(a),
                )
            })
            .collect();
        idle.sort_by_key(|(unused, _, _)| std::cmp::Reverse(*unused));
        let surplus = state.adapters.len();
        let surplus = surplus.saturating_sub(self.settings.max_adapters);
        let chosen = idle.into_iter().enumerate();
        let chosen = chosen.filter(|(i, (_, _, is_idle))| *is_idle || *i < surplus);
        let adapters: Vec<Name> = chosen.map(|(_, (_, adapter, _))| adapter).collect();
        let upstream = state.name.clone();
        let pool = state.pool.clone();
        for adapter in adapters {
            let target = (pool.clone(), adapter.clone());
            if !self.orders.has(&upstream, &target) {
                let kind = OrderKind::UnloadAdapter { adapter };
                self.send(now, &upstream, &target, kind, out);
            }
        }
    }
}

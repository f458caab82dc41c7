//! Turns demand into load orders.

use crate::{
    LoadNeed, PlaceAction, Placer,
    place::{allotments::Target, demand_table::ModelDemand, runner::holders},
};
use sequoiawing_types::{Name, Time};

/// The assumed number of concurrent requests per upstream if none is known.
const DEFAULT_SLOTS: u32 = 1;

impl Placer {
    /// Orders loads that are needed, allotted and fit, the most urgent first.
    pub(crate) fn plan(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        if self.leadership.is_none() {
            return;
        }
        self.expire_reservations(now);
        self.plan_adapters(now, out);
        for need in self.missing_replicas(now, out) {
            self.load(now, &need, out);
        }
    }

    /// Returns the replicas that are allotted but not ordered, in load order,
    /// and requests allotments for the others.
    fn missing_replicas(&mut self, now: Time, out: &mut Vec<PlaceAction>) -> Vec<LoadNeed> {
        let wanted = self.demands.targets();
        let wanted = wanted.filter_map(|(t, w)| self.missing_replica(now, t, w));
        let wanted: Vec<(LoadNeed, u32)> = wanted.collect();
        let mut needs = Vec::new();
        for (need, want) in wanted {
            let target = (need.pool.clone(), need.model.clone());
            let replicas = self.replicas(&target);
            if self.allotments.allotted(&target) > replicas {
                needs.push(need);
            } else {
                self.request_allotment(now, &target, want, out);
            }
        }
        self.policies.sequence.sort(now, &mut needs);
        needs
    }

    /// Returns the next missing replica of a model and the total number wanted,
    /// or `None` if no replica is missing.
    pub(crate) fn missing_replica(
        &self,
        now: Time,
        target: &Target,
        wanted: &ModelDemand,
    ) -> Option<(LoadNeed, u32)> {
        let model = self.model(target)?;
        let replicas = self.replicas(target);
        let (serving, loading) = self.remote_replicas(target);
        let is_extra = replicas + serving + loading > 0;
        let loading = if wanted.is_urgent(now) { 0 } else { loading };
        let want = self
            .wanted_replicas(now, target, wanted)
            .min(model.replicas);
        let want = want.saturating_sub(serving + loading);
        if replicas >= want {
            return None;
        }
        let need = LoadNeed {
            pool: target.0.clone(),
            model: target.1.clone(),
            memory: model.memory,
            since: wanted.since,
            deadline: wanted.deadline(now),
            estimate: self.best_estimate(target, model.memory),
            has_waiting: wanted.has_waiting(now),
            is_extra,
            shares: wanted.shares(now),
        };
        Some((need, want))
    }

    /// Returns the total number of replicas wanted, including those that cannot
    /// serve.
    fn wanted_replicas(&self, now: Time, target: &Target, wanted: &ModelDemand) -> u32 {
        let holders = holders(&self.runners, &self.orders, target);
        let is_idle = |name: &&&Name| {
            let runner = self.runners.get(**name);
            runner.is_none_or(|r| !r.is_usable()) || self.has_late_load(name, target)
        };
        let idle = holders.iter().filter(is_idle).count();
        let is_serving = |name: &&&Name| {
            let runner = self.runners.get(**name);
            runner.is_some_and(|r| r.is_usable() && r.state.has_model(&target.1))
        };
        let serving = holders.iter().filter(is_serving).count();
        let loading = holders.len().saturating_sub(idle + serving);
        let mut demand = wanted.sum(now);
        let (remote_serving, remote_loading) = self.remote_replicas(target);
        let remote_loading = if wanted.is_urgent(now) {
            0
        } else {
            remote_loading
        };
        demand.serving = u32::try_from(serving).unwrap_or(u32::MAX) + remote_serving;
        demand.loading = u32::try_from(loading).unwrap_or(u32::MAX) + remote_loading;
        let slots = self.runners.values().filter(|r| r.state.pool == target.0);
        let slots = slots.map(|r| r.state.slots).min();
        demand.slots = slots.unwrap_or(DEFAULT_SLOTS);
        let memory = self.model(target).map_or(0, |m| m.memory);
        demand.load_time = self.best_estimate(target, memory);
        demand.time_left = wanted.deadline(now).since(now);
        let idle = u32::try_from(idle).unwrap_or(u32::MAX);
        self.policies.replicas.count(&demand).saturating_add(idle)
    }

    pub(crate) fn has_late_load(&self, upstream: &Name, target: &Target) -> bool {
        let mut orders = self.orders.iter().filter(|o| o.is_load());
        orders.any(|o| o.is_late && o.upstream == *upstream && o.target == *target)
    }
}

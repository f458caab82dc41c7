//! Estimates when a model is loaded.

use crate::{
    CheckpointLocation, Placer,
    place::{allotments::Target, pending_orders::PendingOrder, runner::Runner},
};
use sequoiawing_fleet::DemandStatus;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The expected time for which a load waits for evictions.
const UNLOAD_TIME: Duration = Duration::from_millis(300);

impl Placer {
    /// Returns whether loads from the model's nearest checkpoint location have
    /// been observed. Without observations, no request is refused because of an
    /// estimate.
    fn is_estimable(&self, target: &Target, memory: u64) -> bool {
        self.load_times.is_learned(self.nearest(target, memory))
    }

    /// Returns the shortest estimated load time of the model.
    pub(crate) fn best_estimate(&self, target: &Target, memory: u64) -> Duration {
        let location = self.nearest(target, memory);
        self.load_times.estimate(&target.1, memory, location)
    }

    /// Returns the nearest location of the model's checkpoint.
    fn nearest(&self, target: &Target, memory: u64) -> CheckpointLocation {
        let runners = self.runners.values();
        let usable = runners.filter(|r| r.is_usable() && r.state.pool == target.0);
        let fitting = usable.filter(|r| r.state.memory >= memory);
        let locations = fitting.map(|r| CheckpointLocation::of(&r.state, &target.1));
        locations.min().unwrap_or_default()
    }

    /// Returns the status of the demand for the model.
    pub(crate) fn demand_status(&self, now: Time, target: &Target, memory: u64) -> DemandStatus {
        let loads = self.orders.iter();
        let loads = loads.filter(|o| o.is_load() && o.target == *target && !o.is_late);
        let is_usable = |name: &Name| self.runners.get(name).is_some_and(Runner::is_usable);
        let loads = loads.filter(|o| is_usable(&o.upstream));
        let running = loads.map(|o| self.time_left(now, o)).min();
        let remaining = running.unwrap_or_else(|| self.time_to_load(now, target, memory));
        let runners = self.runners.values();
        let is_loaded = |r: &Runner| r.is_usable() && r.state.has_model(&target.1);
        let is_loaded = runners.filter(|r| r.state.pool == target.0).any(is_loaded);
        let (serving, loading) = self.remote_replicas(target);
        let is_unknown = running.is_none() && loading > 0 || !self.is_estimable(target, memory);
        let is_served = is_loaded || serving > 0 || is_unknown;
        let remaining = if is_served { Duration::ZERO } else { remaining };
        DemandStatus {
            decided: is_loaded || running.is_some() || serving + loading > 0,
            estimate: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            problem: None,
        }
    }

    /// Estimates the remaining time of a load. A late load is assumed to need
    /// another quarter of its elapsed time.
    fn time_left(&self, now: Time, order: &PendingOrder) -> Duration {
        let model = &order.target.1;
        let estimate = self
            .load_times
            .estimate(model, order.memory, order.checkpoint);
        let elapsed = now.since(order.first_sent);
        estimate.saturating_sub(elapsed).max(elapsed / 4)
    }

    /// Estimates the time until a model that is not loading yet is ready, after
    /// the loads from the store that precede it.
    fn time_to_load(&self, now: Time, target: &Target, memory: u64) -> Duration {
        let own = self.best_estimate(target, memory);
        let is_remote = |t: &Target, memory: u64| {
            let runners = self.runners.values();
            let here = runners.filter(|r| r.is_usable() && r.state.pool == t.0);
            let mut fitting = here.filter(|r| r.state.memory >= memory);
            fitting.all(|r| CheckpointLocation::of(&r.state, &t.1) == CheckpointLocation::Remote)
        };
        if self.evictions.contains_key(target) || !is_remote(target, memory) {
            return own + UNLOAD_TIME;
        }
        own + self.store_wait(now, target)
    }

    /// Estimates how long a model waits for the weight store: until all
    /// preceding loads complete on store slots that are never idle. A request
    /// refused by this lower bound would miss its deadline in any load order.
    fn store_wait(&self, now: Time, target: &Target) -> Duration {
        let running = self.orders.iter();
        let running = running.filter(|o| o.is_load() && o.checkpoint == CheckpointLocation::Remote);
        let mut ahead: Duration = running.map(|o| self.time_left(now, o)).sum();
        let deadline = self.demands.get(target).map(|w| w.deadline(now));
        for (other, wanted) in self.demands.targets() {
            let is_earlier = deadline.is_none_or(|d| wanted.deadline(now) < d);
            let is_ahead = *other != *target && is_earlier && wanted.has_waiting(now);
            if is_ahead && self.replicas(other) == 0 {
                let memory = self.model(other).map_or(0, |m| m.memory);
                ahead += self.best_estimate(other, memory);
            }
        }
        ahead / self.settings.store_slots.max(1)
    }
}

//! Finds the upstreams on which a placer could load a replica.

use crate::{
    CheckpointLocation, LoadNeed, Placement, Placer, Victim,
    place::{allotments::Target, runner::Runner},
};
use sequoiawing_types::{Name, Time};

impl Placer {
    /// Returns whether the effects of all orders of earlier leaders in the pool
    /// are known.
    pub(crate) fn is_pool_synced(&self, now: Time, pool: &Name) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let mut runners = self.runners.values().filter(|r| r.state.pool == *pool);
        let is_discovered = now >= self.led_since + leadership.discovery_wait;
        is_discovered && runners.all(|r| r.is_synced(now, leadership, self.led_since))
    }

    /// Returns the upstreams that could load a replica now or after evictions.
    pub(crate) fn placements(
        &self,
        now: Time,
        need: &LoadNeed,
        has_store: bool,
    ) -> Vec<Placement<'_>> {
        let target = (need.pool.clone(), need.model.clone());
        let reserved = self.evictions.get(&target).map(|(on, _)| on);
        let runners = self.runners.values();
        let usable = runners.filter(|r| r.is_usable() && r.state.pool == need.pool);
        let usable = usable.filter(|r| reserved.is_none_or(|on| *on == r.state.name));
        let usable = usable.filter(|r| r.state.memory >= need.memory);
        let usable = usable.filter(|r| r.accepts_loads(now));
        let free = usable.filter(|r| !r.holds(&need.model) && !r.is_backing_off(now, &need.model));
        let free = free.filter(|r| !self.orders.has(&r.state.name, &target));
        let placements = free.filter_map(|r| self.placement(now, need, r));
        let reachable = |p: &Placement<'_>| has_store || p.checkpoint != CheckpointLocation::Remote;
        placements.filter(reachable).collect()
    }

    fn placement<'a>(
        &'a self,
        now: Time,
        need: &LoadNeed,
        runner: &'a Runner,
    ) -> Option<Placement<'a>> {
        let pool = self.pools.get(&need.pool);
        let free = runner.free(pool, &self.orders, &need.model);
        let wanted = i64::try_from(need.memory).unwrap_or(i64::MAX);
        let mut victims = Vec::new();
        let mut eviction_cost = 0.0;
        let mut freed = free;
        if freed < wanted {
            freed += self.unloading_memory(runner);
        }
        if freed < wanted {
            for (cost, victim) in self.victims(now, runner) {
                victims.push(victim.model);
                freed += i64::try_from(victim.memory).unwrap_or(0);
                eviction_cost += cost;
                if freed >= wanted {
                    break;
                }
            }
        }
        if freed < wanted {
            return None;
        }
        let checkpoint = CheckpointLocation::of(&runner.state, &need.model);
        let loading = self.orders.loads_on(&runner.state.name).count();
        Some(Placement {
            state: &runner.state,
            checkpoint,
            estimate: self
                .load_times
                .estimate(&need.model, need.memory, checkpoint),
            spare: u64::try_from(freed - wanted).unwrap_or(0),
            has_room: free >= wanted,
            loads: u32::try_from(loading).unwrap_or(u32::MAX),
            victims,
            eviction_cost,
        })
    }

    /// Returns the memory of the models that an upstream was ordered to unload,
    /// in MiB.
    fn unloading_memory(&self, runner: &Runner) -> i64 {
        let here = self.orders.iter();
        let here = here.filter(|o| o.upstream == runner.state.name && o.is_unload());
        let held = here.filter(|o| runner.holds(&o.target.1));
        let pool = self.pools.get(&runner.state.pool);
        let sizes = held.map(|o| runner.memory_of(pool, &o.target.1));
        i64::try_from(sizes.sum::<u64>()).unwrap_or(i64::MAX)
    }

    /// Returns the models of an upstream that may be evicted, sorted by
    /// ascending cost.
    ///
    /// Excludes models that are in use, were loaded recently or have waiting
    /// requests.
    fn victims(&self, now: Time, runner: &Runner) -> Vec<(f64, Victim)> {
        let replicas = runner.replicas.iter();
        let victims = replicas.filter_map(|(model, replica)| {
            let target = (runner.state.pool.clone(), model.clone());
            let is_new = now < replica.loaded_at + self.settings.min_residency;
            let is_busy = runner.state.active.contains(model);
            let is_ordered = self.orders.has(&runner.state.name, &target);
            if is_new || is_busy || is_ordered || self.demands.has_waiting(now, &target) {
                return None;
            }
            let victim = self.victim(now, runner, &target, replica.last_used);
            Some((self.policies.victims.eviction_cost(&victim), victim))
        });
        let mut victims: Vec<(f64, Victim)> = victims.collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        victims
    }

    fn victim(&self, now: Time, runner: &Runner, target: &Target, used: Time) -> Victim {
        let model = &target.1;
        let memory = runner.memory_of(self.pools.get(&target.0), model);
        let checkpoint = CheckpointLocation::of(&runner.state, model);
        Victim {
            model: model.clone(),
            memory,
            idle: now.since(used),
            time_to_use: self.policies.keep_alive.time_to_use(now, model),
            reload: self.load_times.estimate(model, memory, checkpoint),
            has_other_replica: self.replicas(target) > 1,
        }
    }
}

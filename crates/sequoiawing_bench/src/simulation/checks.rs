//! Invariant checks on runners, and accounting of their idle time.

use crate::{Simulation, simulation::Violation};
use sequoiawing_types::Name;
use std::time::Duration;

/// How long a leaving runner may still be given work.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

impl Simulation {
    /// Checks the memory and replica limits after a runner accepted work.
    pub(crate) fn check_runner(&mut self, i: usize) {
        let runner = &self.runners[i];
        let used = runner.used_memory();
        if used > runner.spec.memory {
            let at = self.now;
            let runner = runner.spec.name.clone();
            self.violations
                .record(Violation::Overcommit { at, runner, used });
        }
        let models: Vec<Name> = self.runners[i].loading.keys().cloned().collect();
        for model in models {
            self.check_replicas(&model);
        }
    }

    fn check_replicas(&mut self, model: &Name) {
        let holders = self.runners.iter().enumerate();
        let holders =
            holders.filter(|(i, r)| r.is_alive && r.holds(model) && !self.is_presumed_dead(*i));
        let held = u32::try_from(holders.count()).unwrap_or(u32::MAX);
        let target = (self.deployment.pool.name.clone(), model.clone());
        let allotted = self.allotments.total(&target);
        if held > allotted {
            let surplus = Violation::Surplus {
                at: self.now,
                model: model.clone(),
                held,
                allotted,
            };
            self.violations.record(surplus);
        }
    }

    /// Returns whether a runner has been frozen long enough to be presumed
    /// dead. Its replicas count as surplus once it resumes.
    fn is_presumed_dead(&self, i: usize) -> bool {
        let dead_after = self.settings.place.dead_after;
        let last_announced = self.runner_states[i].last_announced;
        self.runners[i].is_frozen && self.now >= last_announced + dead_after
    }

    pub(crate) fn check_leaving(&mut self, i: usize) {
        let leaving_since = self.runner_states[i].leaving_since;
        if leaving_since.is_some_and(|at| self.now > at + LEAVE_GRACE) {
            let runner = self.runners[i].spec.name.clone();
            let at = self.now;
            self.violations
                .record(Violation::WorkWhileLeaving { at, runner });
        }
    }

    /// Adds the idle time of one model's replica on a runner, or of all its
    /// replicas.
    pub(crate) fn count_idle(&mut self, i: usize, model: Option<&Name>) {
        if self.is_ended {
            return;
        }
        let now = self.now;
        let total = self.runners[i].spec.memory;
        let replicas = self.runners[i].loaded.iter_mut();
        let idle = replicas.filter(|(name, h)| model.is_none_or(|m| m == *name) && h.running == 0);
        for (_, replica) in idle {
            self.counters.idle +=
                memory_weighted(now.since(replica.idle_since), replica.memory, total);
            replica.idle_since = now;
        }
    }
}

/// Scales a duration by the fraction of the accelerator's memory in use.
pub(crate) fn memory_weighted(duration: Duration, memory: u64, total: u64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
    let fraction = memory as f64 / total.max(1) as f64;
    duration.mul_f64(fraction)
}

//! What must always hold on the runners of a world, and their idle time.

use crate::{World, world::Violation};
use sequoiawing_types::Name;
use std::time::Duration;

/// How long a leaving runner may still be given work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

impl World {
    /// Checks what must always hold after a runner took something on.
    pub(crate) fn check_runner(&mut self, i: usize) {
        let runner = &self.runners[i];
        let used = runner.used_memory();
        if used > runner.spec.memory {
            let at = self.now;
            let runner = runner.spec.name.clone();
            self.checker
                .report(Violation::Overcommit { at, runner, used });
        }
        let models: Vec<Name> = self.runners[i].loading.keys().cloned().collect();
        for model in models {
            self.check_replicas(&model);
        }
    }

    fn check_replicas(&mut self, model: &Name) {
        let holding = self.runners.iter().enumerate();
        let holding = holding.filter(|(i, r)| r.is_alive && r.holds(model) && !self.is_silent(*i));
        let held = u32::try_from(holding.count()).unwrap_or(u32::MAX);
        let target = (self.deployment.pool.name.clone(), model.clone());
        let decided = self.log.decided(&target);
        if held > decided {
            let surplus = Violation::Surplus {
                at: self.now,
                model: model.clone(),
                held,
                decided,
            };
            self.checker.report(surplus);
        }
    }

    /// Reports whether a runner has been frozen for so long that it may be
    /// presumed dead. Its replicas are surplus once it goes on.
    fn is_silent(&self, i: usize) -> bool {
        let limit = self.settings.place.dead_after;
        let heard = self.plights[i].announced;
        self.runners[i].is_frozen && self.now >= heard + limit
    }

    pub(crate) fn check_leaving(&mut self, i: usize) {
        let left = self.plights[i].left;
        if left.is_some_and(|at| self.now > at + LEAVE_LIMIT) {
            let runner = self.runners[i].spec.name.clone();
            let at = self.now;
            self.checker.report(Violation::Leaving { at, runner });
        }
    }

    /// Adds the idle time of a model's replica on a runner, or of all.
    pub(crate) fn count_idle(&mut self, i: usize, model: Option<&Name>) {
        if self.is_ended {
            return;
        }
        let now = self.now;
        let total = self.runners[i].spec.memory;
        let held = self.runners[i].loaded.iter_mut();
        let held = held.filter(|(name, h)| model.is_none_or(|m| m == *name) && h.running == 0);
        for (_, replica) in held {
            self.tally.idle += weighted(now.since(replica.idle), replica.memory, total);
            replica.idle = now;
        }
    }
}

/// Returns a time weighted by a part of the accelerator.
pub(crate) fn weighted(span: Duration, memory: u64, total: u64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "sizes are small")]
    let part = memory as f64 / total.max(1) as f64;
    span.mul_f64(part)
}

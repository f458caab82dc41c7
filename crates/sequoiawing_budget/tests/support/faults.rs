use super::{
    InjectedFault, World,
    clock::clock,
    world::{Owner, router},
};
use sequoiawing_budget::{CentreBudget, Lender, Refill};
use std::time::Duration;

/// Stops, starts and restarts of processes.
impl World {
    /// Stops the owner. Pending commands may or may not be committed.
    pub(crate) fn stop_owner(&mut self) {
        self.owner = None;
    }

    /// Starts a successor of the owner with the state in the log.
    pub(crate) fn start_owner(&mut self) {
        self.term += 1;
        let clock = clock(&self.settings, &mut self.rng);
        let mut watermark = self.log.clone();
        let limits = self.settings.limits;
        let mut timing = self.settings.timing;
        match self.settings.injected_fault {
            InjectedFault::WatermarkIgnored => {
                if let Some(watermark) = &mut watermark {
                    watermark.floor = limits.burst;
                }
            }
            InjectedFault::AccrualNotStopped => timing.lease = Duration::from_hours(1),
            _ => {}
        }
        let now = clock.now(self.now);
        let lender = Lender::owner(now, self.term, limits, timing, watermark);
        self.owner = Some(Owner { clock, lender });
    }

    pub(crate) fn stop_leader(&mut self, c: usize) {
        self.cells[c].centre = None;
    }

    /// Makes a router the next leader of its cell.
    pub(crate) fn start_leader(&mut self, c: usize, r: usize) {
        let cell = &mut self.cells[c];
        cell.leader = r;
        cell.term += 1;
        let router = &cell.routers[r];
        let now = router.clock.now(self.now);
        let share = router.admission.budget().share();
        let settings = &self.settings;
        let mut timing = settings.timing;
        if settings.injected_fault == InjectedFault::LeaseNotWaited {
            timing.lease /= 10;
        }
        let centre = CentreBudget::new(now, cell.term, settings.limits, timing, share);
        cell.centre = Some(centre);
    }

    pub(crate) fn has_owner(&self) -> bool {
        self.owner.is_some()
    }

    pub(crate) fn has_leader(&self, c: usize) -> bool {
        self.cells[c].centre.is_some()
    }

    pub(crate) fn is_autonomous(&self, c: usize) -> bool {
        self.cells[c]
            .centre
            .as_ref()
            .is_some_and(CentreBudget::is_autonomous)
    }

    pub(crate) fn balance(&self) -> u64 {
        self.owner.as_ref().map_or(0, |o| o.lender.balance())
    }

    /// Restarts a router without its state. Stops the leader of the cell if it
    /// ran on this router.
    pub(crate) fn restart_router(&mut self, c: usize, r: usize) {
        if self.cells[c].leader == r {
            self.stop_leader(c);
        }
        let incarnation = self.cells[c].routers[r].incarnation + 1;
        let fresh = router(&self.settings, &mut self.rng, self.now, incarnation);
        let old = std::mem::replace(&mut self.cells[c].routers[r], fresh);
        if self.settings.limits.refill == Refill::OnReturn {
            for index in old.active.into_keys() {
                self.settle(index, 0);
            }
        }
    }
}

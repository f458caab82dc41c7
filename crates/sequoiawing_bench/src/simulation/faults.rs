//! Injection of faults.

use crate::{
    Simulation,
    simulation::{
        Fault, RequestStatus,
        event::Event,
        state::{ATTEMPT_IDS, RunnerState},
    },
};
use sequoiawing_policy::{DispatchEvent, PlaceEvent};
use std::time::Duration;

impl Simulation {
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        self.record_trace(|| format!("{fault:?}"));
        match fault {
            Fault::Kill(i) => self.kill(i),
            Fault::KillInLoad(i) => self.runner_states[i].dies_in_load = true,
            Fault::Restart(i) => self.restart(i),
            Fault::Freeze(i) => self.runners[i].is_frozen = true,
            Fault::Thaw(i) => self.thaw(i),
            Fault::Hang(i) => self.runners[i].is_hanging = true,
            Fault::FailLoads(i) => self.runners[i].is_failing = true,
            Fault::Mute(i) => self.runners[i].loses_replies = true,
            Fault::LoseOrders(i) => self.runner_states[i].loses_orders = true,
            Fault::Leave(i) => {
                self.runners[i].is_leaving = true;
                self.runner_states[i].leaving_since = Some(self.now);
            }
            Fault::Recover(i) => {
                self.runners[i].is_hanging = false;
                self.runners[i].is_failing = false;
                self.runners[i].loses_replies = false;
                self.runner_states[i].loses_orders = false;
            }
            Fault::StoreSpeed(speed) => {
                self.counters.speeds.push((self.now, speed));
                self.store.set_speed(self.now, speed);
                self.schedule_transfer_end();
            }
            Fault::Cut(centre) => {
                self.centres[centre].is_disconnected = true;
                self.notify_placer(centre, PlaceEvent::CreditsLost);
                self.allocate_credits();
                self.budget.disconnect(self.now, centre);
            }
            Fault::Heal(centre) => {
                self.centres[centre].is_disconnected = false;
                self.credits.reset(centre);
                self.allocate_credits();
                self.budget.reconnect(self.now, centre);
            }
            Fault::NewLeader(centre) => self.replace_leader(centre),
            Fault::Withdraw(customer) => self.withdraw(customer),
        }
    }

    pub(crate) fn kill(&mut self, i: usize) {
        if !self.runners[i].is_alive {
            return;
        }
        self.count_idle(i, None);
        self.runners[i].is_alive = false;
        self.runners[i].queue.clear();
        self.store.abort(self.now, |runner, _| runner == i);
        self.schedule_transfer_end();
        let name = self.runners[i].spec.name.clone();
        for request in std::mem::take(&mut self.jobs[i]).into_keys() {
            self.fail_attempt(request, name.clone(), Duration::ZERO);
        }
    }

    fn restart(&mut self, i: usize) {
        self.kill(i);
        self.runners[i].restart();
        self.runner_states[i] = RunnerState::default();
        let epoch = self.runners[i].epoch;
        self.schedule(self.now, Event::Announce { runner: i, epoch });
    }

    fn thaw(&mut self, i: usize) {
        self.runners[i].is_frozen = false;
        for order in std::mem::take(&mut self.runners[i].inbox) {
            self.execute_order(i, &order);
        }
        let name = self.runners[i].spec.name.clone();
        for request in std::mem::take(&mut self.jobs[i]).into_keys() {
            let model = self.requests[request].model.clone();
            let adapter = self.requests[request].adapter.clone();
            self.runners[i].end_request(self.now, &model, adapter.as_ref());
            self.fail_attempt(request, name.clone(), Duration::ZERO);
        }
        self.runners[i].queue.clear();
        self.announce_change(i);
    }

    /// Cancels all running and queued requests of a customer.
    pub(crate) fn withdraw(&mut self, customer: usize) {
        let customer = self.deployment.customers[customer].name.clone();
        self.withdrawn.insert(customer.clone());
        for request in 0..self.requests.len() {
            let is_open = self.outcomes[request].status == RequestStatus::Open;
            let has_arrived = self.requests[request].at <= self.now;
            if self.requests[request].customer == customer && is_open && has_arrived {
                self.outcomes[request].status = RequestStatus::Withdrawn;
                let attempt = u64::from(self.outcomes[request].attempts).min(ATTEMPT_IDS - 1);
                let id = request as u64 * ATTEMPT_IDS + attempt;
                let router = self.requests[request].router;
                self.notify_router(router, DispatchEvent::Cancelled { id });
            }
        }
        for i in 0..self.runners.len() {
            let jobs = self.jobs[i].iter();
            let own = jobs.filter(|(r, _)| self.requests[**r].customer == customer);
            let own: Vec<(usize, u32)> = own.map(|(r, a)| (*r, *a)).collect();
            for (request, attempt) in own {
                self.cancel_request(i, request, attempt);
            }
        }
    }
}

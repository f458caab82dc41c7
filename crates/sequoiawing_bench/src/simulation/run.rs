//! The event loop and the results of a simulation.

use crate::{
    Request, Simulation, Workload,
    simulation::{
        Counters, Fault, RequestOutcome, RequestStatus, Violation,
        event::Event,
        state::{ANSWER_GRACE, TICK},
    },
};
use sequoiawing_policy::{DispatchEvent, PlaceEvent};
use sequoiawing_types::Time;
use std::time::Duration;

impl Simulation {
    /// Schedules a request.
    pub fn add_request(&mut self, request: Request) {
        let i = self.requests.len();
        let router = &self.routers[request.router];
        self.outcomes.push(RequestOutcome {
            customer: request.customer.clone(),
            centre: self.centres[router.centre].name.clone(),
            tokens: request.tokens(),
            ..RequestOutcome::default()
        });
        let at = request.at;
        self.requests.push(request);
        self.schedule(at, Event::Arrive(i));
    }

    /// Schedules a fault.
    pub fn add_fault(&mut self, at: Time, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    /// Runs a workload, plus 30 s in which open requests can complete.
    pub fn run(&mut self, workload: &Workload) {
        for request in &workload.requests {
            self.add_request(request.clone());
        }
        for (at, fault) in &workload.faults {
            self.add_fault(*at, *fault);
        }
        let rest = Duration::from_secs(30);
        self.schedule(workload.end, Event::End);
        self.run_until(workload.end + rest);
        self.finish();
    }

    /// Processes all events up to `until`.
    pub fn run_until(&mut self, until: Time) {
        while let Some(scheduled) = self.queue.peek() {
            if scheduled.at > until {
                break;
            }
            let Some(scheduled) = self.queue.pop() else {
                break;
            };
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        self.now = until;
    }

    /// Reports requests that got no answer as violations.
    pub fn finish(&mut self) {
        for i in 0..self.requests.len() {
            let due = self.requests[i].at + self.requests[i].deadline + ANSWER_GRACE;
            if self.outcomes[i].status == RequestStatus::Open && due < self.now {
                self.violations.record(Violation::Dropped { request: i });
            }
        }
        let open = std::mem::take(&mut self.open_cold);
        self.counters.cold_loads.extend(open.into_values());
    }

    /// Returns the outcomes of all requests.
    pub fn outcomes(&self) -> &[RequestOutcome] {
        &self.outcomes
    }

    /// Returns the deadlines of all requests, relative to their arrival.
    pub fn deadlines(&self) -> Vec<Duration> {
        self.requests.iter().map(|r| r.deadline).collect()
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the recorded violations, at most the first 50.
    pub fn violations(&self) -> &[Violation] {
        &self.violations.recorded
    }

    /// Returns the numbers of overcommits, surplus replicas, duplicate runs and
    /// other violations.
    pub fn violation_counts(&self) -> [u64; 4] {
        let violations = &self.violations;
        [
            violations.overcommits,
            violations.surpluses,
            violations.doubles,
            violations.others,
        ]
    }

    /// Returns the number of customers that were admitted more than their rate
    /// and burst allow.
    pub fn overshoot(&self) -> u64 {
        self.budget.overshoot(self.now)
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.handle_arrival(i),
            Event::Retry { request, avoid } => self.retry_request(request, avoid),
            Event::Fault(fault) => self.inject_fault(fault),
            Event::Announce { runner, epoch } => self.announce_periodically(runner, epoch),
            Event::Expire { runner, sequence } => self.expire(runner, sequence),
            Event::TickPlacer(i) => {
                self.notify_placer(i, PlaceEvent::Tick);
                self.schedule(self.now + TICK, Event::TickPlacer(i));
            }
            Event::TickRouter(i) => {
                self.notify_router(i, DispatchEvent::Tick);
                self.schedule(self.now + TICK, Event::TickRouter(i));
            }
            Event::Order {
                runner,
                centre,
                order,
            } => self.handle_order(runner, centre, &order),
            Event::Reply { centre, id, reply } => {
                self.notify_placer(centre, PlaceEvent::Replied { id, reply });
            }
            Event::DemandAnswered {
                router,
                target,
                state,
            } => {
                let model = target;
                self.notify_router(router, DispatchEvent::DemandAnswered { model, state });
            }
            Event::Allot {
                centre,
                term,
                target,
                want,
            } => {
                if self.centres[centre].term == term {
                    self.allot(centre, &target, want);
                }
            }
            Event::Recorded {
                centre,
                term,
                number,
            } => {
                if self.centres[centre].term == term {
                    self.notify_placer(centre, PlaceEvent::Recorded { number });
                }
            }
            Event::Recall { centre, target } => self.recall(centre, &target),
            Event::TransferStart {
                runner,
                epoch,
                model,
                memory,
            } => self.start_transfer(runner, epoch, model, memory),
            Event::TransferEnd { version } => self.end_transfers(version),
            Event::LoadEnd {
                runner,
                epoch,
                model,
            } => self.finish_load(runner, epoch, &model),
            Event::AdapterEnd {
                runner,
                epoch,
                adapter,
            } => self.finish_adapter_load(runner, epoch, &adapter),
            Event::RequestEnd {
                runner,
                epoch,
                request,
                attempt,
            } => self.finish_request(runner, epoch, request, attempt),
            Event::End => self.stop_idle_count(),
        }
    }

    /// Adds the remaining idle time and stops counting it.
    pub(crate) fn stop_idle_count(&mut self) {
        for i in 0..self.runners.len() {
            self.count_idle(i, None);
        }
        self.is_ended = true;
    }
}

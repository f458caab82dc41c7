//! How a world runs, and what it tells of it.

use crate::{
    Request, Workload, World,
    world::{
        Fate, Fault, Outcome, Tally, Violation,
        event::Event,
        state::{GRACE, TICK},
    },
};
use sequoiawing_policy::{DispatchEvent, PlaceEvent};
use sequoiawing_types::Time;
use std::time::Duration;

impl World {
    /// Adds a request.
    pub fn add_request(&mut self, request: Request) {
        let i = self.requests.len();
        let router = &self.routers[request.router];
        self.outcomes.push(Outcome {
            customer: request.customer.clone(),
            centre: self.centres[router.centre].name.clone(),
            tokens: request.tokens(),
            ..Outcome::default()
        });
        let at = request.at;
        self.requests.push(request);
        self.push(at, Event::Arrive(i));
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, at: Time, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    /// Runs a workload to its end, and a little longer for what is open.
    pub fn run(&mut self, workload: &Workload) {
        for request in &workload.requests {
            self.add_request(request.clone());
        }
        for (at, fault) in &workload.faults {
            self.add_fault(*at, *fault);
        }
        let rest = Duration::from_secs(30);
        self.push(workload.end, Event::End);
        self.run_until(workload.end + rest);
        self.finish();
    }

    /// Runs until a moment.
    pub fn run_until(&mut self, until: Time) {
        while let Some(due) = self.queue.peek() {
            if due.at > until {
                break;
            }
            let Some(due) = self.queue.pop() else {
                break;
            };
            self.now = due.at;
            self.handle(due.event);
        }
        self.now = until;
    }

    /// Looks for requests that got no answer.
    pub fn finish(&mut self) {
        for i in 0..self.requests.len() {
            let due = self.requests[i].at + self.requests[i].deadline + GRACE;
            if self.outcomes[i].fate == Fate::Open && due < self.now {
                self.checker.report(Violation::Dropped { request: i });
            }
        }
        let open = std::mem::take(&mut self.cold);
        self.tally.cold_loads.extend(open.into_values());
    }

    /// Returns the outcomes of all requests.
    pub fn outcomes(&self) -> &[Outcome] {
        &self.outcomes
    }

    /// Returns the deadlines of all requests, from their arrival.
    pub fn deadlines(&self) -> Vec<Duration> {
        self.requests.iter().map(|r| r.deadline).collect()
    }

    /// Returns what was counted.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns what happened that must not, at most the first of many.
    pub fn violations(&self) -> &[Violation] {
        &self.checker.kept
    }

    /// Counts overcommits, surplus replicas, doubles and other violations.
    pub fn violation_counts(&self) -> [u64; 4] {
        let checker = &self.checker;
        [
            checker.overcommits,
            checker.surpluses,
            checker.doubles,
            checker.others,
        ]
    }

    /// Counts the customers that were admitted more than their rate allows.
    pub fn overshoot(&self) -> u64 {
        self.budget.overshoot(self.now)
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i),
            Event::Retry { request, avoid } => self.retry(request, avoid),
            Event::Fault(fault) => self.fault(fault),
            Event::Announce { runner, epoch } => self.announce_periodically(runner, epoch),
            Event::Expire { runner, sequence } => self.expire(runner, sequence),
            Event::TickPlacer(i) => {
                self.tell_placer(i, PlaceEvent::Tick);
                self.push(self.now + TICK, Event::TickPlacer(i));
            }
            Event::TickRouter(i) => {
                self.tell_router(i, DispatchEvent::Tick);
                self.push(self.now + TICK, Event::TickRouter(i));
            }
            Event::Order {
                runner,
                centre,
                order,
            } => self.order(runner, centre, &order),
            Event::Reply { centre, id, reply } => {
                self.tell_placer(centre, PlaceEvent::Replied { id, reply });
            }
            Event::Decided {
                router,
                target,
                state,
            } => {
                let model = target;
                self.tell_router(router, DispatchEvent::DemandAnswered { model, state });
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
                    self.tell_placer(centre, PlaceEvent::Recorded { number });
                }
            }
            Event::Recall { centre, target } => self.recall(centre, &target),
            Event::StoreStart {
                runner,
                epoch,
                model,
                memory,
            } => self.store_start(runner, epoch, model, memory),
            Event::StoreEnd { version } => self.store_end(version),
            Event::LoadEnd {
                runner,
                epoch,
                model,
            } => self.load_end(runner, epoch, &model),
            Event::AdapterEnd {
                runner,
                epoch,
                adapter,
            } => self.adapter_end(runner, epoch, &adapter),
            Event::Served {
                runner,
                epoch,
                request,
                attempt,
            } => self.served(runner, epoch, request, attempt),
            Event::End => self.end(),
        }
    }

    /// Stops counting idle time.
    pub(crate) fn end(&mut self) {
        for i in 0..self.runners.len() {
            self.count_idle(i, None);
        }
        self.is_ended = true;
    }
}

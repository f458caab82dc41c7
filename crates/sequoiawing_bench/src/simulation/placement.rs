//! Messages between routers, placers, the log and the load budget.

use crate::{
    Simulation,
    fakes::FakeRunner,
    simulation::{Violation, event::Event, state::Centre},
};
use sequoiawing_fleet::{Demand, Order, OrderKind};
use sequoiawing_policy::{PlaceAction, PlaceEvent};
use sequoiawing_types::Name;

impl Simulation {
    pub(crate) fn send_demand(&mut self, router: usize, demand: &Demand) {
        let own = self.routers[router].centre;
        let named = self.centres.iter().position(|c| c.name == demand.centre);
        let centre = named.unwrap_or(own);
        let is_disconnected =
            self.centres[own].is_disconnected || self.centres[centre].is_disconnected;
        if centre != own && is_disconnected {
            return;
        }
        let target = demand
            .adapter
            .clone()
            .unwrap_or_else(|| demand.model.clone());
        let mut out = Vec::new();
        let placer = &mut self.centres[centre].placer;
        let state = placer.demand(self.now, demand, &mut out);
        self.execute_actions(centre, out);
        let answered = Event::DemandAnswered {
            router,
            target,
            state,
        };
        self.schedule(self.now, answered);
    }

    pub(crate) fn notify_placer(&mut self, centre: usize, event: PlaceEvent) {
        let mut out = Vec::new();
        self.centres[centre]
            .placer
            .handle(self.now, event, &mut out);
        self.execute_actions(centre, out);
    }

    fn execute_actions(&mut self, centre: usize, actions: Vec<PlaceAction>) {
        for action in actions {
            match action {
                PlaceAction::Send { upstream, order } => self.send_order(centre, &upstream, order),
                PlaceAction::Allot { pool, model, want } => {
                    let target = (pool, model);
                    let term = self.centres[centre].term;
                    let event = Event::Allot {
                        centre,
                        term,
                        target,
                        want,
                    };
                    self.schedule(self.now, event);
                }
                PlaceAction::Record { number, counts } => {
                    self.centres[centre].recorded_counts = counts;
                    let term = self.centres[centre].term;
                    let event = Event::Recorded {
                        centre,
                        term,
                        number,
                    };
                    self.schedule(self.now, event);
                }
                PlaceAction::Recall { pool, model } => {
                    let target = (pool, model);
                    self.schedule(self.now, Event::Recall { centre, target });
                }
                PlaceAction::ReportDemand { loads, .. } => {
                    self.credits.set_demand(centre, loads);
                    self.allocate_credits();
                }
            }
        }
    }

    fn send_order(&mut self, centre: usize, upstream: &Name, order: Order) {
        if self.sent_orders.record(centre, upstream, &order) {
            let (at, id) = (self.now, order.id);
            self.violations.record(Violation::RepeatedOrder { at, id });
        }
        if let OrderKind::Load { model, .. } = &order.kind
            && let Some(cold) = self.open_cold.get_mut(model)
        {
            cold.ordered.get_or_insert(self.now);
            cold.orders += 1;
        }
        let Some(runner) = self.runner_indexes.get(upstream).copied() else {
            return;
        };
        self.schedule(
            self.now,
            Event::Order {
                runner,
                centre,
                order,
            },
        );
    }

    /// Requests an allotment from the log, which a disconnected data centre
    /// cannot reach.
    pub(crate) fn allot(&mut self, centre: usize, target: &(Name, Name), want: u32) {
        let state = &self.centres[centre];
        let name = state.name.clone();
        let is_disconnected = state.is_disconnected;
        let count = (!is_disconnected).then(|| self.allotments.allot(target, &name, want));
        let (pool, model) = target.clone();
        self.record_trace(|| format!("{name} may hold {count:?} of {model}, asked for {want}"));
        self.notify_placer(centre, PlaceEvent::Allotted { pool, model, count });
    }

    /// Asks the other connected data centres to release their allotments.
    pub(crate) fn recall(&mut self, centre: usize, target: &(Name, Name)) {
        if self.centres[centre].is_disconnected {
            return;
        }
        for other in 0..self.centres.len() {
            if other != centre && !self.centres[other].is_disconnected {
                let (pool, model) = target.clone();
                self.notify_placer(other, PlaceEvent::Recalled { pool, model });
            }
        }
    }

    /// Divides the store's slots between the connected data centres.
    pub(crate) fn allocate_credits(&mut self) {
        let centres = u32::try_from(self.centres.len()).unwrap_or(1);
        let share = (self.deployment.store.slots / centres).max(1);
        let used = |centre: &Centre| {
            let runners = self.runners.iter().filter(|r| r.spec.centre == centre.name);
            let loads = runners.filter(|r| r.is_alive).map(FakeRunner::remote_loads);
            let loads: u32 = loads.sum();
            if centre.is_disconnected {
                loads.max(share)
            } else {
                loads
            }
        };
        let used: Vec<u32> = self.centres.iter().map(used).collect();
        for (centre, slots, starts) in self.credits.allocate(&used) {
            if !self.centres[centre].is_disconnected {
                self.notify_placer(centre, PlaceEvent::LoadCredits { slots, starts });
            }
        }
    }
}

//! How the routers, leaders and budgets of a world talk to each other.

use crate::{
    World,
    fakes::FakeRunner,
    world::{Violation, event::Event, state::Centre},
};
use sequoiawing_fleet::{Demand, Order, OrderKind};
use sequoiawing_policy::{PlaceAction, PlaceEvent};
use sequoiawing_types::Name;

impl World {
    pub(crate) fn ask(&mut self, router: usize, demand: &Demand) {
        let own = self.routers[router].centre;
        let named = self.centres.iter().position(|c| c.name == demand.centre);
        let centre = named.unwrap_or(own);
        let is_cut = self.centres[own].is_cut || self.centres[centre].is_cut;
        if centre != own && is_cut {
            return;
        }
        let target = demand
            .adapter
            .clone()
            .unwrap_or_else(|| demand.model.clone());
        let mut out = Vec::new();
        let placer = &mut self.centres[centre].placer;
        let state = placer.demand(self.now, demand, &mut out);
        self.act(centre, out);
        let decided = Event::Decided {
            router,
            target,
            state,
        };
        self.push(self.now, decided);
    }

    pub(crate) fn tell_placer(&mut self, centre: usize, event: PlaceEvent) {
        let mut out = Vec::new();
        self.centres[centre]
            .placer
            .handle(self.now, event, &mut out);
        self.act(centre, out);
    }

    fn act(&mut self, centre: usize, actions: Vec<PlaceAction>) {
        for action in actions {
            match action {
                PlaceAction::Send { upstream, order } => self.send(centre, &upstream, order),
                PlaceAction::Allot { pool, model, want } => {
                    let target = (pool, model);
                    let term = self.centres[centre].term;
                    let event = Event::Allot {
                        centre,
                        term,
                        target,
                        want,
                    };
                    self.push(self.now, event);
                }
                PlaceAction::Record { number, counts } => {
                    self.centres[centre].shares = counts;
                    let term = self.centres[centre].term;
                    let event = Event::Recorded {
                        centre,
                        term,
                        number,
                    };
                    self.push(self.now, event);
                }
                PlaceAction::Recall { pool, model } => {
                    let target = (pool, model);
                    self.push(self.now, Event::Recall { centre, target });
                }
                PlaceAction::ReportDemand { loads, .. } => {
                    self.owner.want(centre, loads);
                    self.grant();
                }
            }
        }
    }

    fn send(&mut self, centre: usize, upstream: &Name, order: Order) {
        if self.sent.is_repeated(centre, upstream, &order) {
            let (at, id) = (self.now, order.id);
            self.checker.report(Violation::RepeatedOrder { at, id });
        }
        if let OrderKind::Load { model, .. } = &order.kind
            && let Some(cold) = self.cold.get_mut(model)
        {
            cold.ordered.get_or_insert(self.now);
            cold.orders += 1;
        }
        let Some(runner) = self.names.get(upstream).copied() else {
            return;
        };
        self.push(
            self.now,
            Event::Order {
                runner,
                centre,
                order,
            },
        );
    }

    /// Asks the log, which a data centre that is cut off does not reach.
    pub(crate) fn allot(&mut self, centre: usize, target: &(Name, Name), want: u32) {
        let state = &self.centres[centre];
        let name = state.name.clone();
        let is_cut = state.is_cut;
        let count = (!is_cut).then(|| self.log.set(target, &name, want));
        let (pool, model) = target.clone();
        self.note(|| format!("{name} may hold {count:?} of {model}, asked for {want}"));
        self.tell_placer(centre, PlaceEvent::Allotted { pool, model, count });
    }

    /// Has the other data centres that can be reached release their share.
    pub(crate) fn recall(&mut self, centre: usize, target: &(Name, Name)) {
        if self.centres[centre].is_cut {
            return;
        }
        for other in 0..self.centres.len() {
            if other != centre && !self.centres[other].is_cut {
                let (pool, model) = target.clone();
                self.tell_placer(other, PlaceEvent::Recalled { pool, model });
            }
        }
    }

    /// Shares the store's slots between the data centres that are connected.
    pub(crate) fn grant(&mut self) {
        let centres = u32::try_from(self.centres.len()).unwrap_or(1);
        let share = (self.deployment.store.slots / centres).max(1);
        let used = |centre: &Centre| {
            let runners = self.runners.iter().filter(|r| r.spec.centre == centre.name);
            let loads = runners.filter(|r| r.is_alive).map(FakeRunner::remote_loads);
            let loads: u32 = loads.sum();
            if centre.is_cut {
                loads.max(share)
            } else {
                loads
            }
        };
        let used: Vec<u32> = self.centres.iter().map(used).collect();
        for (centre, slots, starts) in self.owner.share(&used) {
            if !self.centres[centre].is_cut {
                self.tell_placer(centre, PlaceEvent::LoadCredits { slots, starts });
            }
        }
    }
}

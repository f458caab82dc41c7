//! How requests come to the routers of a world.

use crate::{
    Request, World,
    fakes::FakeRunner,
    world::{ColdLoad, ColdRequest, Fate, state::ATTEMPTS},
};
use sequoiawing_policy::{DispatchAction, DispatchEvent, DispatchRequest};
use sequoiawing_types::Name;

impl World {
    pub(crate) fn arrive(&mut self, i: usize) {
        let request = self.requests[i].clone();
        if self.withdrawn.contains(&request.customer) {
            self.outcomes[i].fate = Fate::Withdrawn;
            return;
        }
        let centre = self.routers[request.router].centre;
        let cut = self.centres[centre].is_cut.then_some(centre);
        let tokens = request.tokens();
        let taken = self
            .budget
            .take(self.now, &request.customer, request.router, cut, tokens);
        let (is_admitted, is_entitled) = taken;
        self.outcomes[i].is_entitled = is_entitled;
        if !is_admitted {
            self.outcomes[i].fate = Fate::Limited;
            return;
        }
        self.note_cold(i, &request, centre);
        self.dispatch(i, Vec::new());
    }

    /// Notes whether anything that a router can reach could serve the request.
    fn note_cold(&mut self, i: usize, request: &Request, centre: usize) {
        let reachable = |runner: &&FakeRunner| runner.is_serving() && self.reaches(centre, runner);
        let runners: Vec<&FakeRunner> = self.runners.iter().filter(reachable).collect();
        let adapter = request.adapter.as_ref();
        let is_warm = runners.iter().any(|r| r.has(&request.model, adapter));
        let is_loaded = runners
            .iter()
            .any(|r| r.loaded.contains_key(&request.model));
        let places = runners.iter().map(|r| r.checkpoint(&request.model));
        let place = places.min().unwrap_or_default();
        self.outcomes[i].is_cold = !is_warm;
        self.outcomes[i].is_cold_model = !is_loaded;
        if is_loaded {
            return;
        }
        let cold_request = ColdRequest {
            number: i,
            at: self.now,
            deadline: request.deadline,
        };
        if let Some(cold) = self.cold.get_mut(&request.model) {
            cold.requests.push(cold_request);
            return;
        }
        let memory = self.memory(&request.model);
        let cold = ColdLoad {
            at: self.now,
            ordered: None,
            begun: None,
            ready: None,
            orders: 0,
            span: self.deployment.load_span(memory, place),
            is_remote: place == sequoiawing_policy::CheckpointLocation::Remote,
            requests: vec![cold_request],
        };
        self.cold.insert(request.model.clone(), cold);
    }

    pub(crate) fn memory(&self, model: &Name) -> u64 {
        let known = self.deployment.pool.model(model.as_str());
        known.map_or(0, |m| m.memory)
    }

    /// Reports whether a data centre's routers reach a runner.
    pub(crate) fn reaches(&self, centre: usize, runner: &FakeRunner) -> bool {
        let own = &self.centres[centre];
        if own.name == runner.spec.centre {
            return true;
        }
        let other = self.centres.iter().find(|c| c.name == runner.spec.centre);
        !own.is_cut && other.is_some_and(|c| !c.is_cut)
    }

    pub(crate) fn retry(&mut self, i: usize, avoid: Name) {
        let due = self.requests[i].at + self.requests[i].deadline;
        if self.withdrawn.contains(&self.requests[i].customer) {
            return;
        }
        if self.now < due {
            self.dispatch(i, vec![avoid]);
        } else if self.outcomes[i].fate == Fate::Open {
            self.outcomes[i].fate = Fate::Failed;
        }
    }

    pub(crate) fn dispatch(&mut self, i: usize, avoid: Vec<Name>) {
        let request = &self.requests[i];
        let customers = self.deployment.customers.iter();
        let weight = customers.filter(|c| c.name == request.customer);
        let weight = weight.map(|c| c.weight).next().unwrap_or(1);
        let attempt = u64::from(self.outcomes[i].attempts).min(ATTEMPTS - 1);
        let work = DispatchRequest {
            id: i as u64 * ATTEMPTS + attempt,
            customer: request.customer.clone(),
            weight,
            model: Some(request.model.clone()),
            adapter: request.adapter.clone(),
            tokens: request.tokens(),
            deadline: request.at + request.deadline,
            prefix: request.prefix,
            avoid,
        };
        let router = request.router;
        self.tell_router(router, DispatchEvent::Arrived(work));
    }

    pub(crate) fn tell_router(&mut self, router: usize, event: DispatchEvent) {
        let mut out = Vec::new();
        self.routers[router]
            .dispatcher
            .handle(self.now, event, &mut out);
        for action in out {
            match action {
                DispatchAction::Assign { id, upstream, .. } => self.assign(id, &upstream),
                DispatchAction::Refuse { id, reason, .. } => {
                    let i = usize::try_from(id / ATTEMPTS).unwrap_or(0);
                    self.note(|| format!("request {i} is refused: {reason:?}"));
                    if self.outcomes[i].begun.is_none() {
                        self.outcomes[i].fate = Fate::Refused(reason);
                    }
                }
                DispatchAction::SendDemand(demand) => self.ask(router, &demand),
            }
        }
    }
}

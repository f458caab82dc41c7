//! Arrival and dispatch of requests.

use crate::{
    Request, Simulation,
    fakes::FakeRunner,
    simulation::{ColdLoad, ColdRequest, RequestStatus, state::ATTEMPT_IDS},
};
use sequoiawing_policy::{DispatchAction, DispatchEvent, DispatchRequest};
use sequoiawing_types::Name;

impl Simulation {
    pub(crate) fn handle_arrival(&mut self, i: usize) {
        let request = self.requests[i].clone();
        if self.withdrawn.contains(&request.customer) {
            self.outcomes[i].status = RequestStatus::Withdrawn;
            return;
        }
        let centre = self.routers[request.router].centre;
        let disconnected = self.centres[centre].is_disconnected.then_some(centre);
        let tokens = request.tokens();
        let charged = self.budget.charge(
            self.now,
            &request.customer,
            request.router,
            disconnected,
            tokens,
        );
        let (is_admitted, is_entitled) = charged;
        self.outcomes[i].is_entitled = is_entitled;
        if !is_admitted {
            self.outcomes[i].status = RequestStatus::Limited;
            return;
        }
        self.record_cold_start(i, &request, centre);
        self.dispatch(i, Vec::new());
    }

    /// Records whether any runner reachable from the data centre could serve
    /// the request.
    fn record_cold_start(&mut self, i: usize, request: &Request, centre: usize) {
        let reachable =
            |runner: &&FakeRunner| runner.is_serving() && self.can_reach(centre, runner);
        let runners: Vec<&FakeRunner> = self.runners.iter().filter(reachable).collect();
        let adapter = request.adapter.as_ref();
        let is_warm = runners
            .iter()
            .any(|r| r.has_loaded(&request.model, adapter));
        let is_loaded = runners
            .iter()
            .any(|r| r.loaded.contains_key(&request.model));
        let locations = runners.iter().map(|r| r.checkpoint(&request.model));
        let location = locations.min().unwrap_or_default();
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
        if let Some(cold) = self.open_cold.get_mut(&request.model) {
            cold.requests.push(cold_request);
            return;
        }
        let memory = self.model_memory(&request.model);
        let cold = ColdLoad {
            at: self.now,
            ordered: None,
            started: None,
            ready: None,
            orders: 0,
            load_time: self.deployment.load_duration(memory, location),
            is_remote: location == sequoiawing_policy::CheckpointLocation::Remote,
            requests: vec![cold_request],
        };
        self.open_cold.insert(request.model.clone(), cold);
    }

    pub(crate) fn model_memory(&self, model: &Name) -> u64 {
        let spec = self.deployment.pool.model(model.as_str());
        spec.map_or(0, |m| m.memory)
    }

    /// Returns whether the routers of a data centre can reach a runner.
    pub(crate) fn can_reach(&self, centre: usize, runner: &FakeRunner) -> bool {
        let own = &self.centres[centre];
        if own.name == runner.spec.centre {
            return true;
        }
        let other = self.centres.iter().find(|c| c.name == runner.spec.centre);
        !own.is_disconnected && other.is_some_and(|c| !c.is_disconnected)
    }

    pub(crate) fn retry_request(&mut self, i: usize, avoid: Name) {
        let deadline = self.requests[i].at + self.requests[i].deadline;
        if self.withdrawn.contains(&self.requests[i].customer) {
            return;
        }
        if self.now < deadline {
            self.dispatch(i, vec![avoid]);
        } else if self.outcomes[i].status == RequestStatus::Open {
            self.outcomes[i].status = RequestStatus::Failed;
        }
    }

    pub(crate) fn dispatch(&mut self, i: usize, avoid: Vec<Name>) {
        let request = &self.requests[i];
        let customers = self.deployment.customers.iter();
        let weight = customers.filter(|c| c.name == request.customer);
        let weight = weight.map(|c| c.weight).next().unwrap_or(1);
        let attempt = u64::from(self.outcomes[i].attempts).min(ATTEMPT_IDS - 1);
        let dispatch_request = DispatchRequest {
            id: i as u64 * ATTEMPT_IDS + attempt,
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
        self.notify_router(router, DispatchEvent::Arrived(dispatch_request));
    }

    pub(crate) fn notify_router(&mut self, router: usize, event: DispatchEvent) {
        let mut out = Vec::new();
        self.routers[router]
            .dispatcher
            .handle(self.now, event, &mut out);
        for action in out {
            match action {
                DispatchAction::Assign { id, upstream, .. } => self.assign(id, &upstream),
                DispatchAction::Refuse { id, reason, .. } => {
                    let i = usize::try_from(id / ATTEMPT_IDS).unwrap_or(0);
                    self.record_trace(|| format!("request {i} is refused: {reason:?}"));
                    if self.outcomes[i].started.is_none() {
                        self.outcomes[i].status = RequestStatus::Refused(reason);
                    }
                }
                DispatchAction::SendDemand(demand) => self.send_demand(router, &demand),
            }
        }
    }
}

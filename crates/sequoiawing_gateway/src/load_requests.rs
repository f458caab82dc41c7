//! Requests for loads of models and adapters that no upstream has.

use crate::{GatewayState, cluster_view::ClusterView, state::DemandEvent};
use sequoiawing_link::{
    HubClient, LoadRequest, ModelDemand, OrderedEvictions, OrderedLoads, PlannedLoad,
};
use sequoiawing_policy::serving::{BalancerRequest, SoftwareVersion};
use sequoiawing_runtime::spawn;
use sequoiawing_types::{Name, Time};
use std::{sync::Arc, time::Duration};

/// How long after its estimated end a model load counts as done although the
/// upstream has not announced it. Upstreams announce models at once, adapters
/// later.
const LOAD_SLACK: Duration = Duration::from_millis(250);

/// How long a load that was requested counts after it was due. By then the
/// upstream's announcement has arrived.
const REQUESTED_TTL: Duration = Duration::from_millis(2_500);

/// The time that a call may take in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

impl GatewayState {
    /// Asks the leader's hub for the load of what a request needs, and for notice of it
    /// within `wait`, unless another request did so just now.
    pub(crate) fn request_load(self: &Arc<Self>, request: &BalancerRequest, wait: Duration) {
        let Some(model) = request.model.clone() else {
            return;
        };
        let software = match &request.software {
            None => None,
            Some(SoftwareVersion::Announced(software)) => Some(software.clone()),
            // Only the upstream that began the stream can go on with it.
            Some(SoftwareVersion::Unknown { .. }) => return,
        };
        let key = (request.pool.clone(), model, request.adapter.clone());
        let key = (key, software);
        if !self.load_requests.lock().insert(key.clone()) {
            return;
        }
        let state = self.clone();
        let request = request.clone();
        spawn(async move {
            let software = key.1.clone();
            let ordered = state.fetch_loads(&request, software, wait).await;
            state.load_requests.lock().remove(&key);
            match ordered {
                Some(ordered) => state.apply_requested(ordered),
                // The demand goes with the next report, to any hub.
                None => state.record_demand(&request, DemandEvent::ModelMissing),
            }
        })
        .detach();
    }

    async fn fetch_loads(
        &self,
        request: &BalancerRequest,
        software: Option<Name>,
        wait: Duration,
    ) -> Option<OrderedLoads> {
        let hub = self.hubs.lock().leader(self.now())?;
        let load_request = LoadRequest {
            demand: ModelDemand {
                pool: request.pool.clone(),
                model: request.model.clone()?,
                adapter: request.adapter.clone(),
                software,
                missed: 1,
                ..ModelDemand::default()
            },
            wait: u64::try_from(wait.as_millis()).unwrap_or_default(),
            is_forwarded: false,
        };
        let call =
            async |client: HubClient, context| client.request_load(context, load_request).await;
        let replied = self.hub_stub(hub).call(wait + CALL_TIMEOUT, call).await;
        replied
            .inspect_err(|error| {
                log::info!(
                    target: "gateway", hub = hub.to_string();
                    "Request for a load was not answered, its demand is reported: {error}."
                );
            })
            .ok()
            .flatten()
    }

    /// Returns when the next load is expected to finish that a request waits for.
    pub(crate) fn next_expected(&self, request: &BalancerRequest) -> Option<Time> {
        self.balancer.lock().next_expected(self.now(), request)
    }

    /// Returns the estimated time until a model is loaded, if a load is in
    /// progress.
    pub(crate) fn time_until_loaded(&self, request: &BalancerRequest) -> Option<Duration> {
        let now = self.now();
        let model = request.adapter.as_ref().or(request.model.as_ref())?;
        let cluster = self.cluster.lock();
        let loads = cluster.loads.iter();
        let matching = loads.filter(|(_, l)| l.pool == request.pool && l.model == *model);
        let matching: Vec<(Time, Name)> =
            matching.map(|(at, l)| (*at, l.upstream.clone())).collect();
        drop(cluster);
        let balancer = self.balancer.lock();
        let can_serve = |upstream: &Name| {
            let needed = request.software.as_ref();
            let state = balancer.state(upstream);
            needed.is_none_or(|software| state.is_some_and(|state| software.is_of(state)))
        };
        let usable = matching.iter().filter(|(_, upstream)| can_serve(upstream));
        usable.map(|(at, _)| at.since(now)).min()
    }

    /// Applies the evictions that the leader ordered.
    pub(crate) fn apply_evictions(
        &self,
        now: Time,
        cluster: &mut ClusterView,
        evictions: OrderedEvictions,
    ) {
        if evictions.term < cluster.term {
            return;
        }
        cluster.term = evictions.term;
        cluster.loads.retain(|(due, _)| now < *due + REQUESTED_TTL);
        let mut balancer = self.balancer.lock();
        balancer.set_expected(cluster.loads.iter().map(expected_load));
        balancer.set_evicted(evictions.evicted);
    }

    /// Applies the loads that the leader's hub named in reply to a request for them.
    pub(crate) fn apply_requested(&self, ordered: OrderedLoads) {
        let now = self.now();
        let mut cluster = self.cluster.lock();
        if ordered.term < cluster.term {
            return;
        }
        let requested = due_loads(now, ordered.loads);
        let expected = requested.iter().map(expected_load);
        self.balancer.lock().add_expected(expected);
        cluster.loads.extend(requested);
        drop(cluster);
        self.upstreams_changed.notify(usize::MAX);
    }
}

/// Returns loads with the times at which they are due.
fn due_loads(now: Time, loads: Vec<PlannedLoad>) -> Vec<(Time, PlannedLoad)> {
    // `Time` can't precede this process's start, so overdue loads count as due now.
    let due = |load: &PlannedLoad| match load.late {
        0 => now + Duration::from_millis(load.ready),
        _ => now,
    };
    loads.into_iter().map(|load| (due(&load), load)).collect()
}

/// Returns the upstream of a load, the model or adapter, and when it counts as loaded.
fn expected_load((due, load): &(Time, PlannedLoad)) -> (Name, Name, Time) {
    let is_announced = !load.model.as_str().contains(':') && load.ready > 0;
    let slack = if is_announced {
        LOAD_SLACK
    } else {
        Duration::ZERO
    };
    (load.upstream.clone(), load.model.clone(), *due + slack)
}

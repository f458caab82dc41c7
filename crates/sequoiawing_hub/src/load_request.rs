//! Answers gateways that wait for the load of a model or adapter.
//!
//! In a large deployment reports and their replies are up to half a second apart, which
//! is longer than many loads take.

use crate::hub::HubState;
use sequoiawing_link::{HubClient, LoadRequest, OrderedLoads, PlannedLoad};
use sequoiawing_runtime::timeout;
use sequoiawing_types::Name;
use std::{collections::BTreeSet, time::Duration};

/// The time that a call to the leader's hub may take in addition to its wait.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(200);

impl HubState {
    /// Adds the demand of a request for a load, and returns the loads that meet it, if
    /// there are any before the wait is over.
    pub(crate) async fn request_load(&self, request: LoadRequest) -> Option<OrderedLoads> {
        if self.handle.leadership().is_none() {
            return self.forward(request).await;
        }
        self.add_demand(vec![request.demand.clone()]);
        let wait = Duration::from_millis(request.wait);
        let is_known = |_: &u64| self.knows_load(&request);
        timeout(wait, self.orders.wait_until(is_known)).await;
        Some(self.loads_for(&request))
    }

    /// Passes a request on to the leader's hub, unless another hub did so before.
    async fn forward(&self, request: LoadRequest) -> Option<OrderedLoads> {
        let leader = self.handle.status().leader?;
        if request.is_forwarded {
            return None;
        }
        let limit = Duration::from_millis(request.wait) + FORWARD_TIMEOUT;
        let request = LoadRequest {
            is_forwarded: true,
            ..request
        };
        let call = async |client: HubClient, context| client.request_load(context, request).await;
        match self.stub(leader.ip()).call(limit, call).await {
            Ok(ordered) => ordered,
            Err(error) => {
                log::info!(target: "hub", leader = leader.ip().to_string(); "The leader's hub did not answer a request for a load: {error}.");
                None
            }
        }
    }

    /// Returns whether an engine carries out a load that meets the request, or has done so.
    fn knows_load(&self, request: &LoadRequest) -> bool {
        let engines = self.engines_of(request);
        let ordered = self.ordered_loads.lock();
        let mut loads = ordered.iter().flat_map(|(_, ordered)| &ordered.loads);
        let is_underway = loads.any(|load| {
            let is_queued = load.upstream.as_str().is_empty();
            is_asked_for(request, engines.as_ref(), load) && !is_queued
        });
        drop(ordered);
        is_underway || !self.holders(request).is_empty()
    }

    /// Returns the upstreams that announce what a request for a load asks for, without
    /// those that were ordered to unload it.
    fn holders(&self, request: &LoadRequest) -> Vec<Name> {
        let demand = &request.demand;
        let roster = self.roster.lock();
        let live = roster.live().filter(|state| state.pool == demand.pool);
        let holders = live.filter(|state| {
            let has_adapter = |adapter| state.has_adapter(adapter);
            let needed = demand.software.as_ref();
            let is_of_version = needed.is_none() || state.software.as_ref() == needed;
            is_of_version
                && state.has_model(&demand.model)
                && demand.adapter.as_ref().is_none_or(has_adapter)
                && !state.leaving
        });
        let mut holders: Vec<Name> = holders.map(|state| state.name.clone()).collect();
        drop(roster);
        if let Some((_, evictions)) = &*self.evictions.lock() {
            let is_evicted = |name: &Name| {
                let mut evicted = evictions.evicted.iter();
                let needed = [Some(&demand.model), demand.adapter.as_ref()];
                evicted.any(|(n, evicted)| n == name && needed.contains(&Some(evicted)))
            };
            holders.retain(|name| !is_evicted(name));
        }
        holders
    }

    /// Returns the engines of the software version that a request needs; `None` if it
    /// needs none.
    fn engines_of(&self, request: &LoadRequest) -> Option<BTreeSet<Name>> {
        let software = request.demand.software.as_ref()?;
        let roster = self.roster.lock();
        let engines = roster.live();
        let engines = engines.filter(|state| state.software.as_ref() == Some(software));
        Some(engines.map(|state| state.name.clone()).collect())
    }

    /// Returns the loads that meet a request: those that wait for an engine, are being
    /// carried out or are done.
    fn loads_for(&self, request: &LoadRequest) -> OrderedLoads {
        let engines = self.engines_of(request);
        let ordered = self.ordered_loads(self.now()).unwrap_or_default();
        let underway = ordered.loads.into_iter();
        let underway = underway.filter(|load| is_asked_for(request, engines.as_ref(), load));
        let done = self
            .holders(request)
            .into_iter()
            .map(|upstream| PlannedLoad {
                pool: request.demand.pool.clone(),
                model: request.target().clone(),
                upstream,
                ..PlannedLoad::default()
            });
        OrderedLoads {
            term: ordered.term,
            loads: underway.chain(done).collect(),
        }
    }
}

/// Returns whether a load is one that a request asks for; `engines` are those that may
/// serve it, if not all may.
fn is_asked_for(
    request: &LoadRequest,
    engines: Option<&BTreeSet<Name>>,
    load: &PlannedLoad,
) -> bool {
    let may_serve = engines
        .as_ref()
        .is_none_or(|names| names.contains(&load.upstream));
    may_serve && load.model == *request.target() && load.pool == request.demand.pool
}

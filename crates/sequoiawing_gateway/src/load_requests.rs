//! Requests for loads of models and adapters that no upstream has.

use crate::{GatewayState, state::DemandEvent};
use sequoiawing_link::{HubClient, LoadRequest, ModelDemand, OrderedLoads};
use sequoiawing_policy::serving::BalancerRequest;
use sequoiawing_runtime::spawn;
use std::{sync::Arc, time::Duration};

/// The time that a call may take in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

impl GatewayState {
    /// Asks the leader's hub for the load of what a request needs, and for notice of it
    /// within `wait`, unless another request did so just now.
    pub(crate) fn request_load(self: &Arc<Self>, request: &BalancerRequest, wait: Duration) {
        let Some(model) = request.model.clone() else {
            return;
        };
        let key = (request.pool.clone(), model, request.adapter.clone());
        if !self.load_requests.lock().insert(key.clone()) {
            return;
        }
        let state = self.clone();
        let request = request.clone();
        spawn(async move {
            let ordered = state.fetch_loads(&request, wait).await;
            state.load_requests.lock().remove(&key);
            match ordered {
                Some(ordered) => state.apply_requested(ordered),
                // The demand goes with the next report, to any hub.
                None => state.record_demand(&request, DemandEvent::ModelMissing),
            }
        })
        .detach();
    }

    async fn fetch_loads(&self, request: &BalancerRequest, wait: Duration) -> Option<OrderedLoads> {
        let hub = self.hubs.lock().leader(self.now())?;
        let load_request = LoadRequest {
            demand: ModelDemand {
                pool: request.pool.clone(),
                model: request.model.clone()?,
                adapter: request.adapter.clone(),
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
}

//! Passes demand on to the hub of the host that orders loads.

use crate::hub::HubState;
use sequoiawing_link::{HubClient, ModelDemand};
use sequoiawing_runtime::{Shutdown, sleep};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// For how long demand is gathered, so that the leader takes one call for the
/// reports of many gateways.
const GATHERING: Duration = Duration::from_millis(15);

/// How long the leader's hub may take. Demand that it does not take is
/// dropped: what is still missed is reported again.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Runs until shutdown starts.
pub(crate) async fn relay_demand(state: Arc<HubState>, shutdown: Shutdown) {
    loop {
        let more = state.relaying.listen();
        let is_idle = state.relayed.lock().is_empty();
        if is_idle && shutdown.or(more).await.is_none() {
            return;
        }
        if shutdown.or(sleep(GATHERING)).await.is_none() {
            return;
        }
        let gathered = std::mem::take(&mut *state.relayed.lock());
        let demand = merge(gathered);
        if demand.is_empty() {
            continue;
        }
        if state.handle.leadership().is_some() {
            state.take_demand(demand);
            continue;
        }
        let models = demand.len();
        let Some(leader) = state.handle.status().leader else {
            log::info!(target: "hub", models = models; "Demand is dropped: no host is known to lead.");
            continue;
        };
        let call = async |client: HubClient, context| client.demand(context, demand).await;
        if let Err(error) = state.stub(leader.ip()).call(CALL_LIMIT, call).await {
            log::info!(target: "hub", models = models; "Demand is dropped: {error}.");
        }
    }
}

/// Adds up the demand for each model and adapter.
fn merge(gathered: Vec<ModelDemand>) -> Vec<ModelDemand> {
    let mut merged: BTreeMap<_, ModelDemand> = BTreeMap::new();
    for demand in gathered {
        let key = (
            demand.pool.clone(),
            demand.model.clone(),
            demand.adapter.clone(),
        );
        match merged.get_mut(&key) {
            Some(known) => known.add(&demand),
            None => {
                merged.insert(key, demand);
            }
        }
    }
    merged.into_values().collect()
}

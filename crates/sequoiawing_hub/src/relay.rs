//! Forwards demand to the hub of the leader, which orders model loads.

use crate::hub::HubState;
use sequoiawing_link::{HubClient, ModelDemand};
use sequoiawing_runtime::{Shutdown, sleep};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long demand is collected before it is sent, so that the leader gets one
/// call for the reports of many gateways.
const BATCH_WINDOW: Duration = Duration::from_millis(15);

/// Timeout of a call to the leader's hub. Demand that it does not accept is
/// dropped, since gateways report demand again while it is unmet.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards demand until shutdown starts.
pub(crate) async fn relay_demand(state: Arc<HubState>, shutdown: Shutdown) {
    loop {
        let queued = state.demand_queued.listen();
        let is_idle = state.outgoing_demand.lock().is_empty();
        if is_idle && shutdown.or(queued).await.is_none() {
            return;
        }
        if shutdown.or(sleep(BATCH_WINDOW)).await.is_none() {
            return;
        }
        let batch = std::mem::take(&mut *state.outgoing_demand.lock());
        let demand = merge(batch);
        if demand.is_empty() {
            continue;
        }
        if state.handle.leadership().is_some() {
            state.add_demand(demand);
            continue;
        }
        let models = demand.len();
        let Some(leader) = state.handle.status().leader else {
            log::info!(target: "hub", models = models; "Dropping demand: the leader is unknown.");
            continue;
        };
        let call = async |client: HubClient, context| client.demand(context, demand).await;
        if let Err(error) = state.stub(leader.ip()).call(CALL_TIMEOUT, call).await {
            log::info!(target: "hub", models = models; "Dropping demand: the call to the leader's hub failed: {error}.");
        }
    }
}

/// Merges the demand for each model and adapter.
fn merge(batch: Vec<ModelDemand>) -> Vec<ModelDemand> {
    let mut merged: BTreeMap<_, ModelDemand> = BTreeMap::new();
    for demand in batch {
        let key = (
            demand.pool.clone(),
            demand.model.clone(),
            demand.adapter.clone(),
        );
        match merged.get_mut(&key) {
            Some(total) => total.add(&demand),
            None => {
                merged.insert(key, demand);
            }
        }
    }
    merged.into_values().collect()
}

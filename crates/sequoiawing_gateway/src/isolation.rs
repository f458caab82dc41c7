//! Watches whether this gateway's data centre is cut off from all others.

use crate::GatewayState;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use sequoiawing_runtime::{Shutdown, sleep};
use std::sync::Arc;
use std::time::Duration;

/// How often the gateway checks.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The number of upstreams that are probed at once. One may have failed, and another may
/// be about to.
const PROBES: usize = 3;

/// Checks until shutdown starts. While the data centre is cut off, the readiness check
/// fails, so that callers are sent to other data centres.
pub(crate) async fn watch_isolation(state: Arc<GatewayState>, shutdown: Shutdown) {
    while shutdown.or(sleep(CHECK_INTERVAL)).await.is_some() {
        state.standstills.lock().tick(state.now());
        let was_isolated = state.is_isolated();
        let log_age = state.hubs.lock().log_age(state.now());
        let is_suspicious = state.isolation.lock().observe(log_age);
        if is_suspicious {
            let (reached, unreachable) = probe_other_centres(&state).await;
            state.isolation.lock().record_probes(reached, unreachable);
        }
        let is_isolated = state.is_isolated();
        if is_isolated != was_isolated {
            log::warn!(
                target: "gateway", cut_off = is_isolated,
                log_age_ms = log_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
                "Reach of other data centres changed."
            );
        }
    }
}

/// Connects to some upstreams of other data centres; returns how many were reached and how
/// many were not.
async fn probe_other_centres(state: &GatewayState) -> (usize, usize) {
    let remote = state
        .balancer
        .lock()
        .remote_upstreams(&state.settings.centre);
    let chosen = remote.into_iter().sample(&mut rand::rng(), PROBES);
    let probes = chosen.iter();
    let probes = probes.map(|(upstream, address)| state.connector.probe(upstream, *address));
    let results = join_all(probes).await;
    let reached = results.iter().filter(|result| result.is_ok()).count();
    (reached, results.len() - reached)
}

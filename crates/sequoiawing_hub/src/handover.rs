//! Handover of the loader: waits until no other host gives orders.

use crate::hub::HubState;
use futures::future::join_all;
use sequoiawing_link::{HubClient, HubInfo};
use sequoiawing_policy::serving::handover_wait;
use sequoiawing_runtime::sleep;
use std::{net::IpAddr, time::Duration};

/// Timeout of a call to another hub. A hub that does not answer is stopped,
/// disconnected or suspended, and engines refuse its later orders because of
/// their lower term.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The minimum delay between two rounds of calls.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Waits until no other host that answers has given an order for at least
/// `quiet`.
pub(crate) async fn wait_until_quiet(state: &HubState, quiet: Duration) {
    loop {
        let own = state.settings.link.ip();
        let others = state.hubs().into_iter().filter(|host| *host != own);
        let responses = join_all(others.map(|host| fetch_facts(state, host))).await;
        let facts = responses.into_iter().flatten();
        let ages = facts.map(|facts| Duration::from_millis(facts.order_age));
        let remaining = handover_wait(quiet, ages);
        if remaining.is_zero() {
            return;
        }
        log::info!(
            target: "loader", wait_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            "Waiting: another host may have given orders recently."
        );
        sleep(remaining.max(MIN_DELAY)).await;
    }
}

async fn fetch_facts(state: &HubState, host: IpAddr) -> Option<HubInfo> {
    let call = async |client: HubClient, context| client.facts(context).await;
    match state.stub(host).call(CALL_TIMEOUT, call).await {
        Ok(facts) => Some(facts),
        Err(error) => {
            log::info!(target: "loader", "Failed to get the facts of the hub on {host}: {error}.");
            None
        }
    }
}

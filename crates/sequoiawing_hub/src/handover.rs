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
        let responses = join_all(others.map(|host| fetch_info(state, host))).await;
        let infos = responses.into_iter().flatten();
        let ages = infos.map(|info| Duration::from_millis(info.order_age));
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

async fn fetch_info(state: &HubState, host: IpAddr) -> Option<HubInfo> {
    let call = async |client: HubClient, context| client.facts(context).await;
    match state.stub(host).call(CALL_TIMEOUT, call).await {
        Ok(info) => Some(info),
        Err(error) => {
            log::info!(target: "loader", "Failed to get information from the hub on {host}: {error}.");
            None
        }
    }
}

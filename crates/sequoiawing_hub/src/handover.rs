//! Waits until no other host gives orders.

use crate::hub::HubState;
use futures::future::join_all;
use sequoiawing_link::{HubClient, HubFacts};
use sequoiawing_policy::serving::handover_wait;
use sequoiawing_runtime::sleep;
use std::{net::IpAddr, time::Duration};

/// How long another hub may take to say when it gave its last order. One that
/// does not answer is stopped, cut off or suspended, and engines refuse what it
/// sends later by its lower term.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// The shortest time between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Waits until no other host that answers has given an order for `quiet`.
pub(crate) async fn wait(state: &HubState, quiet: Duration) {
    loop {
        let own = state.settings.link.ip();
        let others = state.hubs().into_iter().filter(|host| *host != own);
        let answers = join_all(others.map(|host| ask(state, host))).await;
        let answered = answers.into_iter().flatten();
        let ages = answered.map(|facts| Duration::from_millis(facts.order_age));
        let left = handover_wait(quiet, ages);
        if left.is_zero() {
            return;
        }
        log::info!(
            target: "loader", wait_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            "Another host may have given orders just now."
        );
        sleep(left.max(PAUSE)).await;
    }
}

async fn ask(state: &HubState, host: IpAddr) -> Option<HubFacts> {
    let call = async |client: HubClient, context| client.facts(context).await;
    match state.stub(host).call(CALL_LIMIT, call).await {
        Ok(facts) => Some(facts),
        Err(error) => {
            log::info!(target: "loader", "The hub on {host} does not say whether it gives orders: {error}.");
            None
        }
    }
}

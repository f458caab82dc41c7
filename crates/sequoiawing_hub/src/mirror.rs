//! Follows what the other hubs know.

use crate::hub::HubState;
use sequoiawing_link::{HubClient, MirrorNews, MirrorRequest};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use std::{collections::BTreeSet, net::IpAddr, sync::Arc, time::Duration};

/// How often another hub is asked; an upstream that leaves must be known to
/// all gateways within two seconds.
const INTERVAL: Duration = Duration::from_millis(300);

/// How long the leader's hub may wait until it has something new, in
/// milliseconds.
const LEADER_WAIT: u64 = 300;

/// The shortest time between two questions to the leader's hub: what it orders
/// should be known everywhere before a load is done.
const LEADER_PAUSE: Duration = Duration::from_millis(30);

/// How long another hub may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How often hubs that are new are looked for.
const MEMBER_INTERVAL: Duration = Duration::from_millis(500);

/// Follows every other hub for as long as it is a member of the log.
pub(crate) async fn follow_others(state: Arc<HubState>, shutdown: Shutdown) {
    let own = state.settings.link.ip();
    let mut followed: BTreeSet<IpAddr> = BTreeSet::new();
    let mut tasks = Vec::new();
    loop {
        let hubs = state.hubs().into_iter().filter(|h| *h != own);
        for host in hubs {
            if followed.insert(host) {
                tasks.push((host, spawn(follow(state.clone(), host))));
            }
        }
        let members: BTreeSet<IpAddr> = state.hubs().into_iter().collect();
        // Dropping a task ends it.
        tasks.retain(|(host, _)| members.contains(host));
        followed.retain(|host| members.contains(host));
        if shutdown.or(sleep(MEMBER_INTERVAL)).await.is_none() {
            return;
        }
    }
}

async fn follow(state: Arc<HubState>, host: IpAddr) {
    let stub = state.stub(host);
    let mut request = MirrorRequest::default();
    let mut in_touch = false;
    loop {
        let leads = state
            .handle
            .status()
            .leader
            .is_some_and(|at| at.ip() == host);
        request.wait = if leads { LEADER_WAIT } else { 0 };
        let call = async |client: HubClient, context| client.mirror(context, request).await;
        match stub.call(CALL_LIMIT, call).await {
            Ok(news) => {
                if !in_touch {
                    log::info!(target: "hub", "In touch with the hub on {host}.");
                }
                in_touch = true;
                request.cursor = news.roster.cursor;
                request.stamp = news.stamp;
                request.seen = news.seen;
                take(&state, news);
            }
            Err(error) => {
                if in_touch {
                    log::warn!(target: "hub", "Lost touch with the hub on {host}: {error}.");
                }
                in_touch = false;
            }
        }
        sleep(if leads && in_touch {
            LEADER_PAUSE
        } else {
            INTERVAL
        })
        .await;
    }
}

/// Takes in what another hub told.
fn take(state: &HubState, news: MirrorNews) {
    let now = state.now();
    let mut changed = false;
    let mut roster = state.roster.lock();
    for listed in news.roster.listed {
        changed |= roster.take(now, listed);
    }
    drop(roster);
    let mut usage = state.usage.lock();
    for told in &news.uses {
        usage.merge(now, told);
    }
    drop(usage);
    if let Some(ordered) = news.ordered {
        state.take_ordered(ordered);
    }
    state.look_at_reach();
    if changed {
        state.stir();
    }
}

//! Mirrors the state of the other hubs.

use crate::hub::HubState;
use sequoiawing_fleet::Cursor;
use sequoiawing_link::{HubClient, MirrorReply, MirrorRequest};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use std::{collections::BTreeSet, net::IpAddr, sync::Arc, time::Duration};

/// How often another hub is polled. All gateways must know within two seconds
/// that an upstream has left.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// How long the leader's hub may hold a request until it has changes, in
/// milliseconds.
const LEADER_WAIT_MS: u64 = 300;

/// The delay between two requests to the leader's hub. Ordered loads should be
/// known everywhere before they finish.
const LEADER_POLL_DELAY: Duration = Duration::from_millis(30);

/// Timeout of a call to another hub.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the list of hubs is updated.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(500);

/// Mirrors every other hub while its host is a member of the log, until shutdown
/// starts.
pub(crate) async fn mirror_other_hubs(state: Arc<HubState>, shutdown: Shutdown) {
    let own = state.settings.link.ip();
    let mut mirrored: BTreeSet<IpAddr> = BTreeSet::new();
    let mut tasks = Vec::new();
    loop {
        let hubs = state.hubs().into_iter().filter(|h| *h != own);
        for host in hubs {
            if mirrored.insert(host) {
                tasks.push((host, spawn(mirror_hub(state.clone(), host))));
            }
        }
        let members: BTreeSet<IpAddr> = state.hubs().into_iter().collect();
        // Dropping a task cancels it.
        tasks.retain(|(host, _)| members.contains(host));
        mirrored.retain(|host| members.contains(host));
        state
            .missing_hubs
            .lock()
            .retain(|host| members.contains(host));
        if shutdown.or(sleep(MEMBERSHIP_INTERVAL)).await.is_none() {
            return;
        }
    }
}

async fn mirror_hub(state: Arc<HubState>, host: IpAddr) {
    let stub = state.stub(host);
    let mut request = MirrorRequest::default();
    let mut is_connected = false;
    loop {
        let wants_all = state.missing_hubs.lock().iter().any(|hub| *hub != host);
        if wants_all && !request.wants_all {
            // What was left out before is wanted now.
            request.cursor = Cursor::default();
            request.stamp = 0;
        }
        request.wants_all = wants_all;
        let leads = state
            .handle
            .status()
            .leader
            .is_some_and(|at| at.ip() == host);
        request.wait = if leads { LEADER_WAIT_MS } else { 0 };
        let call = async |client: HubClient, context| client.mirror(context, request).await;
        match stub.call(CALL_TIMEOUT, call).await {
            Ok(update) => {
                if !is_connected {
                    log::info!(target: "hub", "Connected to the hub on {host}.");
                }
                is_connected = true;
                state.missing_hubs.lock().remove(&host);
                request.cursor = update.roster.cursor;
                request.stamp = update.stamp;
                request.seen = update.seen;
                apply_update(&state, update);
            }
            Err(error) => {
                if is_connected {
                    log::warn!(target: "hub", "Lost connection to the hub on {host}: {error}.");
                }
                is_connected = false;
                state.missing_hubs.lock().insert(host);
            }
        }
        sleep(if leads && is_connected {
            LEADER_POLL_DELAY
        } else {
            POLL_INTERVAL
        })
        .await;
    }
}

/// Applies an update from another hub.
fn apply_update(state: &HubState, update: MirrorReply) {
    let now = state.now();
    let mut changed = update
        .revision
        .is_some_and(|revision| state.record_revision(revision));
    let mut roster = state.roster.lock();
    for listed in update.roster.listed {
        changed |= roster.apply(now, listed);
    }
    drop(roster);
    let mut aggregator = state.usage.lock();
    for usage in &update.uses {
        aggregator.merge(now, usage);
    }
    drop(aggregator);
    for usage in &update.uses {
        let gateway = (&usage.host, usage.incarnation);
        let age = Duration::from_millis(usage.age);
        state.record_quarantine(gateway, age, &usage.quarantine);
        state.record_tokens(gateway, age, &usage.tokens);
    }
    if let Some(limits) = update.limits
        && state.limits.lock().set_update(now, limits)
    {
        state.notify_granted();
    }
    if let Some(evictions) = update.evictions {
        state.set_evictions(evictions);
    }
    state.update_unreachable();
    if changed {
        state.notify_changed();
    }
}

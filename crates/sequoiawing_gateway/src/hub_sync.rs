//! Reports to the hubs and receives their updates.

use crate::GatewayState;
use futures_lite::FutureExt;
use parking_lot::Mutex;
use sequoiawing_fleet::Cursor;
use sequoiawing_link::{GatewayReport, HubClient, HubInfo, Stub, SyncReply};
use sequoiawing_policy::serving::{HubRole, HubStatus};
use sequoiawing_runtime::{Shutdown, Task, sleep, spawn};
use sequoiawing_types::Time;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// How long a hub may hold a report until it has an update. Departed upstreams
/// and new configurations must be known within two seconds, and the usage of
/// customers within the slack of their limits.
const UPDATE_WAIT: Duration = Duration::from_millis(250);

/// How often newly discovered hubs get a session.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// How long shutdown waits for a hub to accept the final report.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Keeps a session with each known hub until shutdown starts.
pub(crate) async fn sync_with_hubs(state: Arc<GatewayState>, shutdown: Shutdown) {
    let mut tasks: HashMap<SocketAddr, (Arc<HubSession>, Task<()>)> = HashMap::new();
    loop {
        let known: Vec<SocketAddr> = state.hubs.lock().hubs().collect();
        for hub in known {
            tasks.entry(hub).or_insert_with(|| {
                let session = Arc::new(HubSession::new(state.clone(), hub));
                let task = spawn(run_session(session.clone()));
                (session, task)
            });
        }
        tasks.retain(|_, (_, task)| !task.is_finished());
        if shutdown.or(sleep(DISCOVERY_INTERVAL)).await.is_none() {
            break;
        }
    }
    // Hubs that receive this gateway's reports are notified that it leaves if
    // they answer in time.
    for (hub, (session, task)) in tasks {
        drop(task);
        if state.hub_role(hub) != HubRole::Probed {
            let reported = async { Some(session.report(Duration::ZERO, false).await) };
            let timed_out = async {
                sleep(LEAVE_TIMEOUT).await;
                None
            };
            if reported.or(timed_out).await != Some(true) {
                log::info!(target: "gateway", hub = hub.to_string(); "Hub did not acknowledge that the gateway is leaving.");
            }
        }
    }
}

async fn run_session(session: Arc<HubSession>) {
    let state = &session.state;
    let hub = session.hub;
    let mut is_connected = false;
    let mut last_role = None;
    loop {
        let role = state.hub_role(hub);
        if last_role != Some(role) {
            log::info!(target: "gateway", hub = hub.to_string(), role = format!("{role:?}"); "Hub role changed.");
            last_role = Some(role);
        }
        let answered = match role {
            HubRole::Probed => session.probe().await,
            HubRole::Followed => session.report(UPDATE_WAIT, false).await,
            HubRole::Primary => {
                let periodic = session.report(UPDATE_WAIT, true);
                periodic.or(session.report_urgent()).await
            }
        };
        if answered != is_connected {
            log::info!(target: "gateway", hub = hub.to_string(), in_touch = answered; "Hub connectivity changed.");
            is_connected = answered;
        }
        if !answered && state.record_hub_failure(hub) {
            return;
        }
        let hubs_changed = state.hubs_changed.listen();
        let delay = state.poll_delay(hub);
        if state.hub_role(hub) == HubRole::Probed {
            sleep(delay).or(hubs_changed).await;
        } else {
            sleep(delay).await;
        }
    }
}

/// The session with one hub.
struct HubSession {
    state: Arc<GatewayState>,
    hub: SocketAddr,
    stub: Stub<HubClient>,
    sync_position: Mutex<SyncPosition>,
}

/// The position up to which the hub's updates have been received.
#[derive(Clone, Copy, Debug, Default)]
struct SyncPosition {
    cursor: Cursor,
    /// The change counter of the hub's last response.
    seen: u64,
    /// Identifies the run of the hub process, if it has responded.
    epoch: Option<u64>,
    /// The stamp of the last stream that the hub has been told of.
    streams: u64,
}

impl HubSession {
    fn new(state: Arc<GatewayState>, hub: SocketAddr) -> Self {
        let stub = state.hub_stub(hub);
        Self {
            state,
            hub,
            stub,
            sync_position: Mutex::default(),
        }
    }

    /// Requests the hub's status; returns whether it answered.
    async fn probe(&self) -> bool {
        let call = async |client: HubClient, context| client.facts(context).await;
        let limit = self.state.hubs.lock().call_timeout();
        match self.stub.call(limit, call).await {
            Ok(info) => {
                self.update_hub(info);
                true
            }
            Err(error) => {
                log::debug!(target: "gateway", "Call to a hub failed: {error}.");
                false
            }
        }
    }

    /// Reports whenever an urgent report is requested; never returns.
    async fn report_urgent(&self) -> bool {
        loop {
            self.state.urgent_report.listen().await;
            let delay = self.state.hubs.lock().report_interval();
            sleep(delay).await;
            self.report(Duration::ZERO, true).await;
        }
    }

    /// Sends one report and waits at most `wait` for an update; returns whether
    /// the hub answered. Demand is reported to the primary hub only.
    async fn report(&self, wait: Duration, is_primary: bool) -> bool {
        let state = &self.state;
        let demand = if is_primary {
            state.demand_batches()
        } else {
            Vec::new()
        };
        let last_batch = demand.last().map_or(0, |batch| batch.number);
        let usage = state.usage();
        let lost = state.connector.lost();
        let sync_position = *self.sync_position.lock();
        let skips_roster = !is_primary && state.hubs.lock().has_fresh_primary(state.now());
        let (last_stream, streams) = state.origins.report(sync_position.streams);
        let version = state.index().version();
        let report = GatewayReport {
            host: state.settings.host.clone(),
            incarnation: state.incarnation.get(),
            leaving: state.is_stopping.load(Ordering::Relaxed),
            version: version.unwrap_or_default(),
            configured: version.is_some(),
            evacuations: state.evacuation_revision(),
            cursor: sync_position.cursor,
            used: usage.clone(),
            demand,
            unreachable: state.unreachable(),
            reached: state.reached(),
            lost: lost.clone(),
            tunnels: state.settings.tunnels,
            skips_roster,
            quarantine: state.quarantine.report(state.now()),
            tokens: state.report_limits(),
            streams,
            seen: sync_position.seen,
            wait: u64::try_from(wait.as_millis()).unwrap_or_default(),
        };
        let sent = state.now();
        let call = async |client: HubClient, context| client.sync(context, report).await;
        let limit = state.hubs.lock().call_timeout();
        let update: SyncReply = match self.stub.call(limit, call).await {
            Ok(update) => update,
            Err(error) => {
                log::debug!(target: "gateway", "Call to a hub failed: {error}.");
                return false;
            }
        };
        state.incarnation.exceed(update.incarnation);
        state.acknowledge_demand(last_batch);
        *self.sync_position.lock() = SyncPosition {
            cursor: update.roster.cursor,
            seen: update.seen,
            epoch: Some(update.epoch),
            // A hub that has started anew knows only what this report told.
            streams: match sync_position.epoch {
                Some(known) if known != update.epoch => 0,
                Some(_) | None => last_stream,
            },
        };
        self.update_hub(update.facts.clone());
        // The reply may have waited while this process stood still.
        let age = Duration::from_millis(update.facts.age);
        let as_of = Time::ZERO + sent.since(Time::ZERO + age);
        let roster_time = (!skips_roster).then_some(as_of);
        // A hub that has started may have no tables to tell of yet.
        let has_tables = update.catalog.is_some() || state.index().version().is_some();
        // The first configuration makes the gateway ready.
        state.apply_evacuations(has_tables.then_some(as_of), update.evacuations.as_ref());
        state.apply_hub_update(self.hub, update, &usage, &lost);
        if let Some(time) = roster_time {
            state.record_roster_time(time);
        }
        true
    }

    /// Records the hub's status and the other hubs that it lists.
    fn update_hub(&self, info: HubInfo) {
        let status = HubStatus {
            centre: info.centre,
            leads: info.leads,
            age: Duration::from_millis(info.age),
        };
        self.state.update_hub(self.hub, status, &info.hubs);
    }
}

//! Follows the hubs and tells them what this gateway does.

use crate::GatewayState;
use futures_lite::FutureExt;
use parking_lot::Mutex;
use sequoiawing_fleet::Cursor;
use sequoiawing_link::{GatewayReport, HubClient, HubFacts, HubNews, Secret, Stub};
use sequoiawing_policy::serving::{HubRole, HubStatus};
use sequoiawing_runtime::{Shutdown, Task, sleep, spawn};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// How long a report waits for news. Upstreams that leave and configurations
/// must be known within two seconds, and what customers use within the slack of
/// their limits.
const INTERVAL: Duration = Duration::from_millis(250);

/// How long a hub may take.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// How often hubs that are new are looked for.
const HUBS_INTERVAL: Duration = Duration::from_millis(500);

/// How long shutdown waits for a hub to take the last report.
const LEAVE_LIMIT: Duration = Duration::from_millis(200);

/// Follows hubs, until shutdown starts.
pub(crate) async fn follow_hubs(state: Arc<GatewayState>, shutdown: Shutdown) {
    let mut tasks: HashMap<SocketAddr, (Arc<Follower>, Task<()>)> = HashMap::new();
    loop {
        let known: Vec<SocketAddr> = state.hubs.lock().hubs().collect();
        for hub in known {
            tasks.entry(hub).or_insert_with(|| {
                let follower = Arc::new(Follower::new(state.clone(), hub));
                let task = spawn(follow(follower.clone()));
                (follower, task)
            });
        }
        tasks.retain(|_, (_, task)| !task.is_finished());
        if shutdown.or(sleep(HUBS_INTERVAL)).await.is_none() {
            break;
        }
    }
    // Hubs that follow this gateway's reports are told that it leaves, as far as
    // they answer at once.
    for (hub, (follower, task)) in tasks {
        drop(task);
        if state.hub_role(hub) != HubRole::Probed {
            let told = async { Some(follower.tell(Duration::ZERO, false).await) };
            let late = async {
                sleep(LEAVE_LIMIT).await;
                None
            };
            if told.or(late).await != Some(true) {
                log::info!(target: "gateway", hub = hub.to_string(); "A hub was not told that the gateway leaves.");
            }
        }
    }
}

async fn follow(follower: Arc<Follower>) {
    let state = &follower.state;
    let hub = follower.hub;
    let mut in_touch = false;
    let mut former = None;
    loop {
        let role = state.hub_role(hub);
        if former != Some(role) {
            log::info!(target: "gateway", hub = hub.to_string(), role = format!("{role:?}"); "A hub's part changed.");
            former = Some(role);
        }
        let answered = match role {
            HubRole::Probed => follower.probe().await,
            HubRole::Followed => follower.tell(INTERVAL, false).await,
            HubRole::Primary => {
                let waiting = follower.tell(INTERVAL, true);
                waiting.or(follower.tell_urgent()).await
            }
        };
        if answered != in_touch {
            log::info!(target: "gateway", hub = hub.to_string(), in_touch = answered; "A hub's state changed.");
            in_touch = answered;
        }
        if !answered && state.lose_hub(hub) {
            return;
        }
        let rechosen = state.rechosen.listen();
        let pause = state.hub_pause(hub);
        if state.hub_role(hub) == HubRole::Probed {
            sleep(pause).or(rechosen).await;
        } else {
            sleep(pause).await;
        }
    }
}

/// What one hub was told and has told.
struct Follower {
    state: Arc<GatewayState>,
    hub: SocketAddr,
    stub: Stub<HubClient>,
    heard: Mutex<Heard>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    cursor: Cursor,
    /// What the hub counted when it last answered.
    seen: u64,
}

impl Follower {
    fn new(state: Arc<GatewayState>, hub: SocketAddr) -> Self {
        let secret = Secret::from(state.settings.secret.as_str());
        Self {
            state,
            hub,
            stub: Stub::new(hub, secret),
            heard: Mutex::default(),
        }
    }

    /// Asks the hub what it is; returns whether it answered.
    async fn probe(&self) -> bool {
        let call = async |client: HubClient, context| client.facts(context).await;
        match self.stub.call(CALL_LIMIT, call).await {
            Ok(facts) => {
                self.learn(facts);
                true
            }
            Err(error) => {
                log::debug!(target: "gateway", "A hub did not answer: {error}.");
                false
            }
        }
    }

    /// Reports as often as something is urgent, and never returns.
    async fn tell_urgent(&self) -> bool {
        loop {
            self.state.urgent.listen().await;
            let pause = self.state.hubs.lock().report_interval();
            sleep(pause).await;
            self.tell(Duration::ZERO, true).await;
        }
    }

    /// Reports once, and waits for news for at most `wait`; returns whether the
    /// hub answered. Demand goes to the primary hub alone.
    async fn tell(&self, wait: Duration, is_primary: bool) -> bool {
        let state = &self.state;
        let demand = if is_primary {
            state.demand_batches()
        } else {
            Vec::new()
        };
        let newest = demand.last().map_or(0, |batch| batch.number);
        let used = state.used();
        let heard = *self.heard.lock();
        let report = GatewayReport {
            host: state.settings.host.clone(),
            incarnation: state.incarnation,
            leaving: state.leaving.load(Ordering::Relaxed),
            version: state.index().version(),
            cursor: heard.cursor,
            used: used.clone(),
            demand,
            unreachable: state.unreachable(),
            reached: state.reached(),
            seen: heard.seen,
            wait: u64::try_from(wait.as_millis()).unwrap_or_default(),
        };
        let call = async |client: HubClient, context| client.sync(context, report).await;
        let news: HubNews = match self.stub.call(CALL_LIMIT, call).await {
            Ok(news) => news,
            Err(error) => {
                log::debug!(target: "gateway", "A hub did not answer: {error}.");
                return false;
            }
        };
        state.demand_taken(newest);
        *self.heard.lock() = Heard {
            cursor: news.roster.cursor,
            seen: news.seen,
        };
        self.learn(news.facts.clone());
        state.hear(self.hub, news, &used);
        true
    }

    /// Takes in what the hub is and which others there are.
    fn learn(&self, facts: HubFacts) {
        let fact = HubStatus {
            centre: facts.centre,
            leads: facts.leads,
            age: Duration::from_millis(facts.age),
        };
        self.state.hear_hub(self.hub, fact, &facts.hubs);
    }
}

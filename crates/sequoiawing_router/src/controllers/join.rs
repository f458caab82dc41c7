use crate::{Controller, RouterState};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_tables::{Command, Outcome, RouterHost};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often the membership is reconciled.
const INTERVAL: Duration = Duration::from_millis(250);

/// How often the other members are probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the other member of a cell of two may be unreachable before it is
/// removed through the log, since this host cannot be elected without it.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);

/// Joins this host to the cell of its data centre and, while this host leads,
/// retires members that have been unreachable for too long, so that hosts can be
/// replaced without manual steps.
///
/// In a cell of two, the remaining member has no majority and removes the other
/// one through the log: see [docs/design/cells.md](../../../../docs/design/cells.md).
pub(crate) struct JoinCell {
    state: Arc<RouterState>,
    last_heard: BTreeMap<Name, Time>,
    next_probe: Time,
}

impl JoinCell {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            last_heard: BTreeMap::new(),
            next_probe: Time::ZERO,
        }
    }

    fn local_host(&self) -> Option<RouterHost> {
        Some(RouterHost {
            host: self.state.settings.host.clone(),
            centre: self.state.settings.centre.clone(),
            address: self.state.link()?,
        })
    }

    async fn join(&self) {
        let Some(local_host) = self.local_host() else {
            return;
        };
        let is_registered =
            self.state.tables.get().hosts.get(&local_host.host) == Some(&local_host);
        if is_registered {
            return;
        }
        match self.state.propose(Command::Join(local_host)).await {
            Some(Outcome::Unsettled(centre)) => {
                log::info!(
                    target: "join",
                    "Waiting for the last membership change of the cell of {centre} to settle."
                );
            }
            Some(_) => log::info!(target: "join", "This host joined its cell."),
            None => {}
        }
    }

    /// Returns how long a member may be unreachable before this host retires it, or
    /// `None` if this host may not retire members.
    fn retire_after(&self) -> Option<Duration> {
        let limit = Duration::from_millis(self.state.settings.retire);
        if self.state.lease().is_some() {
            return Some(limit);
        }
        let tables = self.state.tables.get();
        let members: Vec<_> = tables.members(&self.state.settings.centre).collect();
        let is_member = members.iter().any(|m| m.host == self.state.settings.host);
        let is_orphan = members.len() == 2 && is_member && self.state.leader.read().is_none();
        is_orphan.then_some(limit.min(ORPHAN_TIMEOUT))
    }

    async fn retire_unreachable(&mut self) {
        let now = self.state.now();
        let Some(limit) = self.retire_after() else {
            self.last_heard.clear();
            return;
        };
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let centre = self.state.settings.centre.clone();
        let peers = self.state.peers.all();
        for peer in peers.iter().filter(|p| p.centre == centre) {
            let call = peer.stub.call(PROBE_TIMEOUT, |client, context| async move {
                client.status(context).await
            });
            let answered = call.await.is_ok();
            let last_heard = self.last_heard.entry(peer.host.clone()).or_insert(now);
            if answered {
                *last_heard = now;
            }
        }
        let expired = self
            .last_heard
            .iter()
            .find(|(_, last_heard)| now.since(**last_heard) >= limit);
        let Some(host) = expired.map(|(host, _)| host.clone()) else {
            return;
        };
        log::warn!(
            target: "join",
            "Retiring cell member {host}, which has not answered probes for too long."
        );
        let dead = false;
        let command = Command::Retire {
            host: host.clone(),
            dead,
        };
        if self.state.propose(command).await.is_some() {
            self.last_heard.remove(&host);
        }
    }
}

impl Controller for JoinCell {
    fn name(&self) -> &'static str {
        "join"
    }

    fn run(mut self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                let work = async {
                    self.join().await;
                    self.retire_unreachable().await;
                };
                if shutdown.or(Box::pin(work)).await.is_none() {
                    return;
                }
            }
        })
    }
}

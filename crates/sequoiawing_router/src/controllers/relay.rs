use crate::{Controller, RouterState, controllers::summary::SummarySender, peers::PeerLink};
use sequoiawing_fleet::{LoadDelta, RelayedState, Summary};
use sequoiawing_link::{ExchangeReply, UpstreamBatch};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// How long changes are collected before they are sent in one batch.
const INTERVAL: Duration = Duration::from_millis(100);

/// How often loads are sent to the routers of the data centre.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum lifetime of a relayed announcement on the other routers of the
/// data centre, in milliseconds.
const MIN_LIFETIME_MS: u64 = 2_500;

/// How long a router relays an upstream after its last direct announcement.
const RELAY_PERIOD: Duration = Duration::from_secs(20);

/// The timeout of a call that sends a batch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Updates that have not been sent to the other routers yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Upstreams with a changed announcement.
    changed: BTreeSet<Name>,
    /// Upstreams that recently announced themselves to this router.
    own: BTreeMap<Name, OwnUpstream>,
    /// Summaries of other data centres to forward within this one.
    summaries: Vec<Summary>,
}

/// An upstream that announces itself to this router.
#[derive(Debug)]
struct OwnUpstream {
    last_heard: Time,
    /// The models and adapters reported as active since the load was last relayed.
    active: BTreeSet<Name>,
}

impl Outbox {
    /// Removes an upstream that has expired.
    pub(crate) fn remove_upstream(&mut self, upstream: &Name) {
        self.own.remove(upstream);
    }

    /// Records an announcement or renewal of an upstream.
    pub(crate) fn record(&mut self, at: Time, name: Name, active: Vec<Name>, is_changed: bool) {
        if is_changed {
            self.changed.insert(name.clone());
        }
        let make = || OwnUpstream {
            last_heard: at,
            active: BTreeSet::new(),
        };
        let upstream = self.own.entry(name).or_insert_with(make);
        upstream.last_heard = at;
        upstream.active.extend(active);
    }

    /// Queues a summary of another data centre for the other routers of this one.
    pub(crate) fn forward(&mut self, summary: Summary) {
        self.summaries.push(summary);
    }
}

/// Relays announcements of upstreams to the other routers of the data centre and
/// summaries to the other data centres.
///
/// Changes are sent to all routers of the data centre in every batch, loads at a
/// longer interval.
pub(crate) struct RelayAnnouncements {
    state: Arc<RouterState>,
    summary_sender: SummarySender,
    next_load: Time,
}

impl RelayAnnouncements {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            summary_sender: SummarySender::new(state.clone()),
            state,
            next_load: Time::ZERO,
        }
    }

    fn flush(&mut self) {
        let now = self.state.now();
        let is_load_due = now >= self.next_load;
        if is_load_due {
            self.next_load = now + LOAD_INTERVAL;
        }
        let batch = self.collect(now, is_load_due);
        let peers = self.state.peers.all();
        let centre = &self.state.settings.centre;
        for peer in peers.iter().filter(|p| p.centre == *centre) {
            send_to_first(&self.state, vec![peer.clone()], batch.clone());
        }
        self.summary_sender.send_due(now, &peers);
    }

    /// Takes the pending updates for the routers of the data centre, with the loads
    /// only if they are due.
    fn collect(&self, now: Time, is_load_due: bool) -> UpstreamBatch {
        let mut outbox = self.state.outbox.lock();
        let changed = std::mem::take(&mut outbox.changed);
        let summaries = std::mem::take(&mut outbox.summaries);
        outbox
            .own
            .retain(|_, upstream| now.since(upstream.last_heard) < RELAY_PERIOD);
        let registry = self.state.registry.lock();
        let own = outbox.own.iter_mut();
        let own = own.filter(|(name, _)| is_load_due && !changed.contains(*name));
        let loads: Vec<LoadDelta> = own
            .filter_map(|(name, upstream)| {
                let active = std::mem::take(&mut upstream.active);
                registry.load_delta(name, &active)
            })
            .collect();
        let states = changed
            .iter()
            .filter_map(|name| registry.relayed_state(name));
        UpstreamBatch {
            source: self.state.source(),
            states: states.map(with_min_lifetime).collect(),
            loads,
            summaries,
            spread: false,
        }
    }
}

/// Sends a batch to the first of the routers that accepts it.
pub(super) fn send_to_first(
    state: &Arc<RouterState>,
    routers: Vec<PeerLink>,
    batch: UpstreamBatch,
) {
    if batch.states.is_empty() && batch.loads.is_empty() && batch.summaries.is_empty() {
        return;
    }
    let state = state.clone();
    spawn(async move {
        for peer in routers {
            if send_batch(&state, &peer, batch.clone()).await {
                return;
            }
        }
    })
    .detach();
}

/// Sends a batch, followed by full states and summaries where the receiver
/// reports them missing. A lost batch is repaired after the next one, because the
/// receiver does not know its indexes or serial numbers.
async fn send_batch(state: &RouterState, peer: &PeerLink, batch: UpstreamBatch) -> bool {
    let spread = batch.spread;
    let Some(missing) = call_exchange(peer, batch).await else {
        return false;
    };
    if missing.is_empty() {
        return true;
    }
    let full_batch = state.full_batch(&missing, spread);
    call_exchange(peer, full_batch).await.is_some()
}

/// Extends the lifetime of a relayed announcement to cover the time until the
/// next relayed load, even if one batch is lost.
fn with_min_lifetime(mut relayed: RelayedState) -> RelayedState {
    relayed.state.lifetime = relayed.state.lifetime.max(MIN_LIFETIME_MS);
    relayed
}

async fn call_exchange(peer: &PeerLink, batch: UpstreamBatch) -> Option<ExchangeReply> {
    let call = peer.stub.call(CALL_TIMEOUT, |client, context| async move {
        client.exchange(context, batch).await
    });
    match call.await {
        Ok(missing) => Some(missing),
        Err(error) => {
            log::debug!(target: "relay", "Failed to send a batch of upstream updates: {error}.");
            None
        }
    }
}

impl RouterState {
    /// Returns a batch with the full states and summaries that another router is
    /// missing.
    fn full_batch(&self, missing: &ExchangeReply, spread: bool) -> UpstreamBatch {
        let registry = self.registry.lock();
        let states = missing.indexes.iter();
        let states = states.filter_map(|index| registry.relayed_by_index(*index));
        let summaries = missing.centres.iter();
        let summaries = summaries.filter_map(|centre| {
            if *centre == self.settings.centre {
                return Some(self.publisher.lock().full_summary());
            }
            registry.summary(centre)
        });
        UpstreamBatch {
            source: self.source(),
            states: states.map(with_min_lifetime).collect(),
            loads: Vec::new(),
            summaries: summaries.collect(),
            spread,
        }
    }
}

impl Controller for RelayAnnouncements {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn run(mut self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                self.flush();
            }
        })
    }
}

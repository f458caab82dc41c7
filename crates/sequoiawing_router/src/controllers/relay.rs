use crate::{Controller, RouterState, controllers::summarise::Speaker, peers::PeerLink};
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

/// How long changes are collected before they are sent on together.
const INTERVAL: Duration = Duration::from_millis(100);

/// How often loads are sent to the routers of the data centre.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time that an upstream counts as alive on the other routers of
/// the data centre after its last relayed load, in milliseconds.
const LOCAL_LIFETIME: u64 = 2_500;

/// How long a router goes on relaying an upstream that announces itself to it
/// no more.
const OWN_LIFETIME: Duration = Duration::from_secs(20);

/// How long a batch may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// What the other routers have not been told yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Upstreams that said something new.
    changed: BTreeSet<Name>,
    /// Upstreams that announced themselves to this router lately.
    own: BTreeMap<Name, Heard>,
    /// Summaries of other data centres to pass on in this one.
    spread: Vec<Summary>,
}

/// When an upstream announced itself last, and what it said to be active since
/// its load was relayed.
#[derive(Debug)]
struct Heard {
    at: Time,
    active: BTreeSet<Name>,
}

impl Outbox {
    /// Notes that an upstream is gone.
    pub(crate) fn lose(&mut self, upstream: &Name) {
        self.own.remove(upstream);
    }

    /// Notes that an upstream announced itself.
    pub(crate) fn hear(&mut self, at: Time, name: Name, active: Vec<Name>, is_changed: bool) {
        if is_changed {
            self.changed.insert(name.clone());
        }
        let unheard = || Heard {
            at,
            active: BTreeSet::new(),
        };
        let heard = self.own.entry(name).or_insert_with(unheard);
        heard.at = at;
        heard.active.extend(active);
    }

    /// Notes a summary of another data centre that the routers here need too.
    pub(crate) fn pass(&mut self, summary: Summary) {
        self.spread.push(summary);
    }
}

/// Tells the other routers of the data centre what upstreams announced to this
/// one, and, where this router speaks for its data centre, the other data
/// centres what is loaded where.
///
/// Here changes go to all at once, and loads in between.
pub(crate) struct RelayAnnouncements {
    state: Arc<RouterState>,
    speaker: Speaker,
    next_load: Time,
}

impl RelayAnnouncements {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            speaker: Speaker::new(state.clone()),
            state,
            next_load: Time::ZERO,
        }
    }

    fn flush(&mut self) {
        let now = self.state.now();
        let load_due = now >= self.next_load;
        if load_due {
            self.next_load = now + LOAD_INTERVAL;
        }
        let batch = self.collect(now, load_due);
        let peers = self.state.peers.all();
        let centre = &self.state.settings.centre;
        for peer in peers.iter().filter(|p| p.centre == *centre) {
            send(&self.state, vec![peer.clone()], batch.clone());
        }
        self.speaker.speak(now, &peers);
    }

    /// Takes what is to be sent in the data centre; the loads only when they
    /// are due.
    fn collect(&self, now: Time, load_due: bool) -> UpstreamBatch {
        let mut outbox = self.state.outbox.lock();
        let changed = std::mem::take(&mut outbox.changed);
        let summaries = std::mem::take(&mut outbox.spread);
        outbox
            .own
            .retain(|_, heard| now.since(heard.at) < OWN_LIFETIME);
        let registry = self.state.registry.lock();
        let own = outbox.own.iter_mut();
        let own = own.filter(|(name, _)| load_due && !changed.contains(*name));
        let loads: Vec<LoadDelta> = own
            .filter_map(|(name, heard)| {
                let active = std::mem::take(&mut heard.active);
                registry.load_delta(name, &active)
            })
            .collect();
        let states = changed
            .iter()
            .filter_map(|name| registry.relayed_state(name));
        UpstreamBatch {
            source: self.state.source(),
            states: states.map(extended).collect(),
            loads,
            summaries,
            spread: false,
        }
    }
}

/// Sends a batch to the first of the routers that takes it.
pub(super) fn send(state: &Arc<RouterState>, routers: Vec<PeerLink>, batch: UpstreamBatch) {
    if batch.states.is_empty() && batch.loads.is_empty() && batch.summaries.is_empty() {
        return;
    }
    let state = state.clone();
    spawn(async move {
        for peer in routers {
            if deliver(&state, &peer, batch.clone()).await {
                return;
            }
        }
    })
    .detach();
}

/// Sends a batch, and whole what the receiver could not use. A lost batch is
/// made good by the next one, whose indexes or serials the receiver does not
/// know.
async fn deliver(state: &RouterState, peer: &PeerLink, batch: UpstreamBatch) -> bool {
    let spread = batch.spread;
    let Some(missing) = exchange(peer, batch).await else {
        return false;
    };
    if missing.is_empty() {
        return true;
    }
    let whole = state.whole(&missing, spread);
    exchange(peer, whole).await.is_some()
}

/// Has a relayed announcement hold at least until the next relayed loads can
/// have come, also when one batch is lost.
fn extended(mut relayed: RelayedState) -> RelayedState {
    relayed.state.lifetime = relayed.state.lifetime.max(LOCAL_LIFETIME);
    relayed
}

async fn exchange(peer: &PeerLink, batch: UpstreamBatch) -> Option<ExchangeReply> {
    let call = peer.stub.call(CALL_LIMIT, |client, context| async move {
        client.exchange(context, batch).await
    });
    match call.await {
        Ok(missing) => Some(missing),
        Err(error) => {
            log::debug!(target: "relay", "A batch was not delivered: {error}.");
            None
        }
    }
}

impl RouterState {
    /// Returns a batch with what another router asked to be sent whole.
    fn whole(&self, missing: &ExchangeReply, spread: bool) -> UpstreamBatch {
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
            states: states.map(extended).collect(),
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

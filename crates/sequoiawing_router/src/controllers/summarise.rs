use crate::{
    RouterState,
    controllers::{follow::rotated, relay::send},
    peers::PeerLink,
};
use sequoiawing_fleet::{Rank, Summary};
use sequoiawing_link::UpstreamBatch;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How often the other data centres are told that this one is reachable, when
/// nothing changes.
pub const REMOTE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a router of the data centre counts as alive after it was heard.
const ALIVE: Duration = Duration::from_secs(3);

/// Tells the other data centres what is loaded where, if this router speaks for
/// its data centre.
///
/// The cell's leader does, or while there is none the first router by name of
/// those that are heard. Two that speak at once do no harm: the receivers go by
/// their [`Rank`].
pub(super) struct Speaker {
    state: Arc<RouterState>,
    rank: Option<Rank>,
    changes: u64,
    next: Time,
}

impl Speaker {
    pub(super) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            rank: None,
            changes: 0,
            next: Time::ZERO,
        }
    }

    /// Sends what changed to one router of every other data centre.
    pub(super) fn speak(&mut self, now: Time, peers: &[PeerLink]) {
        let centres = by_remote_centre(peers, &self.state.settings.centre);
        let rank = self.state.speaks(now);
        let Some(summary) = rank.and_then(|rank| self.summary(now, rank)) else {
            self.rank = rank;
            return;
        };
        self.rank = rank;
        for routers in centres {
            let batch = UpstreamBatch {
                source: self.state.source(),
                summaries: vec![summary.clone()],
                spread: true,
                ..UpstreamBatch::default()
            };
            send(&self.state, self.in_turn(&routers), batch);
        }
    }

    /// Returns what there is to tell, if anything.
    fn summary(&mut self, now: Time, rank: Rank) -> Option<Summary> {
        let registry = self.state.registry.lock();
        let is_changed = registry.change_count() != self.changes || self.rank != Some(rank);
        if !is_changed && now < self.next {
            return None;
        }
        self.changes = registry.change_count();
        let states = registry.local().map(Arc::as_ref);
        let summary = self.state.publisher.lock().publish(rank, states);
        if summary.base == Some(summary.serial) && now < self.next {
            return None;
        }
        self.next = now + REMOTE_INTERVAL;
        Some(summary)
    }

    /// Begins at another router for each data centre that sends, so that what
    /// is passed on there does not burden one alone.
    fn in_turn(&self, routers: &[PeerLink]) -> Vec<PeerLink> {
        let turn = rotated(routers.len(), &self.state.settings.centre);
        turn.into_iter().map(|i| routers[i].clone()).collect()
    }
}

/// Groups the routers of the other data centres, each by name.
fn by_remote_centre(peers: &[PeerLink], own: &Name) -> Vec<Vec<PeerLink>> {
    let mut centres: BTreeMap<Name, Vec<PeerLink>> = BTreeMap::new();
    for peer in peers.iter().filter(|p| p.centre != *own) {
        centres
            .entry(peer.centre.clone())
            .or_default()
            .push(peer.clone());
    }
    centres.into_values().collect()
}

impl RouterState {
    /// Returns the rank in which this router speaks for its data centre, if it
    /// does.
    fn speaks(&self, now: Time) -> Option<Rank> {
        let start = self.start;
        if let Some(lease) = self.lease() {
            let term = lease.term;
            return Some(Rank { term, start });
        }
        if self.leader.read().is_some() {
            return None;
        }
        let heard = self.heard.lock();
        let mut alive = heard.iter().filter(|(_, at)| now.since(**at) < ALIVE);
        let is_first = alive.all(|(host, _)| *host > self.settings.host);
        is_first.then_some(Rank { term: 0, start })
    }
}

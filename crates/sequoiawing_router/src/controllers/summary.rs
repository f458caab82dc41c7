use crate::{
    RouterState,
    controllers::{follow::rotated_indexes, relay::send_to_first},
    peers::PeerLink,
};
use sequoiawing_fleet::{Rank, Summary};
use sequoiawing_link::UpstreamBatch;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How often a summary is sent to the other data centres when nothing changes,
/// which shows that this one is reachable.
pub const REMOTE_INTERVAL: Duration = Duration::from_secs(2);

/// How long a router of the data centre counts as alive after its last batch.
const PEER_LIFETIME: Duration = Duration::from_secs(3);

/// Sends summaries of the loaded models to the other data centres, if this router
/// represents its data centre.
///
/// The cell leader does so; without a leader, it is the first router by name of
/// those that are alive. Two routers may send at the same time, since receivers
/// order the summaries by [`Rank`].
pub(super) struct SummarySender {
    state: Arc<RouterState>,
    rank: Option<Rank>,
    change_count: u64,
    next_send: Time,
}

impl SummarySender {
    pub(super) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            rank: None,
            change_count: 0,
            next_send: Time::ZERO,
        }
    }

    /// Sends the summary that is due, if any, to one router of every other data
    /// centre.
    pub(super) fn send_due(&mut self, now: Time, peers: &[PeerLink]) {
        let centres = group_by_remote_centre(peers, &self.state.settings.centre);
        let rank = self.state.summary_rank(now);
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
            send_to_first(&self.state, self.rotated(&routers), batch);
        }
    }

    /// Returns the summary that is due, if any.
    fn summary(&mut self, now: Time, rank: Rank) -> Option<Summary> {
        let registry = self.state.registry.lock();
        let is_changed = registry.change_count() != self.change_count || self.rank != Some(rank);
        if !is_changed && now < self.next_send {
            return None;
        }
        self.change_count = registry.change_count();
        let states = registry.local().map(Arc::as_ref);
        let summary = self.state.publisher.lock().publish(rank, states);
        if summary.base == Some(summary.serial) && now < self.next_send {
            return None;
        }
        self.next_send = now + REMOTE_INTERVAL;
        Some(summary)
    }

    /// Returns the routers in an order that depends on this data centre, so that
    /// the forwarding of summaries there is spread over several routers.
    fn rotated(&self, routers: &[PeerLink]) -> Vec<PeerLink> {
        let indexes = rotated_indexes(routers.len(), &self.state.settings.centre);
        indexes.into_iter().map(|i| routers[i].clone()).collect()
    }
}

/// Groups the routers of the other data centres by data centre, in order of its
/// name.
fn group_by_remote_centre(peers: &[PeerLink], own: &Name) -> Vec<Vec<PeerLink>> {
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
    /// Returns the rank of this router's summaries if it represents its data
    /// centre.
    fn summary_rank(&self, now: Time) -> Option<Rank> {
        let start = self.start;
        if let Some(lease) = self.lease() {
            let term = lease.term;
            return Some(Rank { term, start });
        }
        if self.leader.read().is_some() {
            return None;
        }
        let last_heard = self.peers_heard.lock();
        let mut alive = last_heard
            .iter()
            .filter(|(_, at)| now.since(**at) < PEER_LIFETIME);
        let is_first = alive.all(|(host, _)| *host > self.settings.host);
        is_first.then_some(Rank { term: 0, start })
    }
}

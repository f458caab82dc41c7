//! Applies updates about upstreams, which come from the upstreams themselves and
//! from other routers.

use crate::RouterState;
use sequoiawing_fleet::{Renewal, Source, Summary, UpdateOutcome, UpstreamState};
use sequoiawing_link::{ExchangeReply, UpstreamBatch};
use sequoiawing_types::{Name, Time};

impl RouterState {
    /// Returns the source identifier of this run of the router, which it puts on
    /// its batches for other routers.
    pub(crate) fn source(&self) -> Source {
        Source {
            host: self.settings.host.clone(),
            start: self.start,
        }
    }

    /// Applies an announcement that an upstream sent to this router.
    pub(crate) fn announce(&self, mut state: UpstreamState) {
        let now = self.now();
        state.leaving |= self.tables.get().drained.contains(&state.name);
        let name = state.name.clone();
        let active = state.active.clone();
        let outcome = self.registry.lock().announce(now, state);
        if matches!(outcome, UpdateOutcome::Stale | UpdateOutcome::Unknown) {
            return;
        }
        let is_changed = outcome == UpdateOutcome::Changed;
        let mut outbox = self.outbox.lock();
        outbox.record(now, name.clone(), active, is_changed);
        drop(outbox);
        self.notify_shard(&name);
    }

    /// Applies a renewal that an upstream sent to this router, and returns whether
    /// it was sufficient.
    ///
    /// An upstream that is leaving or being drained has to send a full
    /// announcement instead.
    pub(crate) fn renew(&self, renewal: &Renewal) -> bool {
        let now = self.now();
        let name = &renewal.name;
        let outcome = {
            let mut registry = self.registry.lock();
            let is_leaving = registry.get(name).is_some_and(|s| s.leaving);
            if is_leaving || self.tables.get().drained.contains(name) {
                return false;
            }
            registry.renew(now, renewal)
        };
        if outcome == UpdateOutcome::LoadOnly {
            let mut outbox = self.outbox.lock();
            outbox.record(now, name.clone(), renewal.active.clone(), false);
            drop(outbox);
            self.notify_shard(name);
        }
        outcome != UpdateOutcome::Unknown
    }

    /// Applies a batch from another router and returns the states and summaries that
    /// must be sent in full.
    pub(crate) fn apply_batch(&self, batch: UpstreamBatch) -> ExchangeReply {
        let now = self.now();
        let mut missing = ExchangeReply::default();
        if !batch.spread {
            self.peers_heard
                .lock()
                .insert(batch.source.host.clone(), now);
        }
        let mut changed = Vec::new();
        {
            let mut registry = self.registry.lock();
            for relayed in batch.states {
                let name = relayed.state.name.clone();
                if registry.apply_relayed(now, &batch.source, relayed) == UpdateOutcome::Changed {
                    changed.push(name);
                }
            }
            for load in &batch.loads {
                match registry.apply_delta(now, &batch.source, load) {
                    Some(name) => changed.push(name),
                    None => missing.indexes.push(load.index),
                }
            }
        }
        for name in changed {
            self.notify_shard(&name);
        }
        for summary in &batch.summaries {
            if !self.apply_summary(now, summary, batch.spread) {
                missing.centres.push(summary.centre.clone());
            }
        }
        missing
    }

    /// Applies a summary and returns whether its base was known.
    fn apply_summary(&self, now: Time, summary: &Summary, spread: bool) -> bool {
        if summary.centre == self.settings.centre {
            return true;
        }
        let update = self.registry.lock().apply_summary(now, summary);
        for name in update.removed {
            self.remove_upstream(&name);
        }
        for name in update.changed {
            self.notify_shard(&name);
        }
        if let Some(summary) = update.forward.filter(|_| spread) {
            self.outbox.lock().forward(summary);
        }
        update.outcome != UpdateOutcome::Unknown
    }

    /// Removes an upstream from the dispatchers unless the registry still has it.
    pub(crate) fn remove_upstream(&self, upstream: &Name) {
        if self.registry.lock().get(upstream).is_some() {
            return;
        }
        for shard in self.all_shards() {
            shard.remove(upstream.clone());
        }
    }

    fn notify_shard(&self, name: &Name) {
        let state = self.registry.lock().get(name).cloned();
        if let Some(state) = state {
            self.shard(&state.pool).announce(state);
        }
    }
}

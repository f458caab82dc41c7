//! What a router learns of upstreams, from themselves and from other routers.

use crate::RouterState;
use sequoiawing_fleet::{Renewal, Source, Summary, UpdateOutcome, UpstreamState};
use sequoiawing_link::{ExchangeReply, UpstreamBatch};
use sequoiawing_types::{Name, Time};

impl RouterState {
    /// Returns how other routers know this life of the router.
    pub(crate) fn source(&self) -> Source {
        Source {
            host: self.settings.host.clone(),
            start: self.start,
        }
    }

    /// Takes in an announcement of an upstream itself.
    pub(crate) fn announce(&self, mut state: UpstreamState) {
        let now = self.now();
        state.leaving |= self.tables.get().drained.contains(&state.name);
        let name = state.name.clone();
        let active = state.active.clone();
        let applied = self.registry.lock().announce(now, state);
        if matches!(applied, UpdateOutcome::Stale | UpdateOutcome::Unknown) {
            return;
        }
        let is_changed = applied == UpdateOutcome::Changed;
        let mut outbox = self.outbox.lock();
        outbox.hear(now, name.clone(), active, is_changed);
        drop(outbox);
        self.tell_shard(&name);
    }

    /// Takes in a renewal of an upstream itself, and reports whether that is
    /// enough.
    ///
    /// One that leaves, or that an operator drains, is to say all of itself.
    pub(crate) fn renew(&self, renewal: &Renewal) -> bool {
        let now = self.now();
        let name = &renewal.name;
        let applied = {
            let mut registry = self.registry.lock();
            let is_leaving = registry.get(name).is_some_and(|s| s.leaving);
            if is_leaving || self.tables.get().drained.contains(name) {
                return false;
            }
            registry.renew(now, renewal)
        };
        if applied == UpdateOutcome::LoadOnly {
            let mut outbox = self.outbox.lock();
            outbox.hear(now, name.clone(), renewal.active.clone(), false);
            drop(outbox);
            self.tell_shard(name);
        }
        applied != UpdateOutcome::Unknown
    }

    /// Takes in a batch of another router and returns what must be known whole.
    pub(crate) fn take_batch(&self, batch: UpstreamBatch) -> ExchangeReply {
        let now = self.now();
        let mut missing = ExchangeReply::default();
        if !batch.spread {
            self.heard.lock().insert(batch.source.host.clone(), now);
        }
        let mut fresh = Vec::new();
        {
            let mut registry = self.registry.lock();
            for relayed in batch.states {
                let name = relayed.state.name.clone();
                if registry.apply_relayed(now, &batch.source, relayed) == UpdateOutcome::Changed {
                    fresh.push(name);
                }
            }
            for load in &batch.loads {
                match registry.apply_delta(now, &batch.source, load) {
                    Some(name) => fresh.push(name),
                    None => missing.indexes.push(load.index),
                }
            }
        }
        for name in fresh {
            self.tell_shard(&name);
        }
        for summary in &batch.summaries {
            if !self.absorb(now, summary, batch.spread) {
                missing.centres.push(summary.centre.clone());
            }
        }
        missing
    }

    /// Takes in a summary and reports whether it could be used.
    fn absorb(&self, now: Time, summary: &Summary, spread: bool) -> bool {
        if summary.centre == self.settings.centre {
            return true;
        }
        let absorbed = self.registry.lock().apply_summary(now, summary);
        for name in absorbed.removed {
            self.forget(&name);
        }
        for name in absorbed.changed {
            self.tell_shard(&name);
        }
        if let Some(summary) = absorbed.forward.filter(|_| spread) {
            self.outbox.lock().pass(summary);
        }
        absorbed.outcome != UpdateOutcome::Unknown
    }

    /// Has the dispatchers forget an upstream that is gone.
    pub(crate) fn forget(&self, upstream: &Name) {
        if self.registry.lock().get(upstream).is_some() {
            return;
        }
        for shard in self.all_shards() {
            shard.remove(upstream.clone());
        }
    }

    fn tell_shard(&self, name: &Name) {
        let state = self.registry.lock().get(name).cloned();
        if let Some(state) = state {
            self.shard(&state.pool).announce(state);
        }
    }
}

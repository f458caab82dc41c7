use sequoiawing_fleet::{
    LoadDelta, Publisher, Rank, Registry, RelayedState, Renewal, Source, Summary, UpdateOutcome,
    UpstreamState,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// How long a router relays an upstream after its last announcement to this
/// router.
const RELAY_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which a data centre confirms its summary.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Default)]
pub(crate) struct Batch {
    pub(crate) source: Source,
    pub(crate) states: Vec<RelayedState>,
    pub(crate) loads: Vec<LoadDelta>,
    pub(crate) summaries: Vec<Summary>,
    pub(crate) spread: bool,
}

#[derive(Clone)]
pub(crate) struct Message {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) batch: Batch,
}

/// The states and summaries that a router lacks.
#[derive(Default)]
pub(crate) struct Missing {
    indexes: Vec<u64>,
    centres: Vec<Name>,
}

/// A router with its registry, without I/O.
pub(crate) struct Router {
    pub(crate) source: Source,
    pub(crate) registry: Registry,
    publisher: Publisher,
    confirmed: Time,
    announced_here: BTreeMap<Name, Time>,
    changed: BTreeSet<Name>,
    forward: Vec<Summary>,
}

impl Router {
    pub(crate) fn new(index: usize, north: bool, start: u64) -> Self {
        let centre = Name::from(if north { "north" } else { "south" });
        let host = Name::from(format!("entry-{index}"));
        Self {
            source: Source { host, start },
            registry: Registry::default(),
            publisher: Publisher::new(centre),
            confirmed: Time::ZERO,
            announced_here: BTreeMap::new(),
            changed: BTreeSet::new(),
            forward: Vec::new(),
        }
    }

    pub(crate) fn announce(&mut self, now: Time, state: UpstreamState) {
        let name = state.name.clone();
        let outcome = self.registry.announce(now, state);
        if outcome == UpdateOutcome::Changed {
            self.changed.insert(name.clone());
        }
        if outcome != UpdateOutcome::Stale {
            self.announced_here.insert(name, now);
        }
    }

    /// Applies a renewal; reports whether no full announcement is needed.
    pub(crate) fn renew(&mut self, now: Time, renewal: &Renewal) -> bool {
        let outcome = self.registry.renew(now, renewal);
        if outcome == UpdateOutcome::LoadOnly {
            self.announced_here.insert(renewal.name.clone(), now);
        }
        outcome != UpdateOutcome::Unknown
    }

    /// Returns the batch for the routers of this data centre, and the summary for
    /// the other data centre if one is due.
    pub(crate) fn collect(&mut self, now: Time, rank: Option<Rank>) -> (Batch, Option<Summary>) {
        self.announced_here
            .retain(|_, at| now.since(*at) < RELAY_TIMEOUT);
        let changed = std::mem::take(&mut self.changed);
        let states = changed
            .iter()
            .filter_map(|n| self.registry.relayed_state(n));
        let own = self.announced_here.keys().filter(|n| !changed.contains(*n));
        let active = |n: &Name| {
            self.registry
                .get(n)
                .map(|s| s.active.iter().cloned().collect())
        };
        let loads = own.filter_map(|n| self.registry.load_delta(n, &active(n)?));
        let batch = Batch {
            source: self.source.clone(),
            states: states.collect(),
            loads: loads.collect(),
            summaries: std::mem::take(&mut self.forward),
            spread: false,
        };
        let summary = rank.map(|rank| {
            self.publisher
                .publish(rank, self.registry.local().map(Arc::as_ref))
        });
        let is_due =
            |s: &Summary| s.base != Some(s.serial) || now.since(self.confirmed) >= CONFIRM_INTERVAL;
        let summary = summary.filter(is_due);
        if summary.is_some() {
            self.confirmed = now;
        }
        (batch, summary)
    }

    pub(crate) fn handle_batch(&mut self, now: Time, batch: Batch) -> Missing {
        let mut missing = Missing::default();
        for relayed in batch.states {
            self.registry.apply_relayed(now, &batch.source, relayed);
        }
        for load in &batch.loads {
            if self
                .registry
                .apply_delta(now, &batch.source, load)
                .is_none()
            {
                missing.indexes.push(load.index);
            }
        }
        for summary in &batch.summaries {
            let update = self.registry.apply_summary(now, summary);
            if update.outcome == UpdateOutcome::Unknown {
                missing.centres.push(summary.centre.clone());
            }
            self.forward.extend(update.forward.filter(|_| batch.spread));
        }
        missing
    }

    /// Returns the states and summaries that another router lacks.
    pub(crate) fn missing_states(&self, missing: &Missing, spread: bool) -> Option<Batch> {
        if missing.indexes.is_empty() && missing.centres.is_empty() {
            return None;
        }
        let indexes = missing.indexes.iter();
        let states = indexes.filter_map(|i| self.registry.relayed_by_index(*i));
        let full_summary = |centre: &Name| {
            let is_north = centre.as_str() == "north";
            let own = (is_north && spread).then(|| self.publisher.full_summary());
            own.or_else(|| self.registry.summary(centre))
        };
        Some(Batch {
            source: self.source.clone(),
            states: states.collect(),
            loads: Vec::new(),
            summaries: missing.centres.iter().filter_map(full_summary).collect(),
            spread,
        })
    }
}

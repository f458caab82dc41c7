use crate::{
    LoadDelta, RelayedState, Renewal, Source, Summary, SummaryUpdate, UpstreamState,
    bindings::{Bindings, Version},
    name_interner::NameInterner,
    remote_centres::RemoteCentres,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// The minimum lifetime of an announcement.
const MIN_LIFETIME: Duration = Duration::from_millis(100);

/// The result of applying an announcement or another update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// It was newer and changed the known state.
    Changed,
    /// It was newer and differs from the known state only in the load.
    LoadOnly,
    /// It was not newer than the known state, and was ignored.
    Stale,
    /// The state that it builds on is unknown or has another version; the full
    /// state must be requested.
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    state: Arc<UpstreamState>,
    /// The sequence number of the last announcement that changed more than the
    /// load.
    version: u64,
    /// The index of the version in this router's load deltas.
    index: u64,
    expiry: Time,
}

/// The latest announcement of each live upstream of the data centre, and the
/// upstreams of other data centres.
///
/// An announcement replaces those of earlier epochs and those of the same epoch
/// with a lower sequence number. Epochs grow with each start of an upstream, so
/// that late announcements from before a restart are dropped.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Name, Entry>,
    bindings: Bindings,
    remote: RemoteCentres,
    names: NameInterner,
    last_index: u64,
    change_count: u64,
    /// The upstreams of which more than the load changed since the last call of
    /// [`Registry::take_changes`].
    changed: BTreeSet<Name>,
}

impl Registry {
    /// Applies an announcement received from the upstream itself.
    pub fn announce(&mut self, now: Time, state: UpstreamState) -> UpdateOutcome {
        let known = self.entries.get(&state.name);
        let same = known.filter(|e| e.state.differs_in_load_only(&state));
        let version = same.map_or(state.sequence, |e| e.version);
        let outcome = if same.is_some() {
            UpdateOutcome::LoadOnly
        } else {
            UpdateOutcome::Changed
        };
        self.insert(now, state, version, outcome)
    }

    /// Applies a renewal received from the upstream itself; returns
    /// [`UpdateOutcome::Unknown`] if it must send a full announcement.
    ///
    /// The known state includes the last full announcement if that one, or any
    /// later message, was received directly or through another router.
    pub fn renew(&mut self, now: Time, renewal: &Renewal) -> UpdateOutcome {
        let known = self.entries.get_mut(&renewal.name);
        let Some(entry) = known.filter(|e| e.state.epoch == renewal.epoch) else {
            return UpdateOutcome::Unknown;
        };
        if entry.state.sequence < renewal.base {
            return UpdateOutcome::Unknown;
        }
        if entry.version > renewal.base || entry.state.sequence >= renewal.sequence {
            return UpdateOutcome::Stale;
        }
        let state = Arc::make_mut(&mut entry.state);
        state.sequence = renewal.sequence;
        state.running = renewal.running;
        state.active = renewal
            .active
            .iter()
            .map(|n| self.names.intern(n))
            .collect();
        entry.expiry = now + lifetime(state.lifetime);
        UpdateOutcome::LoadOnly
    }

    /// Applies an announcement relayed by another router of the data centre.
    ///
    /// Its sequence number is the version that the router's index refers to.
    pub fn apply_relayed(
        &mut self,
        now: Time,
        source: &Source,
        relayed: RelayedState,
    ) -> UpdateOutcome {
        let RelayedState { index, state } = relayed;
        let version = state.sequence;
        let bound = Version {
            name: state.name.clone(),
            epoch: state.epoch,
            sequence: version,
        };
        self.bindings.bind(source, index, bound);
        self.insert(now, state, version, UpdateOutcome::Changed)
    }

    fn insert(
        &mut self,
        now: Time,
        mut state: UpstreamState,
        version: u64,
        outcome: UpdateOutcome,
    ) -> UpdateOutcome {
        let known = self.entries.get(&state.name);
        if known.is_some_and(|e| e.state.version() >= state.version()) {
            return UpdateOutcome::Stale;
        }
        let expiry = now + lifetime(state.lifetime);
        let index = match known {
            Some(entry) if outcome == UpdateOutcome::LoadOnly => entry.index,
            _ => self.next_index(),
        };
        self.names.compact(&mut state);
        let name = state.name.clone();
        if outcome == UpdateOutcome::Changed {
            self.changed.insert(name.clone());
        }
        let entry = Entry {
            state: Arc::new(state),
            version,
            index,
            expiry,
        };
        self.entries.insert(name, entry);
        outcome
    }

    fn next_index(&mut self) -> u64 {
        self.change_count += 1;
        self.last_index += 1;
        self.last_index
    }

    /// Returns a counter that grows with each change of more than the load of an
    /// upstream of the data centre.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Applies the load of a known upstream and returns the upstream's name;
    /// `None` if its full state must be requested.
    pub fn apply_delta(&mut self, now: Time, source: &Source, delta: &LoadDelta) -> Option<Name> {
        let bound = self.bindings.resolve(source, delta.index)?;
        let entry = self.entries.get_mut(&bound.name)?;
        if entry.state.epoch != bound.epoch || entry.version != bound.sequence {
            return None;
        }
        if entry.state.sequence < delta.sequence {
            let state = Arc::make_mut(&mut entry.state);
            state.sequence = delta.sequence;
            state.running = delta.running;
            state.active = state.loaded_at(&delta.active);
            entry.expiry = now + lifetime(entry.state.lifetime);
        }
        Some(bound.name.clone())
    }

    /// Returns the load of an upstream for routers that know the rest.
    ///
    /// `active` are the models and adapters that were active since the last
    /// delta.
    pub fn load_delta(&self, name: &Name, active: &BTreeSet<Name>) -> Option<LoadDelta> {
        let entry = self.entries.get(name)?;
        Some(LoadDelta {
            index: entry.index,
            sequence: entry.state.sequence,
            running: entry.state.running,
            active: entry.state.loaded_positions(active),
        })
    }

    /// Returns an upstream's state for another router of the data centre, which
    /// passes it to [`apply_relayed`].
    ///
    /// [`apply_relayed`]: Self::apply_relayed
    pub fn relayed_state(&self, name: &Name) -> Option<RelayedState> {
        self.entries.get(name).map(Entry::relayed_state)
    }

    /// Returns the state with an index of this router, if the index is current.
    pub fn relayed_by_index(&self, index: u64) -> Option<RelayedState> {
        let found = self.entries.values().find(|e| e.index == index);
        found.map(Entry::relayed_state)
    }

    /// Applies a summary of another data centre.
    pub fn apply_summary(&mut self, now: Time, summary: &Summary) -> SummaryUpdate {
        let update = self.remote.apply(now, summary, &mut self.names);
        self.changed.extend(update.changed.iter().cloned());
        self.changed.extend(update.removed.iter().cloned());
        update
    }

    /// Returns the upstreams of which more than the load changed since the last
    /// call, each with its current state, or `None` if it was removed.
    pub fn take_changes(&mut self) -> Vec<(Name, Option<Arc<UpstreamState>>)> {
        let changed = std::mem::take(&mut self.changed).into_iter();
        changed
            .map(|name| {
                let state = self.get(&name).cloned();
                (name, state)
            })
            .collect()
    }

    /// Returns a full summary of another data centre, if it is known.
    pub fn summary(&self, centre: &Name) -> Option<Summary> {
        self.remote.summary(centre)
    }

    /// Extends the lifetimes of all announcements and summaries by a time in which
    /// this router did not run, so that messages which arrived meanwhile are
    /// processed before their senders count as silent.
    ///
    /// No lifetime is extended beyond that of a message that arrives now.
    pub fn extend(&mut self, now: Time, pause: Duration) {
        for entry in self.entries.values_mut() {
            let latest = now + lifetime(entry.state.lifetime);
            entry.expiry = (entry.expiry + pause).min(latest);
        }
        self.remote.extend(now, pause);
    }

    /// Removes the upstreams whose announcement has expired and those of data
    /// centres that have become unreachable; returns their last states.
    pub fn expire(&mut self, now: Time) -> Vec<Arc<UpstreamState>> {
        let expired = self.entries.extract_if(.., |_, e| e.expiry <= now);
        let mut expired: Vec<Arc<UpstreamState>> = expired.map(|(_, e)| e.state).collect();
        for state in &expired {
            self.change_count += 1;
            self.bindings.remove_upstream(&state.name);
        }
        expired.extend(self.remote.expire(now));
        self.changed.extend(expired.iter().map(|s| s.name.clone()));
        expired
    }

    /// Removes an upstream of the data centre immediately.
    pub fn remove(&mut self, name: &Name) -> Option<Arc<UpstreamState>> {
        self.change_count += 1;
        self.bindings.remove_upstream(name);
        self.changed.insert(name.clone());
        self.entries.remove(name).map(|e| e.state)
    }

    /// Returns the latest known state of an upstream.
    pub fn get(&self, name: &Name) -> Option<&Arc<UpstreamState>> {
        let local = self.entries.get(name).map(|e| &e.state);
        local.or_else(|| self.remote.get(name))
    }

    /// Iterates over the upstreams of this data centre, sorted by name.
    pub fn local(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.entries.values().map(|e| &e.state)
    }

    /// Iterates over all upstreams, those of this data centre first.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.local().chain(self.remote.iter())
    }

    /// Returns the number of live upstreams.
    pub fn len(&self) -> usize {
        self.entries.len() + self.remote.len()
    }

    /// Returns whether there are no live upstreams.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Entry {
    fn relayed_state(&self) -> RelayedState {
        let state = UpstreamState {
            sequence: self.version,
            ..UpstreamState::clone(&self.state)
        };
        let index = self.index;
        RelayedState { index, state }
    }
}

fn lifetime(millis: u64) -> Duration {
    Duration::from_millis(millis).max(MIN_LIFETIME)
}

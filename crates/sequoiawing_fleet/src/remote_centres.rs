use crate::{
    Rank, Summary, SummaryChange, UpdateOutcome, UpstreamState, name_interner::NameInterner,
};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long a data centre counts as reachable after its last accepted summary.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The silence of a data centre's last publisher after which a router of a lower
/// rank is accepted as publisher.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);

/// The state of another data centre, as its summaries report it.
#[derive(Clone, Debug, Default)]
struct RemoteCentre {
    rank: Rank,
    serial: u64,
    last_heard: Time,
    entries: BTreeMap<Name, Arc<UpstreamState>>,
}

/// The result of applying a summary.
#[derive(Clone, Debug, PartialEq)]
pub struct SummaryUpdate {
    /// Whether the summary was new: [`UpdateOutcome::LoadOnly`] if it only
    /// confirms the known state, [`UpdateOutcome::Unknown`] if a full summary
    /// must be requested.
    pub outcome: UpdateOutcome,
    /// The upstreams whose state changed.
    pub changed: Vec<Name>,
    /// The upstreams that were removed.
    pub removed: Vec<Name>,
    /// The summary to forward to the other routers of this data centre if it was
    /// received from another data centre.
    pub forward: Option<Summary>,
}

impl SummaryUpdate {
    fn unchanged(outcome: UpdateOutcome) -> Self {
        Self {
            outcome,
            changed: Vec::new(),
            removed: Vec::new(),
            forward: None,
        }
    }
}

/// The other data centres, as far as this router knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteCentres {
    centres: BTreeMap<Name, RemoteCentre>,
}

impl RemoteCentres {
    pub(crate) fn apply(
        &mut self,
        now: Time,
        summary: &Summary,
        names: &mut NameInterner,
    ) -> SummaryUpdate {
        let Some(remote) = self.centres.get_mut(&summary.centre) else {
            return self.add(now, summary, names);
        };
        if summary.rank != remote.rank {
            let silent = now.since(remote.last_heard) >= TAKEOVER_TIMEOUT;
            return match summary.base {
                _ if summary.rank < remote.rank && !silent => {
                    SummaryUpdate::unchanged(UpdateOutcome::Stale)
                }
                None => remote.replace(now, summary, names),
                Some(_) => SummaryUpdate::unchanged(UpdateOutcome::Unknown),
            };
        }
        if summary.serial < remote.serial {
            return SummaryUpdate::unchanged(UpdateOutcome::Stale);
        }
        if summary.serial == remote.serial {
            remote.last_heard = now;
            return SummaryUpdate {
                forward: Some(summary.confirmation()),
                ..SummaryUpdate::unchanged(UpdateOutcome::LoadOnly)
            };
        }
        match summary.base {
            None => remote.replace(now, summary, names),
            Some(base) if base == remote.serial => remote.apply_changes(now, summary, names),
            Some(_) => SummaryUpdate::unchanged(UpdateOutcome::Unknown),
        }
    }

    fn add(&mut self, now: Time, summary: &Summary, names: &mut NameInterner) -> SummaryUpdate {
        if summary.base.is_some() {
            return SummaryUpdate::unchanged(UpdateOutcome::Unknown);
        }
        let remote = self.centres.entry(summary.centre.clone()).or_default();
        remote.replace(now, summary, names)
    }

    /// Returns a full summary of a data centre.
    pub(crate) fn summary(&self, centre: &Name) -> Option<Summary> {
        let remote = self.centres.get(centre)?;
        let states = remote.entries.values().map(Arc::as_ref);
        let centre = centre.clone();
        Some(Summary::full(centre, remote.rank, remote.serial, states))
    }

    /// Extends the time for which all data centres count as reachable.
    pub(crate) fn extend(&mut self, now: Time, pause: Duration) {
        for remote in self.centres.values_mut() {
            remote.last_heard = (remote.last_heard + pause).min(now);
        }
    }

    /// Removes the data centres that have become unreachable and returns their
    /// upstreams.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Arc<UpstreamState>> {
        let is_silent = |remote: &RemoteCentre| now.since(remote.last_heard) >= REACHABLE_TIMEOUT;
        let silent = self.centres.extract_if(.., |_, r| is_silent(r));
        silent.flat_map(|(_, r)| r.entries.into_values()).collect()
    }

    pub(crate) fn get(&self, name: &Name) -> Option<&Arc<UpstreamState>> {
        self.centres.values().find_map(|r| r.entries.get(name))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        self.centres.values().flat_map(|r| r.entries.values())
    }

    pub(crate) fn len(&self) -> usize {
        self.centres.values().map(|r| r.entries.len()).sum()
    }
}

impl RemoteCentre {
    fn replace(&mut self, now: Time, summary: &Summary, names: &mut NameInterner) -> SummaryUpdate {
        let before = std::mem::take(&mut self.entries);
        self.rank = summary.rank;
        let mut update = self.apply_changes(now, summary, names);
        update
            .changed
            .retain(|name| before.get(name) != self.entries.get(name));
        let removed = before.into_keys().filter(|n| !self.entries.contains_key(n));
        update.removed = removed.collect();
        update.forward = Some(summary.confirmation());
        update
    }

    fn apply_changes(
        &mut self,
        now: Time,
        summary: &Summary,
        names: &mut NameInterner,
    ) -> SummaryUpdate {
        self.last_heard = now;
        self.serial = summary.serial;
        let mut update = SummaryUpdate {
            forward: Some(summary.clone()),
            ..SummaryUpdate::unchanged(UpdateOutcome::Changed)
        };
        for change in &summary.changes {
            self.apply_change(change, names, &mut update);
        }
        update
    }

    fn apply_change(
        &mut self,
        change: &SummaryChange,
        names: &mut NameInterner,
        update: &mut SummaryUpdate,
    ) {
        match change {
            SummaryChange::Put(state) => {
                let mut state = UpstreamState::clone(state);
                names.compact(&mut state);
                update.changed.push(state.name.clone());
                self.entries.insert(state.name.clone(), Arc::new(state));
            }
            SummaryChange::Move { name, gained, lost } => {
                let Some(entry) = self.entries.get_mut(name) else {
                    return;
                };
                let state = Arc::make_mut(entry);
                for (list, item) in lost {
                    list.names_mut(state).retain(|known| known != item);
                }
                for (list, item) in gained {
                    list.names_mut(state).push(names.intern(item));
                }
                update.changed.push(name.clone());
            }
            SummaryChange::Remove(name) => {
                self.entries.remove(name);
                update.removed.push(name.clone());
            }
        }
    }
}

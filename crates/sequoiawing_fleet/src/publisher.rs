use crate::{Rank, StateList, Summary, SummaryChange, UpstreamState};
use sequoiawing_types::Name;
use std::collections::BTreeMap;

/// Computes the summaries that one data centre publishes to the others.
///
/// The router that publishes for its data centre passes in all upstreams there
/// and sends the returned changes.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    centre: Name,
    rank: Rank,
    serial: u64,
    entries: BTreeMap<Name, UpstreamState>,
}

impl Publisher {
    /// Returns a publisher for a data centre that has published nothing yet.
    pub fn new(centre: Name) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// Returns the changes since the last call; a confirmation when nothing
    /// changed.
    ///
    /// `states` are all upstreams of the data centre. A new rank starts with a
    /// full summary.
    pub fn publish<'a, I>(&mut self, rank: Rank, states: I) -> Summary
    where
        I: Iterator<Item = &'a UpstreamState>,
    {
        let next: BTreeMap<Name, UpstreamState> = states
            .map(|state| (state.name.clone(), published_state(state)))
            .collect();
        let changes = changes(&self.entries, &next);
        self.entries = next;
        let base = self.serial;
        if rank != self.rank {
            self.rank = rank;
            self.serial += 1;
            return self.full_summary();
        }
        if !changes.is_empty() {
            self.serial += 1;
        }
        Summary {
            centre: self.centre.clone(),
            rank,
            base: Some(base),
            serial: self.serial,
            changes,
        }
    }

    /// Returns the full summary, for a receiver that missed a change.
    pub fn full_summary(&self) -> Summary {
        let states = self.entries.values();
        Summary::full(self.centre.clone(), self.rank, self.serial, states)
    }
}

/// Returns the part of an upstream's state that other data centres need.
///
/// They neither send it orders nor see its load. Adapters that are being loaded
/// are left out, since they are ready before other data centres learn of them.
fn published_state(state: &UpstreamState) -> UpstreamState {
    let is_model = |name: &&Name| !name.as_str().contains(':');
    UpstreamState {
        name: state.name.clone(),
        pool: state.pool.clone(),
        centre: state.centre.clone(),
        kind: state.kind,
        address: state.address,
        epoch: state.epoch,
        software: state.software.clone(),
        leaving: state.leaving,
        slots: state.slots,
        loaded: state.loaded.clone(),
        adapters: state.adapters.clone(),
        loading: state.loading.iter().filter(is_model).cloned().collect(),
        disk: state.disk.clone(),
        cached: state.cached.clone(),
        ..UpstreamState::default()
    }
}

fn changes(
    before: &BTreeMap<Name, UpstreamState>,
    after: &BTreeMap<Name, UpstreamState>,
) -> Vec<SummaryChange> {
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    let removed = removed.cloned().map(SummaryChange::Remove);
    let put = after
        .values()
        .filter_map(|state| match before.get(&state.name) {
            Some(previous) if previous == state => None,
            Some(previous) => Some(change(previous, state)),
            None => Some(SummaryChange::put(state)),
        });
    removed.chain(put).collect()
}

/// Returns the change between two published states of one upstream.
fn change(before: &UpstreamState, after: &UpstreamState) -> SummaryChange {
    if without_lists(before) != without_lists(after) {
        return SummaryChange::put(after);
    }
    SummaryChange::Move {
        name: after.name.clone(),
        gained: difference(after, before),
        lost: difference(before, after),
    }
}

fn without_lists(state: &UpstreamState) -> UpstreamState {
    let mut rest = state.clone();
    for list in StateList::ALL {
        list.names_mut(&mut rest).clear();
    }
    rest
}

/// Returns the list items of `one` that `other` does not have.
fn difference(one: &UpstreamState, other: &UpstreamState) -> Vec<(StateList, Name)> {
    let listed = StateList::ALL
        .into_iter()
        .flat_map(|list| list.names(one).iter().map(move |name| (list, name)));
    let missing = listed.filter(|(list, name)| !list.names(other).contains(name));
    missing.map(|(list, name)| (list, name.clone())).collect()
}

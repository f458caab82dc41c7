use crate::UpstreamState;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// One start of a router process, as known to the routers of its data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Source {
    /// The router's host.
    pub host: Name,
    /// Identifies the start of the process; a later start has a higher number.
    pub start: u64,
}

/// A full announcement that a router relays within its data centre.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RelayedState {
    /// The index of this version of the upstream in the router's
    /// [`LoadDelta`]s.
    pub index: u64,
    /// The announcement, with the sequence number of its version.
    pub state: UpstreamState,
}

/// The part of an upstream's announcement that changes often, for routers that
/// know the rest under the same index.
///
/// Relaying full announcements between all routers of a large data centre would
/// exceed the limits in docs/CAPACITY.md.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LoadDelta {
    /// The index that the sender assigned to this version of the upstream.
    pub index: u64,
    /// The sequence number of the latest announcement.
    pub sequence: u64,
    /// The number of requests that the upstream is running.
    pub running: u32,
    /// The models and adapters that recently served requests, as positions in the
    /// list of loaded models followed by loaded adapters.
    pub active: Vec<u32>,
}

impl UpstreamState {
    /// Returns whether `other` differs at most in the fields that a [`LoadDelta`]
    /// or a [`Renewal`](crate::Renewal) carries.
    pub fn differs_in_load_only(&self, other: &Self) -> bool {
        let without_load = |state: &Self| Self {
            sequence: 0,
            running: 0,
            active: Vec::new(),
            ..state.clone()
        };
        without_load(self) == without_load(other)
    }

    /// Returns the positions of the names among the loaded models and adapters.
    pub(crate) fn loaded_positions(&self, names: &BTreeSet<Name>) -> Vec<u32> {
        let loaded = (0..).zip(self.loaded_names());
        let found = loaded.filter(|(_, name)| names.contains(*name));
        found.map(|(position, _)| position).collect()
    }

    /// Returns the loaded models and adapters at the positions.
    pub(crate) fn loaded_at(&self, positions: &[u32]) -> Vec<Name> {
        let loaded: Vec<&Name> = self.loaded_names().collect();
        let at = |p: &u32| loaded.get(usize::try_from(*p).ok()?).copied().cloned();
        positions.iter().filter_map(at).collect()
    }

    fn loaded_names(&self) -> impl Iterator<Item = &Name> {
        self.loaded.iter().chain(&self.adapters)
    }
}

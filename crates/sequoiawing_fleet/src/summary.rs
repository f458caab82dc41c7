use crate::UpstreamState;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// Orders the routers that publish the summaries of a data centre.
///
/// A leader of a later term ranks above one of an earlier term, and any leader
/// ranks above a router that does not lead.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(default)]
pub struct Rank {
    /// The term in which the router leads its data centre's cell; zero if it
    /// does not lead.
    pub term: u64,
    /// Identifies the start of the process; a later start has a higher number.
    pub start: u64,
}

/// One of the frequently changing lists in an upstream's state.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateList {
    /// The loaded models.
    Loaded,
    /// The loaded adapters.
    Adapter,
    /// The models being loaded.
    Loading,
    /// The checkpoints on the local disk.
    Disk,
    /// The checkpoints in main memory.
    Cached,
}

impl StateList {
    pub(crate) const ALL: [Self; 5] = [
        Self::Loaded,
        Self::Adapter,
        Self::Loading,
        Self::Disk,
        Self::Cached,
    ];

    pub(crate) fn names(self, state: &UpstreamState) -> &Vec<Name> {
        match self {
            Self::Loaded => &state.loaded,
            Self::Adapter => &state.adapters,
            Self::Loading => &state.loading,
            Self::Disk => &state.disk,
            Self::Cached => &state.cached,
        }
    }

    pub(crate) fn names_mut(self, state: &mut UpstreamState) -> &mut Vec<Name> {
        match self {
            Self::Loaded => &mut state.loaded,
            Self::Adapter => &mut state.adapters,
            Self::Loading => &mut state.loading,
            Self::Disk => &mut state.disk,
            Self::Cached => &mut state.cached,
        }
    }
}

/// A change in a data centre's summary.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SummaryChange {
    /// An upstream is new, or more than its lists changed.
    Put(Box<UpstreamState>),
    /// Items of an upstream's lists changed.
    Move {
        /// The upstream.
        name: Name,
        /// The items that were added to the lists.
        gained: Vec<(StateList, Name)>,
        /// The items that were removed from the lists.
        lost: Vec<(StateList, Name)>,
    },
    /// An upstream was removed.
    Remove(Name),
}

impl SummaryChange {
    pub(crate) fn put(state: &UpstreamState) -> Self {
        Self::Put(Box::new(state.clone()))
    }
}

/// The state that one data centre publishes to the others: which upstreams
/// have what loaded, but not how many requests they run.
///
/// One router publishes for its data centre. It numbers its summaries, so that a
/// receiver detects a gap and requests a full summary.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Summary {
    /// The summarised data centre.
    pub centre: Name,
    /// The rank of the publishing router.
    pub rank: Rank,
    /// The serial that the changes apply to; `None` in a full summary.
    pub base: Option<u64>,
    /// The serial after the changes.
    pub serial: u64,
    /// The changes; all upstreams in a full summary.
    pub changes: Vec<SummaryChange>,
}

impl Summary {
    /// Returns a summary without changes, which tells a receiver that the data
    /// centre is reachable and whether it missed a change.
    #[must_use]
    pub fn confirmation(&self) -> Self {
        Self {
            centre: self.centre.clone(),
            rank: self.rank,
            base: Some(self.serial),
            serial: self.serial,
            changes: Vec::new(),
        }
    }

    /// Builds a full summary.
    pub(crate) fn full<'a, I>(centre: Name, rank: Rank, serial: u64, states: I) -> Self
    where
        I: Iterator<Item = &'a UpstreamState>,
    {
        Self {
            centre,
            rank,
            base: None,
            serial,
            changes: states.map(SummaryChange::put).collect(),
        }
    }
}

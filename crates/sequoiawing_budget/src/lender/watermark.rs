use crate::Share;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an owner commits to the log before it relies on it, so that a
/// successor never lends again what may have been spent.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Watermark {
    /// The owner's term.
    pub term: u64,
    /// The balance that the owner will not lend from under this watermark.
    pub floor: u64,
    /// The cut-off shares that data centres may hold; together at most one.
    pub shares: BTreeMap<Name, Share>,
}

/// The watermarks of an owner.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Watermarks {
    pub(super) committed: Watermark,
    proposed: Option<Watermark>,
    /// The highest floor among proposals that may be committed.
    #[serde(rename = "doubt")]
    uncertain_floor: u64,
}

impl Watermarks {
    pub(super) fn new(committed: Watermark) -> Self {
        Self {
            committed,
            proposed: None,
            uncertain_floor: 0,
        }
    }

    /// Returns the balance that a successor may start from.
    pub(super) fn floor(&self) -> u64 {
        self.committed.floor.max(self.uncertain_floor)
    }

    /// Reports whether a watermark of the term is committed.
    pub(super) fn is_committed_in(&self, term: u64) -> bool {
        self.committed.term == term
    }

    pub(super) fn is_proposing(&self) -> bool {
        self.proposed.is_some()
    }

    pub(super) fn propose(&mut self, watermark: &Watermark) {
        self.uncertain_floor = self.uncertain_floor.max(watermark.floor);
        self.proposed = Some(watermark.clone());
    }

    /// Notes that a proposal is committed; all earlier ones are overwritten.
    pub(super) fn commit(&mut self, watermark: &Watermark) {
        if self.proposed.as_ref() == Some(watermark) {
            self.proposed = None;
            self.uncertain_floor = 0;
        }
        self.committed = watermark.clone();
    }

    /// Notes that the outcome of the proposal is not known.
    pub(super) fn abandon_proposal(&mut self) {
        self.proposed = None;
    }

    /// Reports whether a successor would know of the data centre.
    pub(super) fn has_centre(&self, centre: &Name) -> bool {
        self.committed.shares.contains_key(centre)
    }

    /// Returns the share that the log sets aside for the data centre.
    pub(super) fn share(&self, centre: &Name) -> Share {
        let found = self.committed.shares.get(centre);
        found.copied().unwrap_or(Share::NONE)
    }
}

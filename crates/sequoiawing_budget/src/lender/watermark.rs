use crate::Share;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State that an owner commits to the log before it relies on it, so that a
/// successor never lends credit again that may have been spent.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Watermark {
    /// The owner's term.
    pub term: u64,
    /// The balance below which the owner does not lend under this watermark.
    pub floor: u64,
    /// The shares that data centres may use when they are disconnected; their
    /// sum is at most one.
    pub shares: BTreeMap<Name, Share>,
}

/// The committed and proposed watermarks of an owner.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Watermarks {
    pub(super) committed: Watermark,
    proposed: Option<Watermark>,
    /// The highest floor of the proposals whose outcome is unknown.
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

    /// Returns the highest balance that a successor may start with.
    pub(super) fn floor(&self) -> u64 {
        self.committed.floor.max(self.uncertain_floor)
    }

    /// Returns whether the committed watermark is of this term.
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

    /// Records that a proposal is committed. It overwrites all earlier ones.
    pub(super) fn commit(&mut self, watermark: &Watermark) {
        if self.proposed.as_ref() == Some(watermark) {
            self.proposed = None;
            self.uncertain_floor = 0;
        }
        self.committed = watermark.clone();
    }

    /// Records that the outcome of the proposal is unknown.
    pub(super) fn abandon_proposal(&mut self) {
        self.proposed = None;
    }

    /// Returns whether the data centre is in the log, so that a successor would
    /// know of it.
    pub(super) fn has_centre(&self, centre: &Name) -> bool {
        self.committed.shares.contains_key(centre)
    }

    /// Returns the share that is reserved in the log for the data centre.
    pub(super) fn share(&self, centre: &Name) -> Share {
        let found = self.committed.shares.get(centre);
        found.copied().unwrap_or(Share::NONE)
    }
}

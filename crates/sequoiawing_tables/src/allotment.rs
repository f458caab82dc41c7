use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The replicas of one model that one data centre may hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Allotment {
    /// The term of the cell that asked last.
    pub term: u64,
    /// The number of what it asked last.
    pub serial: u64,
    /// The replicas that it may hold.
    pub count: u32,
}

/// The allotments of one model by data centre.
///
/// Their sum never passes the model's replicas, unless an operator lowered that
/// number below what was already allotted; then nothing is raised until the
/// data centres have released enough.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Allotments(BTreeMap<Name, Allotment>);

impl Allotments {
    /// Returns the replicas that the data centre may hold.
    pub fn count(&self, centre: &Name) -> u32 {
        self.0.get(centre).map_or(0, |a| a.count)
    }

    /// Returns the replicas that all data centres may hold together.
    pub fn total(&self) -> u32 {
        self.0.values().map(|a| a.count).sum()
    }

    /// Takes away what a data centre holds that has no hosts any more. What its
    /// former leaders asked for still counts as older than what comes.
    pub(crate) fn revoke(&mut self, centre: &Name) {
        if let Some(entry) = self.0.get_mut(centre) {
            entry.count = 0;
        }
    }

    /// Sets the data centre's replicas, as far as `limit` leaves room, and
    /// returns what it may hold.
    ///
    /// `order` is the term and serial; one before the last changes nothing.
    pub(crate) fn set(&mut self, centre: Name, order: (u64, u64), want: u32, limit: u32) -> u32 {
        let others = self.total() - self.count(&centre);
        let entry = self.0.entry(centre).or_default();
        if order < (entry.term, entry.serial) {
            return entry.count;
        }
        let room = limit.saturating_sub(others);
        let raised = want.min(room.max(entry.count));
        *entry = Allotment {
            term: order.0,
            serial: order.1,
            count: raised,
        };
        raised
    }
}

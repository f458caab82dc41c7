use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of replicas of one model that one data centre may hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Allotment {
    /// The cell term of the last applied request.
    pub term: u64,
    /// The serial number of the last applied request within that term.
    pub serial: u64,
    /// The maximum number of replicas.
    pub count: u32,
}

/// The allotments of one model by data centre.
///
/// Their sum never exceeds the model's replica limit, unless an operator lowers
/// the limit below what is already allotted. Then no allotment is raised until
/// the data centres have released enough replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Allotments(BTreeMap<Name, Allotment>);

impl Allotments {
    /// Returns the number of replicas that the data centre may hold.
    pub fn count(&self, centre: &Name) -> u32 {
        self.0.get(centre).map_or(0, |a| a.count)
    }

    /// Returns the number of replicas that all data centres may hold together.
    pub fn total(&self) -> u32 {
        self.0.values().map(|a| a.count).sum()
    }

    /// Revokes the replicas of a data centre that has no hosts left. Term and
    /// serial are kept, so that late requests of its former leaders are still
    /// rejected as outdated.
    pub(crate) fn revoke(&mut self, centre: &Name) {
        if let Some(entry) = self.0.get_mut(centre) {
            entry.count = 0;
        }
    }

    /// Sets the data centre's replicas to `want`, as far as `limit` allows, and
    /// returns the resulting allotment.
    ///
    /// `order` is the term and serial of the request. A request older than the
    /// last applied one changes nothing.
    pub(crate) fn set(&mut self, centre: Name, order: (u64, u64), want: u32, limit: u32) -> u32 {
        let others = self.total() - self.count(&centre);
        let entry = self.0.entry(centre).or_default();
        if order < (entry.term, entry.serial) {
            return entry.count;
        }
        let available = limit.saturating_sub(others);
        let granted = want.min(available.max(entry.count));
        *entry = Allotment {
            term: order.0,
            serial: order.1,
            count: granted,
        };
        granted
    }
}

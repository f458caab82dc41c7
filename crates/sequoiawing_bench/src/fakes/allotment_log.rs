use sequoiawing_types::Name;
use std::collections::BTreeMap;

/// A pool and one of its models.
type Target = (Name, Name);

/// An in-memory replacement for the replicated log's replica allotments.
///
/// As in the log, the sum over all data centres never exceeds the limit, and a
/// data centre's allotment is lowered only at its own request.
#[derive(Clone, Debug, Default)]
pub(crate) struct AllotmentLog {
    limits: BTreeMap<Target, u32>,
    counts: BTreeMap<Target, BTreeMap<Name, u32>>,
}

impl AllotmentLog {
    /// Sets the maximum number of replicas of a model across all data centres.
    pub(crate) fn set_limit(&mut self, target: Target, limit: u32) {
        self.limits.insert(target, limit);
    }

    /// Sets a data centre's allotment as far as the limit allows. Returns the
    /// new allotment.
    pub(crate) fn allot(&mut self, target: &Target, centre: &Name, want: u32) -> u32 {
        let limit = self.limits.get(target).copied().unwrap_or(0);
        let counts = self.counts.entry(target.clone()).or_default();
        let own = counts.get(centre).copied().unwrap_or(0);
        let others = counts.values().sum::<u32>() - own;
        let count = want.min(limit.saturating_sub(others).max(own));
        counts.insert(centre.clone(), count);
        count
    }

    /// Returns the sum of the allotments of all data centres.
    pub(crate) fn total(&self, target: &Target) -> u32 {
        self.counts.get(target).map_or(0, |c| c.values().sum())
    }
}

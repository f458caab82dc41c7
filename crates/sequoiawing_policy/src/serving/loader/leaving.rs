use super::{EngineReport, engine::is_adapter_of};
use sequoiawing_types::Name;
use std::{collections::BTreeMap, time::Duration};

/// How often an engine is asked whether it has dropped an adapter whose slot is needed. Most
/// runs last for a few seconds.
pub(super) const DROP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The same while nothing waits for the slot.
pub(super) const IDLE_DROP_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The adapters that an engine has begun to unload.
///
/// The engine accepts the order at once, and drops the adapter when its last run has ended.
/// Until a report shows that, the adapter takes its slot and its memory, and serves no new
/// requests.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingAdapters {
    /// The number of orders that the engine had accepted before it accepted the unload.
    orders: BTreeMap<Name, u64>,
}

impl LeavingAdapters {
    /// Records that the engine has begun to unload an adapter, as its order after `expected`
    /// others.
    pub(super) fn begin(&mut self, adapter: Name, expected: u64) {
        self.orders.insert(adapter, expected);
    }

    /// Removes the adapters that a report does not list. One of a state before the order may
    /// lack an adapter that was loaded since.
    pub(super) fn apply(&mut self, report: &EngineReport) {
        self.orders.retain(|adapter, expected| {
            report.accepted <= *expected || report.adapters.contains(adapter)
        });
    }

    /// Removes the adapters of a model that is unloaded: the engine accepts no order until it
    /// has dropped all of them.
    pub(super) fn remove_model(&mut self, model: &Name) {
        self.orders.retain(|a, _| !is_adapter_of(a, model));
    }

    pub(super) fn contains(&self, adapter: &Name) -> bool {
        self.orders.contains_key(adapter)
    }

    pub(super) fn len(&self) -> usize {
        self.orders.len()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.orders.keys()
    }
}

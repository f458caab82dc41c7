use sequoiawing_budget::{Limits, Share, Timing};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The capacity limits of the weight store across all data centres.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Store {
    /// The maximum number of loads started per second.
    pub starts: u64,
    /// The number of concurrent loads that the store serves at full speed.
    pub slots: u64,
    /// The maximum number of adapter loads in flight.
    pub adapters: u64,
    /// The maximum time from the order of a load to its end, in seconds. The
    /// loads of a data centre that no longer responds are counted for this
    /// long.
    pub longest: u64,
    /// The shares of these limits, in millionths, that each data centre may use
    /// while disconnected; equal shares if empty. The sum must not exceed one
    /// million.
    pub shares: BTreeMap<Name, Share>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            starts: 8,
            slots: 4,
            adapters: 30,
            longest: 30,
            shares: BTreeMap::new(),
        }
    }
}

/// The name of the budget of load starts. The colon keeps it apart from
/// customers, since it is not valid in their names.
pub const LOAD_STARTS: &str = "fleet:load-starts";

/// The name of the budget of concurrent loads.
pub const LOAD_SLOTS: &str = "fleet:load-slots";

/// The name of the budget of adapter loads in flight.
pub const ADAPTER_SLOTS: &str = "fleet:adapter-slots";

impl Store {
    /// Returns the budgets with their names, limits and timing.
    ///
    /// A load start completes immediately. A load or adapter load that holds a
    /// slot can outlast its lease, so the timing of slots has an overrun.
    pub fn budgets(&self) -> [(Name, Limits, Timing); 3] {
        let slots = Timing {
            overrun: Duration::from_secs(self.longest),
            ..Timing::default()
        };
        let starts = Limits::tokens(self.starts, self.starts);
        [
            (Name::from(LOAD_STARTS), starts, Timing::default()),
            (Name::from(LOAD_SLOTS), Limits::slots(self.slots), slots),
            (
                Name::from(ADAPTER_SLOTS),
                Limits::slots(self.adapters),
                slots,
            ),
        ]
    }
}

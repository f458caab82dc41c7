use sequoiawing_budget::{Limits, Share, Timing};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// What the weight store bears from all data centres together.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Store {
    /// The loads that may be started in a second.
    pub starts: u64,
    /// The loads that the store serves at full speed at once.
    pub slots: u64,
    /// The adapter loads that may be in flight.
    pub adapters: u64,
    /// The longest time that a load takes from its order on, in seconds. What a
    /// data centre that fell silent had begun counts for so long.
    pub longest: u64,
    /// The shares of all these, in millionths, that data centres may use when
    /// they are cut off; equal ones when none is named. Together at most one
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

/// The budget of load starts. Customers cannot have such a name.
pub const LOAD_STARTS: &str = "fleet:load-starts";

/// The budget of loads at once.
pub const LOAD_SLOTS: &str = "fleet:load-slots";

/// The budget of adapter loads in flight.
pub const ADAPTER_SLOTS: &str = "fleet:adapter-slots";

impl Store {
    /// Returns the budgets by name.
    ///
    /// A start is over at once; only what holds a slot goes on after its lease.
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

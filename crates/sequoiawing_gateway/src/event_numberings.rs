//! What streams have shown of the numbers of their events, by pool.

use crate::GatewayState;
use parking_lot::Mutex;
use sequoiawing_policy::serving::{Assignment, EventNumbering, SoftwareVersion};
use sequoiawing_types::Name;
use std::{collections::HashMap, sync::Arc};

/// How many equal steps in a row show what a pool's next ones will be. Pools that number
/// irregularly stay below it.
const REQUIRED_STEPS: u32 = 32;

/// The numbering of a pool's streams, shared by those that are being relayed.
pub(crate) type SharedNumbering = Arc<Mutex<EventNumbering>>;

/// The numberings by pool, each of the software version that last began a stream.
#[derive(Debug, Default)]
pub(crate) struct EventNumberings {
    pools: Mutex<HashMap<Name, (SoftwareVersion, SharedNumbering)>>,
}

impl GatewayState {
    /// Returns the numbering of the streams of an upstream. It begins anew with each software
    /// version of the pool, which may number in another way.
    pub(crate) fn event_numbering(&self, pool: &Name, assignment: &Assignment) -> SharedNumbering {
        let software = &assignment.software;
        let mut pools = self.event_numberings.pools.lock();
        if let Some((known, numbering)) = pools.get(pool)
            && known == software
        {
            return numbering.clone();
        }
        let numbering: SharedNumbering = Arc::new(Mutex::new(EventNumbering::new(REQUIRED_STEPS)));
        pools.insert(pool.clone(), (software.clone(), numbering.clone()));
        numbering
    }
}

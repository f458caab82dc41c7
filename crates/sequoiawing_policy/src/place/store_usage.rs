use crate::{CheckpointLocation, Placer, place::runner::Runner};
use sequoiawing_types::{Name, Time};

/// A data centre's use of the fleet's load budgets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreUsage {
    /// The leader's pending loads from the weight store.
    pub loads: u32,
    /// Other running loads from the weight store, ordered by an earlier leader
    /// or on an upstream whose announcements expired.
    pub other_loads: u32,
    /// The leader's pending adapter loads.
    pub adapters: u32,
    /// Other running adapter loads.
    pub other_adapters: u32,
    /// The granted load starts that are still unused.
    pub starts: u32,
}

impl Placer {
    /// Returns whether the effects of all orders of earlier leaders are known.
    pub fn is_synced(&self, now: Time) -> bool {
        let mut pools = self.runners.values().map(|r| &r.state.pool);
        let is_discovered = self
            .leadership
            .is_some_and(|l| now >= self.led_since + l.discovery_wait);
        is_discovered && pools.all(|p| self.is_pool_synced(now, p))
    }

    /// Returns the data centre's use of the fleet's load budgets.
    pub fn store_usage(&self) -> StoreUsage {
        let silent = self.orders.iter().filter(|o| {
            let is_remote = o.is_load() && o.checkpoint == CheckpointLocation::Remote;
            let runner = self.runners.get(&o.upstream);
            is_remote && runner.is_none_or(|r| r.expired_at.is_some())
        });
        let adapters = self.orders.iter().filter(|o| o.is_adapter_load());
        StoreUsage {
            loads: self.store_loads(),
            other_loads: count(silent.count()) + self.others(|n| !is_adapter(n)),
            adapters: count(adapters.count()),
            other_adapters: self.others(is_adapter),
            starts: self.credits.starts(),
        }
    }

    /// Counts the loads that upstreams report and this leader did not order.
    fn others<F>(&self, is_counted: F) -> u32
    where
        F: Fn(&Name) -> bool,
    {
        let alive = self.runners.values().filter(|r| r.expired_at.is_none());
        let loads = alive.flat_map(|r| r.state.loading.iter().map(move |n| (r, n)));
        let others = loads.filter(|(r, n)| is_counted(n) && !self.is_ordered(r, n));
        count(others.count())
    }

    fn is_ordered(&self, runner: &Runner, name: &Name) -> bool {
        let mut orders = self.orders.iter();
        orders.any(|o| {
            let is_same = if is_adapter(name) {
                o.is_adapter_load()
            } else {
                o.is_load() && o.target.1 == *name
            };
            o.upstream == runner.state.name && is_same
        })
    }
}

/// Returns whether the name is that of an adapter, `model:adapter`.
fn is_adapter(name: &Name) -> bool {
    name.as_str().contains(':')
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

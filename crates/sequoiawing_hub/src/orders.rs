//! The loads and evictions that the leader ordered.

use crate::hub::{HubState, millis};
use sequoiawing_link::{OrderedEvictions, OrderedLoads, PlannedLoad};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// How long a leader's orders are passed on without an update of them.
const ORDERS_TTL: Duration = Duration::from_secs(2);

impl HubState {
    /// Sets the loads that this host ordered as the leader.
    pub(crate) fn set_ordered_loads(&self, ordered: OrderedLoads) {
        let targets = |ordered: &OrderedLoads| -> Vec<(Name, Name)> {
            let loads = ordered.loads.iter();
            loads
                .map(|l| (l.model.clone(), l.upstream.clone()))
                .collect()
        };
        let now = self.now();
        let ordered_targets = targets(&ordered);
        let previous = self.ordered_loads.lock().replace((now, ordered));
        let is_same = previous.is_some_and(|(_, o)| targets(&o) == ordered_targets);
        if !is_same {
            self.orders.set(self.orders.get() + 1);
        }
    }

    /// Sets the evictions that the leader's hub ordered, unless they are of an older
    /// term.
    pub(crate) fn set_evictions(&self, evictions: OrderedEvictions) {
        let mut current = self.evictions.lock();
        if current
            .as_ref()
            .is_some_and(|(_, e)| e.term > evictions.term)
        {
            return;
        }
        let is_same = current
            .as_ref()
            .is_some_and(|(_, e)| e.evicted == evictions.evicted);
        *current = Some((self.now(), evictions));
        drop(current);
        if !is_same {
            self.notify_changed();
        }
    }

    /// Returns the evictions that the leader ordered lately.
    pub(crate) fn evictions(&self, now: Time) -> Option<OrderedEvictions> {
        let evictions = self.evictions.lock();
        let (_, evictions) = evictions
            .as_ref()
            .filter(|(at, _)| now.since(*at) <= ORDERS_TTL)?;
        Some(evictions.clone())
    }

    /// Returns the loads that the leader ordered, with times relative to `now`.
    pub(crate) fn ordered_loads(&self, now: Time) -> Option<OrderedLoads> {
        let ordered = self.ordered_loads.lock().clone();
        let (at, ordered) = ordered.filter(|(at, _)| now.since(*at) <= ORDERS_TTL)?;
        let age = millis(now.since(at));
        let aged = ordered.loads.into_iter().map(|load| PlannedLoad {
            ready: load.ready.saturating_sub(age),
            late: load.late + age.saturating_sub(load.ready),
            ..load
        });
        Some(OrderedLoads {
            loads: aged.collect(),
            ..ordered
        })
    }
}

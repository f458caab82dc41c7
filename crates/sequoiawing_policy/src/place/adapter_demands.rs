use sequoiawing_fleet::Demand;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// An adapter with waiting requests that no upstream has loaded.
#[derive(Clone, Debug)]
pub(crate) struct AdapterDemand {
    pub(crate) pool: Name,
    pub(crate) model: Name,
    pub(crate) customer: Name,
    pub(crate) deadline: Time,
    until: Time,
}

/// The adapters with waiting requests. Idle adapters take no memory here.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterDemands {
    wanted: BTreeMap<Name, AdapterDemand>,
}

impl AdapterDemands {
    pub(crate) fn update(&mut self, now: Time, demand: &Demand, lifetime: Duration) {
        let Some(adapter) = &demand.adapter else {
            return;
        };
        let first = demand.shares.first();
        let deadline = now + Duration::from_millis(demand.deadline);
        let wanted = self.wanted.entry(adapter.clone());
        let wanted = wanted.or_insert_with(|| AdapterDemand {
            pool: demand.pool.clone(),
            model: demand.model.clone(),
            customer: first.map(|s| s.customer.clone()).unwrap_or_default(),
            deadline,
            until: now,
        });
        wanted.deadline = wanted.deadline.min(deadline);
        wanted.until = now + lifetime.max(Duration::from_millis(demand.deadline));
    }

    pub(crate) fn remove(&mut self, adapter: &Name) {
        self.wanted.remove(adapter);
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.wanted.retain(|_, w| w.until > now);
    }

    pub(crate) fn len(&self) -> usize {
        self.wanted.len()
    }

    /// Returns the wanted adapters in load order: round-robin over customers,
    /// and by deadline within a customer.
    pub(crate) fn in_fair_order(&self) -> Vec<(Name, AdapterDemand)> {
        let mut turns: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut sorted: Vec<(&Name, &AdapterDemand)> = self.wanted.iter().collect();
        sorted.sort_by_key(|(_, w)| w.deadline);
        let mut ranked: Vec<(u32, &Name, &AdapterDemand)> = Vec::new();
        for (adapter, wanted) in sorted {
            let turn = turns.entry(&wanted.customer).or_default();
            *turn += 1;
            ranked.push((*turn, adapter, wanted));
        }
        ranked.sort_by_key(|(turn, _, w)| (*turn, w.deadline));
        let owned = ranked.into_iter();
        owned.map(|(_, a, w)| (a.clone(), w.clone())).collect()
    }
}

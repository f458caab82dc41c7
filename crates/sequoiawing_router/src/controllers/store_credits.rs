//! The placer's share of the fleet's load budgets.

use crate::RouterState;
use async_channel::{Receiver, Sender};
use sequoiawing_budget::{Charge, Decision};
use sequoiawing_policy::{PlaceEvent, Placer};
use sequoiawing_runtime::spawn;
use sequoiawing_tables::{ADAPTER_SLOTS, LOAD_SLOTS, LOAD_STARTS};
use sequoiawing_types::{Name, Time};
use std::sync::Arc;

/// The load starts and slots of the weight store that this host holds for its
/// data centre while it leads.
pub(crate) struct StoreCredits {
    state: Arc<RouterState>,
    /// The model loads and adapter loads that are running or waiting.
    demand: (u32, u32),
    /// The term of this leader in which the orders of earlier leaders became known.
    synced_term: Option<u64>,
    /// The starts that were charged but not used yet.
    starts: Vec<Charge>,
    is_requesting: bool,
    decisions: (Sender<Decision>, Receiver<Decision>),
    names: BudgetNames,
}

struct BudgetNames {
    starts: Name,
    loads: Name,
    adapters: Name,
}

impl StoreCredits {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            demand: (0, 0),
            synced_term: None,
            starts: Vec::new(),
            is_requesting: false,
            decisions: async_channel::unbounded(),
            names: BudgetNames {
                starts: Name::from(LOAD_STARTS),
                loads: Name::from(LOAD_SLOTS),
                adapters: Name::from(ADAPTER_SLOTS),
            },
        }
    }

    /// Sets the number of loads and adapter loads that the placer could run now.
    pub(crate) fn set_demand(&mut self, loads: u32, adapters: u32) {
        self.demand = (loads, adapters);
    }

    /// Reports the placer's usage and returns events with its new limits.
    pub(crate) fn exchange(&mut self, now: Time, placer: &Placer) -> Vec<PlaceEvent> {
        let term = self.state.lease().map(|l| l.term);
        if self.synced_term.is_some() && self.synced_term != term {
            self.synced_term = None;
        }
        if term.is_some() && placer.is_synced(now) {
            self.synced_term = term;
        }
        let used = placer.store_usage();
        self.settle_used(now, used.starts);
        if self.synced_term.is_none() {
            return self.release(now, 0, 0);
        }
        let others = used.other_loads;
        let running = u64::from(used.loads + others);
        let want = u64::from(self.demand.0.max(used.loads) + others);
        let limit = self.state.use_slots(&self.names.loads, running, want);
        let loads = without_others(limit, others);
        let others = used.other_adapters;
        let running = u64::from(used.adapters + others);
        let want = u64::from(self.demand.1.max(used.adapters) + others);
        let limit = self.state.use_slots(&self.names.adapters, running, want);
        let adapters = without_others(limit, others);
        let waiting = self.demand.0.saturating_sub(used.loads);
        let useful = waiting.min(loads.saturating_sub(used.loads));
        if used.starts > useful {
            return self.release(now, loads, adapters);
        }
        let starts = self.take_starts(now, useful - used.starts);
        vec![
            PlaceEvent::LoadCredits {
                slots: loads,
                starts,
            },
            PlaceEvent::AdapterCredits { slots: adapters },
        ]
    }

    /// Settles the charges of the starts that were used.
    fn settle_used(&mut self, now: Time, left: u32) {
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        let used = self.starts.len().saturating_sub(left);
        for charge in self.starts.drain(..used) {
            self.state
                .router_budgets
                .settle_charge(now, &self.names.starts, charge, 1);
        }
    }

    /// Returns unused starts, so that they do not accumulate.
    fn release(&mut self, now: Time, loads: u32, adapters: u32) -> Vec<PlaceEvent> {
        for charge in self.starts.drain(..) {
            self.state
                .router_budgets
                .settle_charge(now, &self.names.starts, charge, 0);
        }
        // `CreditsLost` reverts to the static shares, which the events after it replace
        // immediately.
        vec![
            PlaceEvent::CreditsLost,
            PlaceEvent::LoadCredits {
                slots: loads,
                starts: 0,
            },
            PlaceEvent::AdapterCredits { slots: adapters },
        ]
    }

    /// Returns the number of starts that were granted since the last call, and
    /// requests another one if it can be used.
    fn take_starts(&mut self, now: Time, missing: u32) -> u32 {
        let mut taken = 0;
        while let Ok(decision) = self.decisions.1.try_recv() {
            self.is_requesting = false;
            if let Ok(charge) = decision {
                self.starts.push(charge);
                taken += 1;
            }
        }
        if taken < missing && !self.is_requesting {
            self.is_requesting = true;
            let state = self.state.clone();
            let budget = self.names.starts.clone();
            let decisions = self.decisions.0.clone();
            spawn(async move {
                let decision = state.router_budgets.charge(now, &budget, 1).await;
                decisions.send(decision).await.ok();
            })
            .detach();
        }
        taken
    }
}

fn without_others(limit: u64, others: u32) -> u32 {
    let limit = u32::try_from(limit).unwrap_or(u32::MAX);
    limit.saturating_sub(others)
}

//! What the placer may take of the fleet's load budgets.

use crate::RouterState;
use async_channel::{Receiver, Sender};
use sequoiawing_budget::{Charge, Decision};
use sequoiawing_policy::{PlaceEvent, Placer};
use sequoiawing_runtime::spawn;
use sequoiawing_tables::{ADAPTER_SLOTS, LOAD_SLOTS, LOAD_STARTS};
use sequoiawing_types::{Name, Time};
use std::sync::Arc;

/// The starts and slots of the weight store that this host holds for its data
/// centre while it leads.
pub(crate) struct StoreCredits {
    state: Arc<RouterState>,
    /// The loads and adapter loads that run or wait.
    wants: (u32, u32),
    /// Whether what earlier leaders ordered was known once in this term.
    informed: Option<u64>,
    /// The starts that were taken and not used yet.
    starts: Vec<Charge>,
    asking: bool,
    decided: (Sender<Decision>, Receiver<Decision>),
    names: Names,
}

struct Names {
    starts: Name,
    loads: Name,
    adapters: Name,
}

impl StoreCredits {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            wants: (0, 0),
            informed: None,
            starts: Vec::new(),
            asking: false,
            decided: async_channel::unbounded(),
            names: Names {
                starts: Name::from(LOAD_STARTS),
                loads: Name::from(LOAD_SLOTS),
                adapters: Name::from(ADAPTER_SLOTS),
            },
        }
    }

    /// Notes what the placer could use now.
    pub(crate) fn want(&mut self, loads: u32, adapters: u32) {
        self.wants = (loads, adapters);
    }

    /// Exchanges what the placer uses for what it may use.
    pub(crate) fn exchange(&mut self, now: Time, placer: &Placer) -> Vec<PlaceEvent> {
        let term = self.state.lease().map(|l| l.term);
        if self.informed.is_some() && self.informed != term {
            self.informed = None;
        }
        if term.is_some() && placer.is_synced(now) {
            self.informed = term;
        }
        let used = placer.store_usage();
        self.settle(now, used.starts);
        if self.informed.is_none() {
            return self.reset(now, 0, 0);
        }
        let others = used.other_loads;
        let running = u64::from(used.loads + others);
        let want = u64::from(self.wants.0.max(used.loads) + others);
        let limit = self.state.use_slots(&self.names.loads, running, want);
        let loads = less(limit, others);
        let others = used.other_adapters;
        let running = u64::from(used.adapters + others);
        let want = u64::from(self.wants.1.max(used.adapters) + others);
        let limit = self.state.use_slots(&self.names.adapters, running, want);
        let adapters = less(limit, others);
        let waiting = self.wants.0.saturating_sub(used.loads);
        let useful = waiting.min(loads.saturating_sub(used.loads));
        if used.starts > useful {
            return self.reset(now, loads, adapters);
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

    /// Forgets the starts that were used.
    fn settle(&mut self, now: Time, left: u32) {
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        let used = self.starts.len().saturating_sub(left);
        for charge in self.starts.drain(..used) {
            self.state
                .purses
                .settle_charge(now, &self.names.starts, charge, 1);
        }
    }

    /// Takes back starts that are of no use now, so that they are not saved up.
    fn reset(&mut self, now: Time, loads: u32, adapters: u32) -> Vec<PlaceEvent> {
        for charge in self.starts.drain(..) {
            self.state
                .purses
                .settle_charge(now, &self.names.starts, charge, 0);
        }
        // Only what follows counts: the static shares are replaced at once.
        vec![
            PlaceEvent::CreditsLost,
            PlaceEvent::LoadCredits {
                slots: loads,
                starts: 0,
            },
            PlaceEvent::AdapterCredits { slots: adapters },
        ]
    }

    /// Returns the starts that were granted since the last look, and asks for
    /// another one when it is of use.
    fn take_starts(&mut self, now: Time, missing: u32) -> u32 {
        let mut taken = 0;
        while let Ok(decision) = self.decided.1.try_recv() {
            self.asking = false;
            if let Ok(charge) = decision {
                self.starts.push(charge);
                taken += 1;
            }
        }
        if taken < missing && !self.asking {
            self.asking = true;
            let state = self.state.clone();
            let budget = self.names.starts.clone();
            let decided = self.decided.0.clone();
            spawn(async move {
                let decision = state.purses.charge(now, &budget, 1).await;
                decided.send(decision).await.ok();
            })
            .detach();
        }
        taken
    }
}

fn less(limit: u64, others: u32) -> u32 {
    let limit = u32::try_from(limit).unwrap_or(u32::MAX);
    limit.saturating_sub(others)
}

use crate::RouterState;
use parking_lot::Mutex;
use sequoiawing_budget::{BorrowRequest, CentreBudget, CentreSlots, Limits, Refill, Reply, Timing};
use sequoiawing_link::{BudgetBatch, BudgetReplies};
use sequoiawing_runtime::Watch;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::atomic::AtomicUsize, time::Duration};

/// The budgets of the data centre, while this host leads its cell.
#[derive(Default)]
pub(super) struct Led {
    term: u64,
    centres: BTreeMap<Name, CentreBudget>,
    slots: BTreeMap<Name, CentreSlots>,
}

impl Led {
    /// Answers a router.
    fn answer(
        &mut self,
        now: Time,
        budget: &Name,
        from: &Name,
        ask: &BorrowRequest,
    ) -> Option<Reply> {
        if let Some(slots) = self.slots.get(budget) {
            return Some(slots.router_reply(now, self.term, ask));
        }
        let centre = self.centres.get_mut(budget)?;
        Some(centre.handle(now, from, ask))
    }

    /// Takes in the owner's reply.
    pub(super) fn hear(&mut self, now: Time, budget: &Name, reply: &Reply) {
        if let Some(slots) = self.slots.get_mut(budget) {
            slots.handle_reply(now, reply);
        } else if let Some(centre) = self.centres.get_mut(budget) {
            centre.handle_reply(now, reply);
        }
    }

    /// Has the owner asked at once.
    pub(super) fn poke(&mut self, budget: &Name) {
        if let Some(slots) = self.slots.get_mut(budget) {
            slots.mark_due();
        } else if let Some(centre) = self.centres.get_mut(budget) {
            centre.mark_due();
        }
    }
}

/// The cell leader's part of all budgets.
#[derive(Default)]
pub(crate) struct CentreBudgets {
    led: Mutex<Led>,
    pub(super) recalls: Watch<u64>,
    /// Which controller answered as the owner last.
    pub(super) owner: AtomicUsize,
}

impl RouterState {
    /// Lends to a router of the data centre; returns nothing when this host
    /// does not lead.
    pub(crate) fn lend(&self, batch: BudgetBatch) -> BudgetReplies {
        let mut replies = Vec::new();
        self.lead(|state, led| {
            let now = state.now();
            for (budget, ask) in batch.asks {
                let reply = led.answer(now, &budget, &batch.borrower, &ask);
                replies.extend(reply.map(|r| (budget, r)));
            }
        })?;
        let recalls = &self.budgets.recalls;
        recalls.set(recalls.get() + 1);
        // What was decided counts only if the lease was still running then.
        self.lease()?;
        Some(replies)
    }

    /// Waits until a router has to return credit.
    pub(crate) async fn recalled(&self, router: &Name, wait: Duration) -> Vec<Name> {
        let is_due = |_: &u64| !self.recalled_now(router).is_empty();
        let waiting = self.budgets.recalls.wait_until(is_due);
        sequoiawing_runtime::timeout(wait, waiting).await;
        self.recalled_now(router)
    }

    fn recalled_now(&self, router: &Name) -> Vec<Name> {
        let led = self.budgets.led.lock();
        let recalled = led.centres.iter();
        let recalled = recalled.filter(|(_, c)| c.recalled().any(|r| r == router));
        recalled.map(|(budget, _)| budget.clone()).collect()
    }

    /// Runs `work` on the budgets if this host leads its cell.
    pub(super) fn lead<F, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce(&Self, &mut Led) -> T,
    {
        let term = self.lease()?.term;
        let mut led = self.budgets.led.lock();
        if led.term != term {
            *led = Led {
                term,
                ..Led::default()
            };
        }
        self.configure(&mut led);
        Some(work(self, &mut led))
    }

    /// Takes in what operators changed.
    fn configure(&self, led: &mut Led) {
        let now = self.now();
        let tables = self.tables.get();
        for customer in tables.customers.values() {
            self.configure_centre(now, led, &customer.name, customer.limits());
        }
        for (budget, limits, timing) in tables.store.budgets() {
            if limits.refill == Refill::OnReturn {
                self.configure_slots(now, led, &budget, limits, timing);
            } else {
                self.configure_centre(now, led, &budget, limits);
            }
        }
    }

    fn configure_centre(&self, now: Time, led: &mut Led, budget: &Name, limits: Limits) {
        if let Some(centre) = led.centres.get_mut(budget) {
            if centre.limits() != limits {
                centre.set_limits(now, limits);
            }
            return;
        }
        let share = self.purses.share(now, budget);
        let centre = CentreBudget::new(now, led.term, limits, Timing::default(), share);
        led.centres.insert(budget.clone(), centre);
    }

    fn configure_slots(
        &self,
        now: Time,
        led: &mut Led,
        budget: &Name,
        limits: Limits,
        timing: Timing,
    ) {
        if let Some(slots) = led.slots.get_mut(budget) {
            slots.set_limits(limits);
            slots.set_overrun(timing.overrun);
            return;
        }
        let share = self.purses.share(now, budget);
        let slots = CentreSlots::new(now, led.term, limits, timing, share);
        led.slots.insert(budget.clone(), slots);
    }

    /// Tells how many slots of a budget are in use in the data centre and could
    /// be, and returns how many may be; zero when this host does not lead.
    pub(crate) fn use_slots(&self, budget: &Name, used: u64, want: u64) -> u64 {
        let limit = self.lead(|state, led| {
            let now = state.now();
            let slots = led.slots.get_mut(budget)?;
            slots.set_use(now, used, want);
            Some(slots.limit(now))
        });
        limit.flatten().unwrap_or(0)
    }

    /// Returns the messages for the owner that are due.
    pub(super) fn owner_batch(&self) -> Option<BudgetBatch> {
        let asks = self.lead(|state, led| {
            let now = state.now();
            let mut asks = Vec::new();
            for (budget, centre) in &mut led.centres {
                centre.tick(now);
                if centre.is_due(now) {
                    asks.push((budget.clone(), centre.borrow_request(now)));
                }
            }
            for (budget, slots) in &mut led.slots {
                slots.tick(now);
                if slots.is_due(now) {
                    asks.push((budget.clone(), slots.borrow_request(now)));
                }
            }
            asks
        })?;
        let borrower = self.settings.centre.clone();
        (!asks.is_empty()).then_some(BudgetBatch { borrower, asks })
    }

    /// Returns the budgets that this host keeps, for the dump.
    pub(crate) fn dump_budgets(&self) -> serde_json::Value {
        let led = self.budgets.led.lock();
        serde_json::json!({
            "purses": self.purses.dump(),
            "centre": if self.lease().is_some() {
                serde_json::to_value(&led.centres).unwrap_or_default()
            } else {
                serde_json::Value::Null
            },
            "slots": serde_json::to_value(&led.slots).unwrap_or_default(),
        })
    }
}

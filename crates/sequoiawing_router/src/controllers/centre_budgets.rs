use crate::RouterState;
use parking_lot::Mutex;
use sequoiawing_budget::{BorrowRequest, CentreBudget, CentreSlots, Limits, Refill, Reply, Timing};
use sequoiawing_link::{BudgetBatch, BudgetReplies};
use sequoiawing_runtime::Watch;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, sync::atomic::AtomicUsize, time::Duration};

/// The budgets that this host manages for its data centre while it leads the
/// cell.
#[derive(Default)]
pub(super) struct LeaderBudgets {
    term: u64,
    centres: BTreeMap<Name, CentreBudget>,
    slots: BTreeMap<Name, CentreSlots>,
}

impl LeaderBudgets {
    /// Handles the borrow request of a router.
    fn handle_request(
        &mut self,
        now: Time,
        budget: &Name,
        from: &Name,
        request: &BorrowRequest,
    ) -> Option<Reply> {
        if let Some(slots) = self.slots.get(budget) {
            return Some(slots.router_reply(now, self.term, request));
        }
        let centre = self.centres.get_mut(budget)?;
        Some(centre.handle(now, from, request))
    }

    /// Applies a reply of the owner.
    pub(super) fn handle_reply(&mut self, now: Time, budget: &Name, reply: &Reply) {
        if let Some(slots) = self.slots.get_mut(budget) {
            slots.handle_reply(now, reply);
        } else if let Some(centre) = self.centres.get_mut(budget) {
            centre.handle_reply(now, reply);
        }
    }

    /// Marks the next message to the owner as due immediately.
    pub(super) fn mark_due(&mut self, budget: &Name) {
        if let Some(slots) = self.slots.get_mut(budget) {
            slots.mark_due();
        } else if let Some(centre) = self.centres.get_mut(budget) {
            centre.mark_due();
        }
    }
}

/// The cell leader's state of all budgets.
#[derive(Default)]
pub(crate) struct CentreBudgets {
    inner: Mutex<LeaderBudgets>,
    /// Incremented after each exchange that may have led to recalls.
    pub(super) recalls: Watch<u64>,
    /// The index of the controller that last replied as the owner.
    pub(super) owner: AtomicUsize,
}

impl RouterState {
    /// Lends to a router of the data centre. Returns `None` if this host does not
    /// lead.
    pub(crate) fn lend(&self, batch: BudgetBatch) -> BudgetReplies {
        let mut replies = Vec::new();
        self.with_leader_budgets(|state, budgets| {
            let now = state.now();
            for (budget, request) in batch.asks {
                let reply = budgets.handle_request(now, &budget, &batch.borrower, &request);
                replies.extend(reply.map(|r| (budget, r)));
            }
        })?;
        let recalls = &self.centre_budgets.recalls;
        recalls.set(recalls.get() + 1);
        // The decisions are valid only if the lease had not expired by then.
        self.lease()?;
        Some(replies)
    }

    /// Waits up to `wait` until a router has to return credit, and returns the
    /// budgets concerned.
    pub(crate) async fn recalled(&self, router: &Name, wait: Duration) -> Vec<Name> {
        let is_due = |_: &u64| !self.due_recalls(router).is_empty();
        let waiting = self.centre_budgets.recalls.wait_until(is_due);
        sequoiawing_runtime::timeout(wait, waiting).await;
        self.due_recalls(router)
    }

    fn due_recalls(&self, router: &Name) -> Vec<Name> {
        let budgets = self.centre_budgets.inner.lock();
        let recalled = budgets.centres.iter();
        let recalled = recalled.filter(|(_, c)| c.recalled().any(|r| r == router));
        recalled.map(|(budget, _)| budget.clone()).collect()
    }

    /// Calls `work` with the leader's budgets if this host leads its cell.
    pub(super) fn with_leader_budgets<F, T>(&self, work: F) -> Option<T>
    where
        F: FnOnce(&Self, &mut LeaderBudgets) -> T,
    {
        let term = self.lease()?.term;
        let mut budgets = self.centre_budgets.inner.lock();
        if budgets.term != term {
            *budgets = LeaderBudgets {
                term,
                ..LeaderBudgets::default()
            };
        }
        self.configure(&mut budgets);
        Some(work(self, &mut budgets))
    }

    /// Applies changes of the budgets in the tables.
    fn configure(&self, budgets: &mut LeaderBudgets) {
        let now = self.now();
        let tables = self.tables.get();
        for customer in tables.customers.values() {
            self.configure_centre(now, budgets, &customer.name, customer.limits());
        }
        for (budget, limits, timing) in tables.store.budgets() {
            if limits.refill == Refill::OnReturn {
                self.configure_slots(now, budgets, &budget, limits, timing);
            } else {
                self.configure_centre(now, budgets, &budget, limits);
            }
        }
    }

    fn configure_centre(
        &self,
        now: Time,
        budgets: &mut LeaderBudgets,
        budget: &Name,
        limits: Limits,
    ) {
        if let Some(centre) = budgets.centres.get_mut(budget) {
            if centre.limits() != limits {
                centre.set_limits(now, limits);
            }
            return;
        }
        let share = self.router_budgets.share(now, budget);
        let centre = CentreBudget::new(now, budgets.term, limits, Timing::default(), share);
        budgets.centres.insert(budget.clone(), centre);
    }

    fn configure_slots(
        &self,
        now: Time,
        budgets: &mut LeaderBudgets,
        budget: &Name,
        limits: Limits,
        timing: Timing,
    ) {
        if let Some(slots) = budgets.slots.get_mut(budget) {
            slots.set_limits(limits);
            slots.set_overrun(timing.overrun);
            return;
        }
        let share = self.router_budgets.share(now, budget);
        let slots = CentreSlots::new(now, budgets.term, limits, timing, share);
        budgets.slots.insert(budget.clone(), slots);
    }

    /// Sets the numbers of slots of a budget that the data centre uses and wants, and
    /// returns the number that it may use, which is 0 if this host does not lead.
    pub(crate) fn use_slots(&self, budget: &Name, used: u64, want: u64) -> u64 {
        let limit = self.with_leader_budgets(|state, budgets| {
            let now = state.now();
            let slots = budgets.slots.get_mut(budget)?;
            slots.set_use(now, used, want);
            Some(slots.limit(now))
        });
        limit.flatten().unwrap_or(0)
    }

    /// Returns the due messages for the owner, or `None` if there are none or this
    /// host does not lead.
    pub(super) fn owner_batch(&self) -> Option<BudgetBatch> {
        let requests = self.with_leader_budgets(|state, budgets| {
            let now = state.now();
            let mut requests = Vec::new();
            for (budget, centre) in &mut budgets.centres {
                centre.tick(now);
                if centre.is_due(now) {
                    requests.push((budget.clone(), centre.borrow_request(now)));
                }
            }
            for (budget, slots) in &mut budgets.slots {
                slots.tick(now);
                if slots.is_due(now) {
                    requests.push((budget.clone(), slots.borrow_request(now)));
                }
            }
            requests
        })?;
        let borrower = self.settings.centre.clone();
        (!requests.is_empty()).then_some(BudgetBatch {
            borrower,
            asks: requests,
        })
    }

    /// Returns the budgets of this host for the state dump.
    pub(crate) fn dump_budgets(&self) -> serde_json::Value {
        let budgets = self.centre_budgets.inner.lock();
        serde_json::json!({
            "purses": self.router_budgets.dump(),
            "centre": if self.lease().is_some() {
                serde_json::to_value(&budgets.centres).unwrap_or_default()
            } else {
                serde_json::Value::Null
            },
            "slots": serde_json::to_value(&budgets.slots).unwrap_or_default(),
        })
    }
}

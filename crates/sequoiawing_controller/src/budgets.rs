//! The owner of all budgets, on the controller that leads the log.

use crate::ControllerHandle;
use parking_lot::Mutex;
use sequoiawing_budget::{
    BorrowRequest, Lender, LenderView, Limits, Reply, Share, Timing, Watermark,
};
use sequoiawing_link::{BudgetBatch, BudgetReplies};
use sequoiawing_runtime::{Clock, Shutdown, Watch, sleep, spawn, timeout};
use sequoiawing_tables::{Command, Outcome, Revision, Tables};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

/// How often leases, shares and watermarks are looked at.
const INTERVAL: Duration = Duration::from_millis(20);

/// The budgets of one term.
struct Owned {
    term: u64,
    lenders: BTreeMap<Name, Lender>,
    /// What predecessors committed.
    former: BTreeMap<Name, Watermark>,
    revision: Revision,
    is_proposing: bool,
}

struct Inner {
    handle: ControllerHandle,
    clock: Clock,
    owned: Mutex<Option<Owned>>,
    /// Counts the messages after which a recall may be due.
    recalls: Watch<u64>,
}

/// Lends the budgets while this controller leads; see
/// [docs/design/budgets.md](../../../docs/design/budgets.md).
#[derive(Clone)]
pub(crate) struct Budgets {
    inner: Arc<Inner>,
}

impl Budgets {
    /// Starts the owner's part of a controller.
    pub(crate) fn start(handle: ControllerHandle, shutdown: Shutdown) -> Self {
        let inner = Arc::new(Inner {
            handle,
            clock: Clock::start(),
            owned: Mutex::new(None),
            recalls: Watch::default(),
        });
        let budgets = Self { inner };
        let ticking = budgets.clone();
        spawn(async move {
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                ticking.tick().await;
            }
        })
        .detach();
        budgets
    }

    /// Lends to a data centre; returns nothing when this controller does not
    /// lead.
    pub(crate) async fn lend(&self, batch: BudgetBatch) -> BudgetReplies {
        let term = self.own().await?;
        let tables = self.inner.handle.tables();
        let mut replies = Vec::new();
        {
            let mut owned = self.inner.owned.lock();
            let owned = owned.as_mut().filter(|o| o.term == term)?;
            let now = self.now();
            for (budget, ask) in batch.asks {
                let reply = owned.answer(now, &tables, &budget, &batch.borrower, &ask);
                replies.extend(reply.map(|r| (budget, r)));
            }
        }
        self.propose();
        self.inner.recalls.set(self.inner.recalls.get() + 1);
        // What was decided counts only if the lease was still running then.
        self.term().filter(|t| *t == term)?;
        Some(replies)
    }

    /// Waits until a data centre has to return credit.
    pub(crate) async fn recalled(&self, centre: &Name, wait: Duration) -> Vec<Name> {
        let is_due = |_: &u64| !self.recalled_now(centre).is_empty();
        timeout(wait, self.inner.recalls.wait_until(is_due)).await;
        self.recalled_now(centre)
    }

    fn recalled_now(&self, centre: &Name) -> Vec<Name> {
        let owned = self.inner.owned.lock();
        let lenders = owned.iter().flat_map(|o| &o.lenders);
        let recalled = lenders.filter(|(_, l)| l.recalled().any(|c| c == centre));
        recalled.map(|(budget, _)| budget.clone()).collect()
    }

    /// Returns the budgets; nothing when this controller does not lead.
    pub(crate) fn view(&self) -> Option<BTreeMap<Name, LenderView>> {
        let term = self.term()?;
        let owned = self.inner.owned.lock();
        let owned = owned.as_ref().filter(|o| o.term == term)?;
        let now = self.now();
        let views = owned.lenders.iter().map(|(n, l)| (n.clone(), l.view(now)));
        Some(views.collect())
    }

    /// Returns the budgets as JSON, for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let owned = self.inner.owned.lock();
        let lenders = owned.as_ref().map(|o| &o.lenders);
        serde_json::to_value(lenders).unwrap_or_default()
    }

    async fn tick(&self) {
        if self.own().await.is_none() {
            *self.inner.owned.lock() = None;
            return;
        }
        let tables = self.inner.handle.tables();
        if let Some(owned) = self.inner.owned.lock().as_mut() {
            owned.configure(self.now(), &tables);
        }
        self.propose();
    }

    fn now(&self) -> Time {
        Time::ZERO + self.inner.clock.elapsed()
    }

    fn term(&self) -> Option<u64> {
        self.inner.handle.leadership().map(|l| l.term)
    }

    /// Takes the budgets over when this controller has begun to lead.
    async fn own(&self) -> Option<u64> {
        let term = self.term()?;
        let is_owner = |o: &Option<Owned>| o.as_ref().is_some_and(|o| o.term == term);
        if is_owner(&self.inner.owned.lock()) {
            return Some(term);
        }
        // A read confirms the lease, and holds all that predecessors committed.
        let tables = self.inner.handle.read().await.ok()?;
        self.term().filter(|t| *t == term)?;
        let mut owned = self.inner.owned.lock();
        if !is_owner(&owned) {
            log::info!(target: "budgets", "Lending budgets in term {term}.");
            *owned = Some(Owned::new(self.now(), term, &tables));
        }
        Some(term)
    }

    /// Commits the watermarks that are due, one batch at a time.
    fn propose(&self) {
        let mut owned = self.inner.owned.lock();
        let Some(owned) = owned.as_mut().filter(|o| !o.is_proposing) else {
            return;
        };
        let marks = owned.marks(self.now());
        if marks.is_empty() {
            return;
        }
        owned.is_proposing = true;
        let term = owned.term;
        let budgets = self.clone();
        spawn(async move {
            let command = Command::MarkBudgets {
                term,
                marks: marks.clone(),
            };
            let outcome = budgets.inner.handle.propose(&command).await;
            let is_committed = matches!(outcome, Ok(Outcome::Marked(true)));
            budgets.proposed(term, &marks, is_committed);
        })
        .detach();
    }

    fn proposed(&self, term: u64, marks: &BTreeMap<Name, Watermark>, is_committed: bool) {
        let now = self.now();
        let mut owned = self.inner.owned.lock();
        let Some(owned) = owned.as_mut().filter(|o| o.term == term) else {
            return;
        };
        owned.is_proposing = false;
        for (budget, mark) in marks {
            let Some(lender) = owned.lenders.get_mut(budget) else {
                continue;
            };
            if is_committed {
                lender.commit(now, mark);
            } else {
                lender.abandon_proposal();
            }
        }
    }
}

/// What operators want of one budget.
struct Planned<'t> {
    name: Name,
    limits: Limits,
    timing: Timing,
    shares: &'t BTreeMap<Name, Share>,
}

/// Returns the budgets of customers and of the weight store.
fn planned(tables: &Tables) -> impl Iterator<Item = Planned<'_>> {
    let customers = tables.customers.values().map(|customer| Planned {
        name: customer.name.clone(),
        limits: customer.limits(),
        timing: Timing::default(),
        shares: &customer.shares,
    });
    let store = tables.store.budgets().into_iter();
    let store = store.map(|(name, limits, timing)| Planned {
        name,
        limits,
        timing,
        shares: &tables.store.shares,
    });
    customers.chain(store)
}

impl Owned {
    fn new(now: Time, term: u64, tables: &Tables) -> Self {
        let mut owned = Self {
            term,
            lenders: BTreeMap::new(),
            former: tables.watermarks().clone(),
            revision: Revision::default(),
            is_proposing: false,
        };
        owned.configure(now, tables);
        owned
    }

    fn add(&mut self, now: Time, planned: &Planned<'_>) {
        let mark = self.former.get(&planned.name).cloned();
        let lender = Lender::owner(now, self.term, planned.limits, planned.timing, mark);
        self.lenders.insert(planned.name.clone(), lender);
    }

    /// Takes in what operators changed.
    fn configure(&mut self, now: Time, tables: &Tables) {
        if self.revision == tables.revision && !self.lenders.is_empty() {
            return;
        }
        self.revision = tables.revision;
        let centres: BTreeSet<&Name> = tables.hosts.values().map(|h| &h.centre).collect();
        for planned in planned(tables) {
            // A customer that was deleted keeps its lender, and so its
            // watermark, for the rest of the term.
            if !self.lenders.contains_key(&planned.name) {
                self.add(now, &planned);
            }
            let Some(lender) = self.lenders.get_mut(&planned.name) else {
                continue;
            };
            if lender.limits() != planned.limits {
                lender.set_limits(now, planned.limits);
            }
            lender.set_overrun(planned.timing.overrun);
            let shares = centres.iter().map(|c| {
                let equal = Share::equal(centres.len());
                let own = planned.shares.get(*c).copied();
                let has_own = !planned.shares.is_empty();
                let share = if has_own {
                    own.unwrap_or_default()
                } else {
                    equal
                };
                ((*c).clone(), share)
            });
            lender.set_shares(now, shares);
        }
    }

    fn answer(
        &mut self,
        now: Time,
        tables: &Tables,
        budget: &Name,
        centre: &Name,
        ask: &BorrowRequest,
    ) -> Option<Reply> {
        self.configure(now, tables);
        let lender = self.lenders.get_mut(budget)?;
        Some(lender.handle(now, centre, ask))
    }

    fn marks(&mut self, now: Time) -> BTreeMap<Name, Watermark> {
        let lenders = self.lenders.iter_mut();
        let marks = lenders.filter_map(|(name, l)| Some((name.clone(), l.propose(now)?)));
        marks.collect()
    }
}

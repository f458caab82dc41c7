//! The budgets of the deployment, owned by the controller that leads the log.

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

/// How often leadership, limits, shares and watermarks are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The budgets that a leader owns during one term.
struct OwnedBudgets {
    term: u64,
    lenders: BTreeMap<Name, Lender>,
    /// The watermarks that earlier leaders committed.
    committed_marks: BTreeMap<Name, Watermark>,
    revision: Revision,
    is_proposing: bool,
}

struct Inner {
    handle: ControllerHandle,
    clock: Clock,
    owned: Mutex<Option<OwnedBudgets>>,
    /// A counter of batches from borrowers, each of which may cause a recall.
    batch_count: Watch<u64>,
}

/// Lends the budgets while this controller leads; see
/// [docs/design/budgets.md](../../../docs/design/budgets.md).
#[derive(Clone)]
pub(crate) struct Budgets {
    inner: Arc<Inner>,
}

impl Budgets {
    /// Starts the budget owner of a controller.
    pub(crate) fn start(handle: ControllerHandle, shutdown: Shutdown) -> Self {
        let inner = Arc::new(Inner {
            handle,
            clock: Clock::start(),
            owned: Mutex::new(None),
            batch_count: Watch::default(),
        });
        let budgets = Self { inner };
        let ticker = budgets.clone();
        spawn(async move {
            while shutdown.or(sleep(TICK_INTERVAL)).await.is_some() {
                ticker.tick().await;
            }
        })
        .detach();
        budgets
    }

    /// Handles a batch of requests from a data centre. Returns `None` if this
    /// controller does not lead.
    pub(crate) async fn lend(&self, batch: BudgetBatch) -> BudgetReplies {
        let term = self.ensure_ownership().await?;
        let tables = self.inner.handle.tables();
        let mut replies = Vec::new();
        {
            let mut owned = self.inner.owned.lock();
            let owned = owned.as_mut().filter(|o| o.term == term)?;
            let now = self.now();
            for (budget, request) in batch.asks {
                let reply = owned.reply_to(now, &tables, &budget, &batch.borrower, &request);
                replies.extend(reply.map(|r| (budget, r)));
            }
        }
        self.propose();
        self.inner.batch_count.set(self.inner.batch_count.get() + 1);
        // The replies are valid only if the lease has not expired in the meantime.
        self.term().filter(|t| *t == term)?;
        Some(replies)
    }

    /// Waits at most `wait` until a data centre has to return credit, and returns the
    /// budgets concerned.
    pub(crate) async fn recalled(&self, centre: &Name, wait: Duration) -> Vec<Name> {
        let is_due = |_: &u64| !self.pending_recalls(centre).is_empty();
        timeout(wait, self.inner.batch_count.wait_until(is_due)).await;
        self.pending_recalls(centre)
    }

    fn pending_recalls(&self, centre: &Name) -> Vec<Name> {
        let owned = self.inner.owned.lock();
        let lenders = owned.iter().flat_map(|o| &o.lenders);
        let recalled = lenders.filter(|(_, l)| l.recalled().any(|c| c == centre));
        recalled.map(|(budget, _)| budget.clone()).collect()
    }

    /// Returns the budgets, or `None` if this controller does not lead.
    pub(crate) fn view(&self) -> Option<BTreeMap<Name, LenderView>> {
        let term = self.term()?;
        let owned = self.inner.owned.lock();
        let owned = owned.as_ref().filter(|o| o.term == term)?;
        let now = self.now();
        let views = owned.lenders.iter().map(|(n, l)| (n.clone(), l.view(now)));
        Some(views.collect())
    }

    /// Returns the internal state of the budgets as JSON.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let owned = self.inner.owned.lock();
        let lenders = owned.as_ref().map(|o| &o.lenders);
        serde_json::to_value(lenders).unwrap_or_default()
    }

    async fn tick(&self) {
        if self.ensure_ownership().await.is_none() {
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

    /// Takes ownership of the budgets if this controller has become leader, and
    /// returns its term.
    async fn ensure_ownership(&self) -> Option<u64> {
        let term = self.term()?;
        let is_owner = |o: &Option<OwnedBudgets>| o.as_ref().is_some_and(|o| o.term == term);
        if is_owner(&self.inner.owned.lock()) {
            return Some(term);
        }
        // A linearizable read confirms the lease and includes every watermark that
        // earlier leaders committed.
        let tables = self.inner.handle.read().await.ok()?;
        self.term().filter(|t| *t == term)?;
        let mut owned = self.inner.owned.lock();
        if !is_owner(&owned) {
            log::info!(target: "budgets", "Took ownership of all budgets in term {term}.");
            *owned = Some(OwnedBudgets::new(self.now(), term, &tables));
        }
        Some(term)
    }

    /// Proposes the watermarks that are due, one batch at a time.
    fn propose(&self) {
        let mut owned = self.inner.owned.lock();
        let Some(owned) = owned.as_mut().filter(|o| !o.is_proposing) else {
            return;
        };
        let marks = owned.propose_marks(self.now());
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
            budgets.handle_outcome(term, &marks, is_committed);
        })
        .detach();
    }

    fn handle_outcome(&self, term: u64, marks: &BTreeMap<Name, Watermark>, is_committed: bool) {
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

/// The configuration of one budget.
struct BudgetConfig<'t> {
    name: Name,
    limits: Limits,
    timing: Timing,
    shares: &'t BTreeMap<Name, Share>,
}

/// Returns the configured budgets of the customers and of the weight store.
fn budget_configs(tables: &Tables) -> impl Iterator<Item = BudgetConfig<'_>> {
    let customers = tables.customers.values().map(|customer| BudgetConfig {
        name: customer.name.clone(),
        limits: customer.limits(),
        timing: Timing::default(),
        shares: &customer.shares,
    });
    let store = tables.store.budgets().into_iter();
    let store = store.map(|(name, limits, timing)| BudgetConfig {
        name,
        limits,
        timing,
        shares: &tables.store.shares,
    });
    customers.chain(store)
}

impl OwnedBudgets {
    fn new(now: Time, term: u64, tables: &Tables) -> Self {
        let mut owned = Self {
            term,
            lenders: BTreeMap::new(),
            committed_marks: tables.watermarks().clone(),
            revision: Revision::default(),
            is_proposing: false,
        };
        owned.configure(now, tables);
        owned
    }

    fn add_lender(&mut self, now: Time, config: &BudgetConfig<'_>) {
        let mark = self.committed_marks.get(&config.name).cloned();
        let lender = Lender::owner(now, self.term, config.limits, config.timing, mark);
        self.lenders.insert(config.name.clone(), lender);
    }

    /// Applies configuration changes to the lenders.
    fn configure(&mut self, now: Time, tables: &Tables) {
        if self.revision == tables.revision && !self.lenders.is_empty() {
            return;
        }
        self.revision = tables.revision;
        let centres: BTreeSet<&Name> = tables.hosts.values().map(|h| &h.centre).collect();
        for config in budget_configs(tables) {
            // The lender of a deleted customer, and with it the watermark, is
            // kept until the end of the term.
            if !self.lenders.contains_key(&config.name) {
                self.add_lender(now, &config);
            }
            let Some(lender) = self.lenders.get_mut(&config.name) else {
                continue;
            };
            if lender.limits() != config.limits {
                lender.set_limits(now, config.limits);
            }
            lender.set_overrun(config.timing.overrun);
            let shares = centres.iter().map(|c| {
                let equal = Share::equal(centres.len());
                let configured = config.shares.get(*c).copied();
                let is_configured = !config.shares.is_empty();
                let share = if is_configured {
                    configured.unwrap_or_default()
                } else {
                    equal
                };
                ((*c).clone(), share)
            });
            lender.set_shares(now, shares);
        }
    }

    fn reply_to(
        &mut self,
        now: Time,
        tables: &Tables,
        budget: &Name,
        centre: &Name,
        request: &BorrowRequest,
    ) -> Option<Reply> {
        self.configure(now, tables);
        let lender = self.lenders.get_mut(budget)?;
        Some(lender.handle(now, centre, request))
    }

    fn propose_marks(&mut self, now: Time) -> BTreeMap<Name, Watermark> {
        let lenders = self.lenders.iter_mut();
        let marks = lenders.filter_map(|(name, l)| Some((name.clone(), l.propose(now)?)));
        marks.collect()
    }
}

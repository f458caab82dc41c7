use super::{Limiter, Reservation, ReserveFuture};
use async_channel::{Receiver, Sender};
use parking_lot::{Mutex, RwLock};
use sequoiawing_budget::{
    Admission, BorrowRequest, Charge, Decision, Denial, Refill, Reply, RouterBudget, Share, Timing,
};
use sequoiawing_tables::Customer;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// The longest time that a request which the local budget does not cover waits
/// for the round trip to the owner.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// The divisor of the burst that gives the reserve of each router for an active
/// customer. The reserve covers the time in which a cell elects a new leader.
const RESERVE_DIVISOR: u64 = 64;

/// The budget of one customer on this router.
struct CustomerBudget {
    inner: Mutex<Inner>,
}

struct Inner {
    admission: Admission,
    waiting: HashMap<u64, Sender<Decision>>,
}

impl Inner {
    /// Delivers the decisions to the waiting requests.
    fn deliver_decisions(&mut self, now: Time) {
        let mut decided = Vec::new();
        self.admission.poll(now, &mut decided);
        for (id, decision) in decided {
            let sender = self.waiting.remove(&id);
            let is_delivered = sender.is_some_and(|s| s.try_send(decision).is_ok());
            if let (false, Ok(charge)) = (is_delivered, decision) {
                self.admission.settle(now, charge, 0);
            }
        }
    }
}

/// Limits customers by budgets that all routers share.
///
/// Most requests are charged to credit that the router already holds. The
/// others wait for the cell leader and the owner. See
/// [docs/design/budgets.md](../../../../docs/design/budgets.md).
pub(crate) struct SharedLimiter {
    incarnation: u64,
    budgets: RwLock<HashMap<Name, Arc<CustomerBudget>>>,
    next_id: AtomicU64,
    /// Whether a lender has answered once for every customer.
    ready: AtomicBool,
    due: (Sender<()>, Receiver<()>),
}

impl SharedLimiter {
    /// Returns a limiter without credit.
    ///
    /// `incarnation` must be higher than that of any earlier run of the router.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            budgets: RwLock::default(),
            next_id: AtomicU64::new(1),
            ready: AtomicBool::new(false),
            due: async_channel::bounded(1),
        }
    }

    /// Waits until a request to the cell leader is due immediately.
    pub(crate) async fn wait_until_due(&self) {
        self.due.1.recv().await.ok();
    }

    /// Registers the customers, so that the lenders know their budgets before the
    /// first request.
    pub(crate) fn register_customers<'a, I>(&self, now: Time, customers: I)
    where
        I: Iterator<Item = &'a Customer>,
    {
        let mut is_served = true;
        for customer in customers {
            let budget = self.budget(now, &customer.name);
            let reserve = customer.burst / RESERVE_DIVISOR;
            let mut inner = budget.inner.lock();
            inner.admission.set_reserve(reserve);
            is_served &= inner.admission.budget().is_served();
        }
        self.ready.fetch_or(is_served, Ordering::Relaxed);
    }

    /// Registers a budget that belongs to no customer, and marks its share as due
    /// for refresh.
    pub(crate) fn refresh(&self, now: Time, budget: &Name) {
        self.budget(now, budget).inner.lock().admission.mark_due();
    }

    /// Returns whether, at some time since the start, a lender had answered for
    /// every customer that was known then.
    ///
    /// It never reverts to false, so that adding a customer does not fail the
    /// health check of every router.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the borrow requests to the cell leader that are due.
    pub(crate) fn borrow_requests(&self, now: Time) -> Vec<(Name, BorrowRequest)> {
        let mut borrow_requests = Vec::new();
        for (customer, budget) in self.snapshot() {
            let mut inner = budget.inner.lock();
            inner.admission.tick(now);
            inner.deliver_decisions(now);
            if inner.admission.is_due(now) {
                borrow_requests.push((customer, inner.admission.borrow_request(now)));
            }
        }
        borrow_requests
    }

    /// Applies the cell leader's replies.
    pub(crate) fn handle_replies(&self, now: Time, replies: Vec<(Name, Reply)>) {
        for (customer, reply) in replies {
            let budget = self.budget(now, &customer);
            let mut inner = budget.inner.lock();
            inner.admission.handle_reply(now, &reply);
            inner.deliver_decisions(now);
            if inner.admission.is_due(now) {
                self.due.0.try_send(()).ok();
            }
        }
    }

    /// Marks requests for these customers as due immediately, because the cell
    /// leader recalled credit.
    pub(crate) fn mark_due(&self, now: Time, customers: &[Name]) {
        for customer in customers {
            self.budget(now, customer).inner.lock().admission.mark_due();
        }
        self.due.0.try_send(()).ok();
    }

    /// Returns whether any request is waiting.
    pub(crate) fn is_waiting(&self) -> bool {
        let budgets = self.budgets.read();
        budgets
            .values()
            .any(|b| b.inner.lock().admission.is_waiting())
    }

    /// Returns the share of the data centre while disconnected, as last received.
    pub(crate) fn share(&self, now: Time, customer: &Name) -> Share {
        let budget = self.budget(now, customer);
        let inner = budget.inner.lock();
        inner.admission.budget().share()
    }

    /// Returns the budgets as JSON, for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let snapshot = self.snapshot().into_iter();
        let budgets: BTreeMap<Name, serde_json::Value> = snapshot
            .map(|(customer, budget)| {
                let inner = budget.inner.lock();
                let budget = serde_json::to_value(&inner.admission).unwrap_or_default();
                (customer, budget)
            })
            .collect();
        serde_json::to_value(budgets).unwrap_or_default()
    }

    fn snapshot(&self) -> Vec<(Name, Arc<CustomerBudget>)> {
        let budgets = self.budgets.read();
        budgets
            .iter()
            .map(|(n, b)| (n.clone(), b.clone()))
            .collect()
    }

    fn budget(&self, now: Time, customer: &Name) -> Arc<CustomerBudget> {
        if let Some(budget) = self.budgets.read().get(customer) {
            return budget.clone();
        }
        let refill = Refill::PerSecond(0);
        let make = || {
            let budget = RouterBudget::new(now, self.incarnation, refill, Timing::default());
            let mut admission = Admission::new(budget, MAX_WAIT);
            admission.mark_due();
            let waiting = HashMap::new();
            let inner = Mutex::new(Inner { admission, waiting });
            Arc::new(CustomerBudget { inner })
        };
        let mut budgets = self.budgets.write();
        budgets.entry(customer.clone()).or_insert_with(make).clone()
    }

    fn request(&self, now: Time, customer: &Name, tokens: u64) -> ChargeRequest {
        let budget = self.budget(now, customer);
        let mut inner = budget.inner.lock();
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        if let Some(decision) = inner.admission.request(now, id, tokens) {
            return ChargeRequest::Decided(decision);
        }
        let (sender, receiver) = async_channel::bounded(1);
        inner.waiting.insert(id, sender);
        drop(inner);
        self.due.0.try_send(()).ok();
        ChargeRequest::Waiting(PendingCharge {
            budget,
            id,
            receiver,
        })
    }
}

/// Budgets that belong to no customer.
impl SharedLimiter {
    /// Charges tokens to a budget.
    pub(crate) async fn charge(&self, now: Time, budget: &Name, tokens: u64) -> Decision {
        self.request(now, budget, tokens).decision().await
    }

    /// Settles a charge and refunds the unused tokens.
    pub(crate) fn settle_charge(&self, now: Time, budget: &Name, charge: Charge, used: u64) {
        let budget = self.budget(now, budget);
        budget.inner.lock().admission.settle(now, charge, used);
    }
}

enum ChargeRequest {
    Decided(Decision),
    Waiting(PendingCharge),
}

impl ChargeRequest {
    async fn decision(self) -> Decision {
        match self {
            Self::Decided(decision) => decision,
            Self::Waiting(pending) => {
                let received = pending.receiver.recv().await;
                received.unwrap_or(Err(Denial::Unavailable(MAX_WAIT)))
            }
        }
    }
}

/// Cancels a waiting request when its caller disconnects.
struct PendingCharge {
    budget: Arc<CustomerBudget>,
    id: u64,
    receiver: Receiver<Decision>,
}

impl Drop for PendingCharge {
    fn drop(&mut self) {
        let mut inner = self.budget.inner.lock();
        if inner.waiting.remove(&self.id).is_some() {
            inner.admission.cancel(self.id);
        }
    }
}

impl Limiter for SharedLimiter {
    fn reserve<'a>(&'a self, now: Time, customer: &'a Customer, tokens: u64) -> ReserveFuture<'a> {
        let requested = self.request(now, &customer.name, tokens);
        Box::pin(async move {
            let decision = requested.decision().await;
            decision.map(|charge| Reservation {
                customer: customer.name.clone(),
                tokens,
                charge: Some(charge),
            })
        })
    }

    fn settle(&self, now: Time, reservation: Reservation, used: u64) {
        let Some(charge) = reservation.charge else {
            return;
        };
        let budget = self.budget(now, &reservation.customer);
        budget.inner.lock().admission.settle(now, charge, used);
    }
}

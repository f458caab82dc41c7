use super::{Limiter, Reservation, Reserving};
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

/// How long a request that the purse does not cover waits for the round trip
/// to the owner.
const PATIENCE: Duration = Duration::from_millis(500);

/// The part of a burst that each router holds for a customer in use, for the
/// time in which a cell elects another leader.
const RESERVE_PART: u64 = 64;

/// The budget of one customer on this router.
struct CustomerBudget {
    inner: Mutex<Inner>,
}

struct Inner {
    admission: Admission,
    waiting: HashMap<u64, Sender<Decision>>,
}

impl Inner {
    /// Tells waiting requests what was decided.
    fn poll(&mut self, now: Time) {
        let mut decided = Vec::new();
        self.admission.poll(now, &mut decided);
        for (id, decision) in decided {
            let sender = self.waiting.remove(&id);
            let is_told = sender.is_some_and(|s| s.try_send(decision).is_ok());
            if let (false, Ok(charge)) = (is_told, decision) {
                self.admission.settle(now, charge, 0);
            }
        }
    }
}

/// Limits customers by budgets that all routers share.
///
/// Most requests are charged to credit that the router holds already; others
/// wait for the cell leader and the owner. See
/// [docs/design/budgets.md](../../../../docs/design/budgets.md).
pub(crate) struct SharedLimiter {
    incarnation: u64,
    budgets: RwLock<HashMap<Name, Arc<CustomerBudget>>>,
    next: AtomicU64,
    /// Whether a lender has answered for every customer once.
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
            next: AtomicU64::new(1),
            ready: AtomicBool::new(false),
            due: async_channel::bounded(1),
        }
    }

    /// Waits until the cell leader should be asked at once.
    pub(crate) async fn wait_until_due(&self) {
        self.due.1.recv().await.ok();
    }

    /// Takes in the customers, so that their budgets are known to the lenders
    /// before the first request.
    pub(crate) fn know<'a, I>(&self, now: Time, customers: I)
    where
        I: Iterator<Item = &'a Customer>,
    {
        let mut is_served = true;
        for customer in customers {
            let budget = self.budget(now, &customer.name);
            let reserve = customer.burst / RESERVE_PART;
            let mut inner = budget.inner.lock();
            inner.admission.set_reserve(reserve);
            is_served &= inner.admission.budget().is_served();
        }
        self.ready.fetch_or(is_served, Ordering::Relaxed);
    }

    /// Takes in a budget that no customer has, and asks for its share again.
    pub(crate) fn refresh(&self, now: Time, budget: &Name) {
        self.budget(now, budget).inner.lock().admission.mark_due();
    }

    /// Reports whether, at one moment since the start, a lender had answered
    /// for every customer that was known then.
    ///
    /// It never turns back: a customer who is added later does not fail the
    /// health check of every router.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the messages for the cell leader that are due.
    pub(crate) fn asks(&self, now: Time) -> Vec<(Name, BorrowRequest)> {
        let mut asks = Vec::new();
        for (customer, budget) in self.all() {
            let mut inner = budget.inner.lock();
            inner.admission.tick(now);
            inner.poll(now);
            if inner.admission.is_due(now) {
                asks.push((customer, inner.admission.borrow_request(now)));
            }
        }
        asks
    }

    /// Takes in the cell leader's answers.
    pub(crate) fn hear(&self, now: Time, replies: Vec<(Name, Reply)>) {
        for (customer, reply) in replies {
            let budget = self.budget(now, &customer);
            let mut inner = budget.inner.lock();
            inner.admission.handle_reply(now, &reply);
            inner.poll(now);
            if inner.admission.is_due(now) {
                self.due.0.try_send(()).ok();
            }
        }
    }

    /// Has the cell leader asked about these customers, because it told us to
    /// return credit.
    pub(crate) fn poke(&self, now: Time, customers: &[Name]) {
        for customer in customers {
            self.budget(now, customer).inner.lock().admission.mark_due();
        }
        self.due.0.try_send(()).ok();
    }

    /// Reports whether a request waits.
    pub(crate) fn is_waiting(&self) -> bool {
        let budgets = self.budgets.read();
        budgets
            .values()
            .any(|b| b.inner.lock().admission.is_waiting())
    }

    /// Returns the cut-off share of the data centre, as last heard.
    pub(crate) fn share(&self, now: Time, customer: &Name) -> Share {
        let budget = self.budget(now, customer);
        let inner = budget.inner.lock();
        inner.admission.budget().share()
    }

    /// Returns the purses as JSON, for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let all = self.all().into_iter();
        let purses: BTreeMap<Name, serde_json::Value> = all
            .map(|(customer, budget)| {
                let inner = budget.inner.lock();
                let purse = serde_json::to_value(&inner.admission).unwrap_or_default();
                (customer, purse)
            })
            .collect();
        serde_json::to_value(purses).unwrap_or_default()
    }

    fn all(&self) -> Vec<(Name, Arc<CustomerBudget>)> {
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
            let purse = RouterBudget::new(now, self.incarnation, refill, Timing::default());
            let mut admission = Admission::new(purse, PATIENCE);
            admission.mark_due();
            let waiting = HashMap::new();
            let inner = Mutex::new(Inner { admission, waiting });
            Arc::new(CustomerBudget { inner })
        };
        let mut budgets = self.budgets.write();
        budgets.entry(customer.clone()).or_insert_with(make).clone()
    }

    fn request(&self, now: Time, customer: &Name, tokens: u64) -> Requested {
        let budget = self.budget(now, customer);
        let mut inner = budget.inner.lock();
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        if let Some(decision) = inner.admission.request(now, id, tokens) {
            return Requested::Decided(decision);
        }
        let (sender, receiver) = async_channel::bounded(1);
        inner.waiting.insert(id, sender);
        drop(inner);
        self.due.0.try_send(()).ok();
        Requested::Waits(Waiter {
            budget,
            id,
            receiver,
        })
    }
}

/// Budgets that no customer has.
impl SharedLimiter {
    /// Takes tokens of a budget.
    pub(crate) async fn take(&self, now: Time, budget: &Name, tokens: u64) -> Decision {
        self.request(now, budget, tokens).decided().await
    }

    /// Gives back tokens that were taken and not used.
    pub(crate) fn end(&self, now: Time, budget: &Name, charge: Charge, used: u64) {
        let budget = self.budget(now, budget);
        budget.inner.lock().admission.settle(now, charge, used);
    }
}

enum Requested {
    Decided(Decision),
    Waits(Waiter),
}

impl Requested {
    async fn decided(self) -> Decision {
        match self {
            Self::Decided(decision) => decision,
            Self::Waits(waiter) => {
                let received = waiter.receiver.recv().await;
                received.unwrap_or(Err(Denial::Unavailable(PATIENCE)))
            }
        }
    }
}

/// Forgets a waiting request when its caller has left.
struct Waiter {
    budget: Arc<CustomerBudget>,
    id: u64,
    receiver: Receiver<Decision>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut inner = self.budget.inner.lock();
        if inner.waiting.remove(&self.id).is_some() {
            inner.admission.cancel(self.id);
        }
    }
}

impl Limiter for SharedLimiter {
    fn reserve<'a>(&'a self, now: Time, customer: &'a Customer, tokens: u64) -> Reserving<'a> {
        let requested = self.request(now, &customer.name, tokens);
        Box::pin(async move {
            let decision = requested.decided().await;
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

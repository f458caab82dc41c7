use crate::{Controller, RouterState, peers::PeerLink};
use futures_lite::FutureExt;
use sequoiawing_link::{BudgetBatch, ControlClient, Stub};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_types::Time;
use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// How often what is due is looked at.
const INTERVAL: Duration = Duration::from_millis(20);

/// How often what is due is looked at while a request waits.
const WAIT_INTERVAL: Duration = Duration::from_millis(3);

/// How long a call to a lender may take.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// How long a lender may hold back its answer until it recalls credit.
const RECALL_WAIT: Duration = Duration::from_secs(2);

/// How long a call for recalls may take.
const RECALL_LIMIT: Duration = Duration::from_secs(3);

/// How long to wait after a lender did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How often a router asks for the cut-off shares of the store's budgets, which
/// it has to know when it leads next.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// The most calls to one lender that are open at once.
const OPEN_CALLS: usize = 4;

/// Exchanges credit with the cell leader and, while this host leads, with the
/// owner.
pub(crate) struct ExchangeBudgets {
    state: Arc<RouterState>,
}

impl ExchangeBudgets {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }
}

/// Sends what is due to the cell leader.
async fn exchange_below(state: Arc<RouterState>) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut refreshed = Time::ZERO;
    loop {
        let pause = if state.purses.is_waiting() {
            WAIT_INTERVAL
        } else {
            INTERVAL
        };
        state.purses.wait_until_due().or(sleep(pause)).await;
        let now = state.now();
        let tables = state.tables.get();
        if tables.revision.0 > 0 {
            state
                .purses
                .register_customers(now, tables.customers.values());
        }
        if now >= refreshed + SHARE_INTERVAL {
            refreshed = now;
            for (budget, ..) in tables.store.budgets() {
                state.purses.refresh(now, &budget);
            }
        }
        if open.load(Ordering::Relaxed) >= OPEN_CALLS {
            continue;
        }
        let asks = state.purses.borrow_requests(now);
        if asks.is_empty() {
            continue;
        }
        let borrower = state.settings.host.clone();
        let batch = BudgetBatch { borrower, asks };
        if state.lease().is_some() {
            let replies = state.lend(batch);
            state
                .purses
                .handle_replies(state.now(), replies.unwrap_or_default());
            continue;
        }
        let Some(leader) = leader(&state) else {
            continue;
        };
        open.fetch_add(1, Ordering::Relaxed);
        let state = state.clone();
        let open = open.clone();
        spawn(async move {
            let call = leader.stub.call(CALL_LIMIT, |client, context| async move {
                client.lend(context, batch).await
            });
            if let Ok(Some(replies)) = call.await {
                state.purses.handle_replies(state.now(), replies);
            }
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

fn leader(state: &RouterState) -> Option<PeerLink> {
    let host = state.leader.read().clone()?;
    state.peers.get(&host)
}

/// Sends what is due to the owner, while this host leads its cell.
async fn exchange_above(state: Arc<RouterState>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        sleep(WAIT_INTERVAL).await;
        if open.load(Ordering::Relaxed) >= OPEN_CALLS {
            continue;
        }
        let Some(batch) = state.owner_batch() else {
            continue;
        };
        open.fetch_add(1, Ordering::Relaxed);
        let state = state.clone();
        let open = open.clone();
        spawn(async move {
            ask_owner(&state, batch).await;
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Asks the controller that answered as the owner last, and marks the next one
/// when it does not any more.
async fn ask_owner(state: &RouterState, batch: BudgetBatch) {
    let Some((index, stub)) = owner(state) else {
        return;
    };
    let call = stub.call(CALL_LIMIT, |client, context| async move {
        client.lend(context, batch).await
    });
    let Ok(Some(replies)) = call.await else {
        let next = (index + 1) % state.control.len();
        let owner = &state.budgets.owner;
        let (done, failed) = (Ordering::Relaxed, Ordering::Relaxed);
        owner.compare_exchange(index, next, done, failed).ok();
        return;
    };
    state.lead(|state, led| {
        let now = state.now();
        for (budget, reply) in &replies {
            led.hear(now, budget, reply);
        }
    });
    let recalls = &state.budgets.recalls;
    recalls.set(recalls.get() + 1);
}

fn owner(state: &RouterState) -> Option<(usize, &Stub<ControlClient>)> {
    let index = state.budgets.owner.load(Ordering::Relaxed);
    state.control.get(index).map(|s| (index, s))
}

/// Waits for the cell leader to recall credit.
async fn follow_leader(state: Arc<RouterState>) {
    loop {
        let is_leading = state.lease().is_some();
        let host = state.settings.host.clone();
        let wait = u64::try_from(RECALL_WAIT.as_millis()).unwrap_or(u64::MAX);
        let recalled = if is_leading {
            state.recalled(&host, RECALL_WAIT).await
        } else if let Some(leader) = leader(&state) {
            let call = leader
                .stub
                .call(RECALL_LIMIT, |client, context| async move {
                    client.recalled(context, host, wait).await
                });
            let Ok(recalled) = call.await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            recalled
        } else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        if !recalled.is_empty() {
            state.purses.mark_due(state.now(), &recalled);
            sleep(WAIT_INTERVAL).await;
        }
    }
}

/// Waits for the owner to recall credit, while this host leads its cell.
async fn follow_owner(state: Arc<RouterState>) {
    loop {
        let owner = owner(&state).map(|(_, stub)| stub.clone());
        let (Some(stub), Some(_)) = (owner, state.lease()) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let centre = state.settings.centre.clone();
        let wait = u64::try_from(RECALL_WAIT.as_millis()).unwrap_or(u64::MAX);
        let call = stub.call(RECALL_LIMIT, |client, context| async move {
            client.recalled(context, centre, wait).await
        });
        let Ok(recalled) = call.await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        state.lead(|_, led| {
            for budget in &recalled {
                led.poke(budget);
            }
        });
        sleep(WAIT_INTERVAL).await;
    }
}

impl Controller for ExchangeBudgets {
    fn name(&self) -> &'static str {
        "budget"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let below = spawn(exchange_below(self.state.clone()));
            let above = spawn(exchange_above(self.state.clone()));
            let leader = spawn(follow_leader(self.state.clone()));
            let owner = spawn(follow_owner(self.state));
            shutdown.wait().await;
            for task in [below, above, leader, owner] {
                task.cancel().await;
            }
        })
    }
}

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

/// How often due messages are sent.
const INTERVAL: Duration = Duration::from_millis(20);

/// How often due messages are sent while a request is waiting for credit.
const WAIT_INTERVAL: Duration = Duration::from_millis(3);

/// The timeout of a call to a lender.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a lender may delay its reply until it recalls credit.
const RECALL_WAIT: Duration = Duration::from_secs(2);

/// The timeout of a call for recalls.
const RECALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay after a failed call for recalls, or when there is no lender.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How often a router requests the shares of the store's budgets that apply to a
/// disconnected data centre, which it needs if it becomes the leader.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of concurrent calls to one lender.
const MAX_OPEN_CALLS: usize = 4;

/// Exchanges credit with the cell leader and, while this host is the leader, with
/// the owner of the budgets.
pub(crate) struct ExchangeBudgets {
    state: Arc<RouterState>,
}

impl ExchangeBudgets {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }
}

/// Sends due messages to the cell leader.
async fn exchange_with_leader(state: Arc<RouterState>) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut last_refresh = Time::ZERO;
    loop {
        let interval = if state.router_budgets.is_waiting() {
            WAIT_INTERVAL
        } else {
            INTERVAL
        };
        state
            .router_budgets
            .wait_until_due()
            .or(sleep(interval))
            .await;
        let now = state.now();
        let tables = state.tables.get();
        if tables.revision.0 > 0 {
            state
                .router_budgets
                .register_customers(now, tables.customers.values());
        }
        if now >= last_refresh + SHARE_INTERVAL {
            last_refresh = now;
            for (budget, ..) in tables.store.budgets() {
                state.router_budgets.refresh(now, &budget);
            }
        }
        if open.load(Ordering::Relaxed) >= MAX_OPEN_CALLS {
            continue;
        }
        let requests = state.router_budgets.borrow_requests(now);
        if requests.is_empty() {
            continue;
        }
        let borrower = state.settings.host.clone();
        let batch = BudgetBatch {
            borrower,
            asks: requests,
        };
        if state.lease().is_some() {
            let replies = state.lend(batch);
            state
                .router_budgets
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
            let call = leader
                .stub
                .call(CALL_TIMEOUT, |client, context| async move {
                    client.lend(context, batch).await
                });
            if let Ok(Some(replies)) = call.await {
                state.router_budgets.handle_replies(state.now(), replies);
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

/// Sends due messages to the owner while this host leads its cell.
async fn exchange_with_owner(state: Arc<RouterState>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        sleep(WAIT_INTERVAL).await;
        if open.load(Ordering::Relaxed) >= MAX_OPEN_CALLS {
            continue;
        }
        let Some(batch) = state.owner_batch() else {
            continue;
        };
        open.fetch_add(1, Ordering::Relaxed);
        let state = state.clone();
        let open = open.clone();
        spawn(async move {
            send_to_owner(&state, batch).await;
            open.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

/// Sends a batch to the controller that last replied as the owner, and switches to
/// the next controller if it no longer does.
async fn send_to_owner(state: &RouterState, batch: BudgetBatch) {
    let Some((index, stub)) = owner(state) else {
        return;
    };
    let call = stub.call(CALL_TIMEOUT, |client, context| async move {
        client.lend(context, batch).await
    });
    let Ok(Some(replies)) = call.await else {
        let next_index = (index + 1) % state.controllers.len();
        let owner = &state.centre_budgets.owner;
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        owner
            .compare_exchange(index, next_index, success, failure)
            .ok();
        return;
    };
    state.with_leader_budgets(|state, budgets| {
        let now = state.now();
        for (budget, reply) in &replies {
            budgets.handle_reply(now, budget, reply);
        }
    });
    let recalls = &state.centre_budgets.recalls;
    recalls.set(recalls.get() + 1);
}

fn owner(state: &RouterState) -> Option<(usize, &Stub<ControlClient>)> {
    let index = state.centre_budgets.owner.load(Ordering::Relaxed);
    state.controllers.get(index).map(|s| (index, s))
}

/// Waits for the cell leader to recall credit.
async fn poll_leader_recalls(state: Arc<RouterState>) {
    loop {
        let is_leading = state.lease().is_some();
        let host = state.settings.host.clone();
        let wait = u64::try_from(RECALL_WAIT.as_millis()).unwrap_or(u64::MAX);
        let recalled = if is_leading {
            state.recalled(&host, RECALL_WAIT).await
        } else if let Some(leader) = leader(&state) {
            let call = leader
                .stub
                .call(RECALL_TIMEOUT, |client, context| async move {
                    client.recalled(context, host, wait).await
                });
            let Ok(recalled) = call.await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            recalled
        } else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if !recalled.is_empty() {
            state.router_budgets.mark_due(state.now(), &recalled);
            sleep(WAIT_INTERVAL).await;
        }
    }
}

/// Waits for the owner to recall credit, while this host leads its cell.
async fn poll_owner_recalls(state: Arc<RouterState>) {
    loop {
        let owner = owner(&state).map(|(_, stub)| stub.clone());
        let (Some(stub), Some(_)) = (owner, state.lease()) else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let centre = state.settings.centre.clone();
        let wait = u64::try_from(RECALL_WAIT.as_millis()).unwrap_or(u64::MAX);
        let call = stub.call(RECALL_TIMEOUT, |client, context| async move {
            client.recalled(context, centre, wait).await
        });
        let Ok(recalled) = call.await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        state.with_leader_budgets(|_, budgets| {
            for budget in &recalled {
                budgets.mark_due(budget);
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
            let leader_exchange = spawn(exchange_with_leader(self.state.clone()));
            let owner_exchange = spawn(exchange_with_owner(self.state.clone()));
            let leader_recalls = spawn(poll_leader_recalls(self.state.clone()));
            let owner_recalls = spawn(poll_owner_recalls(self.state));
            shutdown.wait().await;
            for task in [
                leader_exchange,
                owner_exchange,
                leader_recalls,
                owner_recalls,
            ] {
                task.cancel().await;
            }
        })
    }
}

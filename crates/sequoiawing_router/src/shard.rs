use async_channel::{Receiver, Sender};
use event_listener::Event;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use parking_lot::Mutex;
use sequoiawing_fleet::{Demand, UpstreamState};
use sequoiawing_policy::{
    DispatchAction, DispatchEvent, DispatchRequest, DispatchSettings, Dispatcher, Refusal,
};
use sequoiawing_runtime::Clock;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The dispatcher's decision on a waiting request.
#[derive(Clone, Debug)]
enum DispatchDecision {
    Assigned(Name, u32),
    Refused(Refusal, Duration),
}

struct Inner {
    dispatcher: Dispatcher,
    addresses: BTreeMap<Name, SocketAddr>,
    replies: HashMap<u64, Sender<DispatchDecision>>,
}

/// The dispatcher of one pool, with its own lock.
pub(crate) struct PoolShard {
    inner: Mutex<Inner>,
    pool: Name,
    demands: Sender<Demand>,
    clock: Clock,
    removed: Event,
}

impl PoolShard {
    pub(crate) fn new(settings: DispatchSettings, clock: Clock, demands: Sender<Demand>) -> Self {
        let pool = settings.pool.clone();
        let inner = Mutex::new(Inner {
            dispatcher: Dispatcher::new(settings),
            addresses: BTreeMap::new(),
            replies: HashMap::new(),
        });
        Self {
            inner,
            pool,
            demands,
            clock,
            removed: Event::new(),
        }
    }

    /// Returns the name of the pool.
    pub(crate) fn pool(&self) -> &Name {
        &self.pool
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.inner.lock().dispatcher.waiting()
    }

    /// Applies the state of an upstream of the pool.
    pub(crate) fn announce(&self, state: Arc<UpstreamState>) {
        let mut inner = self.inner.lock();
        if let Some(address) = state.address {
            inner.addresses.insert(state.name.clone(), address);
        }
        self.handle(&mut inner, DispatchEvent::Announced(state));
    }

    /// Removes an upstream.
    pub(crate) fn remove(&self, upstream: Name) {
        let mut inner = self.inner.lock();
        inner.addresses.remove(&upstream);
        self.handle(&mut inner, DispatchEvent::Gone { upstream });
        drop(inner);
        self.removed.notify(usize::MAX);
    }

    /// Waits until an upstream has been removed.
    pub(crate) async fn wait_removed(&self, upstream: &Name) {
        loop {
            let listener = self.removed.listen();
            if !self.inner.lock().addresses.contains_key(upstream) {
                return;
            }
            listener.await;
        }
    }

    /// Passes any other event to the dispatcher.
    pub(crate) fn handle_event(&self, event: DispatchEvent) {
        self.handle(&mut self.inner.lock(), event);
    }

    /// Waits until the dispatcher assigns an upstream to the request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the time after which to retry. Nothing
    /// was sent to an upstream.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: DispatchRequest,
    ) -> Result<Assignment, (Refusal, Duration)> {
        let (sender, receiver) = async_channel::bounded(1);
        let id = request.id;
        let waiting = WaitingRequest {
            shard: self.clone(),
            id,
            receiver,
        };
        {
            let mut inner = self.inner.lock();
            inner.replies.insert(request.id, sender);
            self.handle(&mut inner, DispatchEvent::Arrived(request));
        }
        let decision = waiting.receiver.recv().await;
        match decision {
            Ok(DispatchDecision::Assigned(upstream, priority)) => {
                self.assignment(id, upstream, priority)
            }
            Ok(DispatchDecision::Refused(reason, retry)) => Err((reason, retry)),
            Err(_) => Err((Refusal::NoUpstream, Duration::ZERO)),
        }
    }

    fn assignment(
        self: &Arc<Self>,
        id: u64,
        upstream: Name,
        priority: u32,
    ) -> Result<Assignment, (Refusal, Duration)> {
        let address = self.inner.lock().addresses.get(&upstream).copied();
        let Some(address) = address else {
            let healthy = true;
            self.handle_event(DispatchEvent::Finished { id, healthy });
            return Err((Refusal::NoUpstream, Duration::ZERO));
        };
        Ok(Assignment {
            shard: self.clone(),
            id,
            upstream,
            address,
            health: Health::default(),
            priority,
        })
    }

    fn handle(&self, inner: &mut Inner, event: DispatchEvent) {
        let mut actions = Vec::new();
        let now = self.now();
        inner.dispatcher.handle(now, event, &mut actions);
        for action in actions {
            match action {
                DispatchAction::Assign {
                    id,
                    upstream,
                    priority,
                } => {
                    send_decision(inner, id, DispatchDecision::Assigned(upstream, priority));
                }
                DispatchAction::Refuse { id, reason, retry } => {
                    send_decision(inner, id, DispatchDecision::Refused(reason, retry));
                }
                DispatchAction::SendDemand(demand) => {
                    self.demands.try_send(demand).ok();
                }
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }
}

/// Sends a decision to the request. If it is not received, dropping the
/// [`WaitingRequest`] releases its slot.
fn send_decision(inner: &mut Inner, id: u64, decision: DispatchDecision) {
    if let Some(sender) = inner.replies.remove(&id) {
        sender.try_send(decision).ok();
    }
}

/// A waiting request, which is removed from the queue when dropped.
struct WaitingRequest {
    shard: Arc<PoolShard>,
    id: u64,
    receiver: Receiver<DispatchDecision>,
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut inner = self.shard.inner.lock();
        if inner.replies.remove(&self.id).is_some() {
            let id = self.id;
            self.shard
                .handle(&mut inner, DispatchEvent::Cancelled { id });
        }
        if let Ok(DispatchDecision::Assigned(..)) = self.receiver.try_recv() {
            let id = self.id;
            let healthy = true;
            let finished = DispatchEvent::Finished { id, healthy };
            self.shard.handle(&mut inner, finished);
        }
    }
}

/// Whether the upstream of an assignment has failed the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health(Arc<AtomicBool>);

impl Health {
    /// Records that the upstream failed the request.
    pub(crate) fn mark_failed(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_healthy(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

/// A slot on an upstream, which is released when dropped.
pub(crate) struct Assignment {
    shard: Arc<PoolShard>,
    id: u64,
    /// The name of the upstream.
    pub(crate) upstream: Name,
    /// The address at which the upstream accepts requests.
    pub(crate) address: SocketAddr,
    health: Health,
    priority: u32,
}

/// The header with the priority of a request for engines that support priorities.
/// 0 is the highest priority.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("sequoiawing-priority");

impl Assignment {
    /// Adds the request's priority to its headers.
    pub(crate) fn add_priority(&self, headers: &mut HeaderMap) {
        headers.insert(PRIORITY_HEADER, HeaderValue::from(self.priority));
    }

    /// Returns the health record of the upstream, which outlives the slot.
    pub(crate) fn health(&self) -> Health {
        self.health.clone()
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let id = self.id;
        let healthy = self.health.is_healthy();
        self.shard
            .handle_event(DispatchEvent::Finished { id, healthy });
    }
}

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

/// What a waiting request is told.
#[derive(Clone, Debug)]
enum Verdict {
    Assigned(Name, u32),
    Refused(Refusal, Duration),
}

struct Inner {
    dispatcher: Dispatcher,
    addresses: BTreeMap<Name, SocketAddr>,
    replies: HashMap<u64, Sender<Verdict>>,
}

/// The dispatcher of one pool under its own lock.
pub(crate) struct PoolShard {
    inner: Mutex<Inner>,
    pool: Name,
    demands: Sender<Demand>,
    clock: Clock,
    gone: Event,
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
            gone: Event::new(),
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

    /// Takes in an announcement of an upstream of the pool.
    pub(crate) fn announce(&self, state: Arc<UpstreamState>) {
        let mut inner = self.inner.lock();
        if let Some(address) = state.address {
            inner.addresses.insert(state.name.clone(), address);
        }
        self.handle(&mut inner, DispatchEvent::Announced(state));
    }

    /// Forgets an upstream.
    pub(crate) fn remove(&self, upstream: Name) {
        let mut inner = self.inner.lock();
        inner.addresses.remove(&upstream);
        self.handle(&mut inner, DispatchEvent::Gone { upstream });
        drop(inner);
        self.gone.notify(usize::MAX);
    }

    /// Waits until an upstream is no longer alive.
    pub(crate) async fn wait_gone(&self, upstream: &Name) {
        loop {
            let listener = self.gone.listen();
            if !self.inner.lock().addresses.contains_key(upstream) {
                return;
            }
            listener.await;
        }
    }

    /// Takes in any other event.
    pub(crate) fn event(&self, event: DispatchEvent) {
        self.handle(&mut self.inner.lock(), event);
    }

    /// Waits for an upstream for the work.
    ///
    /// # Errors
    ///
    /// Returns the reason and when to ask again; nothing was sent.
    pub(crate) async fn wait(
        self: &Arc<Self>,
        work: DispatchRequest,
    ) -> Result<Assignment, (Refusal, Duration)> {
        let (sender, receiver) = async_channel::bounded(1);
        let id = work.id;
        let ticket = Ticket {
            shard: self.clone(),
            id,
            receiver,
        };
        {
            let mut inner = self.inner.lock();
            inner.replies.insert(work.id, sender);
            self.handle(&mut inner, DispatchEvent::Arrived(work));
        }
        let verdict = ticket.receiver.recv().await;
        match verdict {
            Ok(Verdict::Assigned(upstream, priority)) => self.assignment(id, upstream, priority),
            Ok(Verdict::Refused(reason, retry)) => Err((reason, retry)),
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
            self.event(DispatchEvent::Finished { id, healthy });
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
                    reply(inner, id, Verdict::Assigned(upstream, priority));
                }
                DispatchAction::Refuse { id, reason, retry } => {
                    reply(inner, id, Verdict::Refused(reason, retry));
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

/// Hands a verdict to the request; its ticket settles one that is not taken.
fn reply(inner: &mut Inner, id: u64, verdict: Verdict) {
    if let Some(sender) = inner.replies.remove(&id) {
        sender.try_send(verdict).ok();
    }
}

/// A waiting request; dropping it takes the request out of the queue.
struct Ticket {
    shard: Arc<PoolShard>,
    id: u64,
    receiver: Receiver<Verdict>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut inner = self.shard.inner.lock();
        if inner.replies.remove(&self.id).is_some() {
            let id = self.id;
            self.shard
                .handle(&mut inner, DispatchEvent::Cancelled { id });
        }
        if let Ok(Verdict::Assigned(..)) = self.receiver.try_recv() {
            let id = self.id;
            let healthy = true;
            let finished = DispatchEvent::Finished { id, healthy };
            self.shard.handle(&mut inner, finished);
        }
    }
}

/// Whether the upstream of an assignment did its part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health(Arc<AtomicBool>);

impl Health {
    /// Notes that the upstream failed the request.
    pub(crate) fn fail(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_healthy(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

/// A slot on an upstream; dropping it frees the slot.
pub(crate) struct Assignment {
    shard: Arc<PoolShard>,
    id: u64,
    /// The upstream.
    pub(crate) upstream: Name,
    /// Where it takes requests.
    pub(crate) address: SocketAddr,
    health: Health,
    priority: u32,
}

/// The header by which engines that honour priorities learn a request's: 0 is
/// served first.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("sequoiawing-priority");

impl Assignment {
    /// Adds the request's priority to its headers.
    pub(crate) fn mark(&self, headers: &mut HeaderMap) {
        headers.insert(PRIORITY_HEADER, HeaderValue::from(self.priority));
    }

    /// Returns the note of how the upstream did, which outlives the slot.
    pub(crate) fn health(&self) -> Health {
        self.health.clone()
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        let id = self.id;
        let healthy = self.health.is_healthy();
        self.shard.event(DispatchEvent::Finished { id, healthy });
    }
}

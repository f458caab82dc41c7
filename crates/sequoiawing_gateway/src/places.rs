//! This gateway's places at brittle upstreams.

use crate::GatewayState;
use event_listener::Event;
use futures_lite::FutureExt;
use parking_lot::Mutex;
use sequoiawing_link::{
    HubClient, PlaceCall, PlaceInUse, PlaceReply, PlaceRequest, PlaceTarget, PlacesInUse, Secret,
    Stub,
};
use sequoiawing_policy::serving::{
    Assignment, BalancerRequest, EndedPlace, PlaceCandidate, PlaceHolder,
};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_types::Time;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Timeout of a call for a place. A request that waits for longer is late at its upstream.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// How long no place is asked for after a call failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// How often the hub is told which places are in use.
const HELD_INTERVAL: Duration = Duration::from_secs(1);

/// How long ended places are collected before the hub is told of them.
const END_DELAY: Duration = Duration::from_millis(2);

/// The calls for one place: to a hub that may no longer lead, and to the one that does.
const MAX_CALLS: usize = 2;

/// What this gateway knows of its places and of the hub that gives them out.
#[derive(Default)]
pub(crate) struct Places {
    holder: Mutex<PlaceHolder>,
    keeper: Mutex<Keeper>,
    /// Notified when a place has ended.
    ended: Event,
}

/// The hub that gives out places, on a connection of its own: calls must not wait behind
/// reports.
#[derive(Default)]
struct Keeper {
    stub: Option<Stub<HubClient>>,
    /// Whether the last call was answered by a hub that gives out places.
    is_reached: bool,
    /// Until when no place is asked for.
    paused: Time,
}

/// The outcome of a search for a place.
pub(crate) enum PlaceSearch {
    /// The request may be sent to this upstream, with the number of its place.
    Found(Assignment, u64),
    /// No upstream has a place; holds the time after which the caller may come back.
    Crowded(Duration),
    /// The hub that gives out places is out of reach, and this gateway's own part of the
    /// upstreams' slots is used.
    Alone,
}

/// Ends the wait for a place when dropped.
struct Asked<'a> {
    state: &'a GatewayState,
    id: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        self.state.places.holder.lock().give_up(self.id);
    }
}

impl GatewayState {
    /// Looks for a place at one of the brittle upstreams that could serve a request.
    pub(crate) async fn find_place(
        &self,
        request: &BalancerRequest,
        candidates: &[PlaceCandidate],
    ) -> PlaceSearch {
        let id = self.places.holder.lock().ask();
        let _asked = Asked { state: self, id };
        let targets = candidates.iter().map(|candidate| PlaceTarget {
            upstream: candidate.name.clone(),
            epoch: candidate.epoch,
            slots: candidate.slots,
            tolerance: candidate.tolerance,
        });
        let wanted = PlaceRequest {
            id,
            targets: targets.collect(),
        };
        let reply = self.call_keeper(Some(wanted)).await;
        let now = self.now();
        let mut balancer = self.balancer.lock();
        let assigned = match &reply {
            None => balancer.assign_alone(now, request, candidates),
            Some(reply) => {
                let candidate = reply.given.and_then(|index| candidates.get(index));
                candidate.and_then(|candidate| balancer.assign_place(now, request, candidate))
            }
        };
        drop(balancer);
        if assigned.is_none()
            && let Some(candidate) = reply.as_ref().and_then(|r| candidates.get(r.given?))
        {
            // That start of the upstream has gone meanwhile.
            let mut holder = self.places.holder.lock();
            holder.hold(id, candidate.name.clone(), candidate.epoch);
            holder.end(id, false);
        }
        match (assigned, reply) {
            (Some(assignment), _) => {
                let (upstream, epoch) = (assignment.name.clone(), assignment.epoch);
                self.places.holder.lock().hold(id, upstream, epoch);
                PlaceSearch::Found(assignment, id)
            }
            (None, Some(reply)) => PlaceSearch::Crowded(Duration::from_millis(reply.retry)),
            (None, None) => PlaceSearch::Alone,
        }
    }

    /// Gives a place back.
    pub(crate) fn end_place(&self, id: u64, is_rejected: bool) {
        self.places.holder.lock().end(id, is_rejected);
        self.places.ended.notify(usize::MAX);
    }

    /// Tells the hub that gives out places what has ended, and asks it for a place;
    /// returns `None` if it is out of reach.
    async fn call_keeper(&self, wanted: Option<PlaceRequest>) -> Option<PlaceReply> {
        for _ in 0..MAX_CALLS {
            let stub = self.keeper_stub()?;
            let ended = self.places.holder.lock().take_ended();
            let call = self.place_call(&ended, None, wanted.clone());
            let called = stub.call(CALL_TIMEOUT, async |client: HubClient, context| {
                client.places(context, call).await
            });
            match called.await {
                Ok(reply) if reply.term > 0 => {
                    self.use_keeper(stub, &reply).await;
                    return Some(reply);
                }
                Ok(reply) => {
                    self.places.holder.lock().restore_ended(ended);
                    if !self.follow_leader(&reply) {
                        return None;
                    }
                }
                Err(error) => {
                    self.places.holder.lock().restore_ended(ended);
                    self.lose_keeper(stub.address(), &error.to_string());
                    return None;
                }
            }
        }
        None
    }

    fn place_call(
        &self,
        ended: &[EndedPlace],
        held: Option<PlacesInUse>,
        wanted: Option<PlaceRequest>,
    ) -> PlaceCall {
        PlaceCall {
            host: self.settings.host.clone(),
            incarnation: self.incarnation.get(),
            ended: ended.iter().map(|e| (e.id, e.is_rejected)).collect(),
            held,
            wanted,
        }
    }

    /// Returns the hub that gives out places, or the one that may know it; `None` just after
    /// a call failed.
    fn keeper_stub(&self) -> Option<Stub<HubClient>> {
        let now = self.now();
        let mut keeper = self.places.keeper.lock();
        if now < keeper.paused {
            return None;
        }
        if keeper.stub.is_none() {
            let hub = self.hubs.lock().leader(now)?;
            keeper.stub = Some(self.new_keeper_stub(hub));
        }
        keeper.stub.clone()
    }

    fn new_keeper_stub(&self, hub: SocketAddr) -> Stub<HubClient> {
        Stub::new(hub, Secret::from(self.settings.secret.as_str()))
    }

    /// Records that a hub gives out places. One that has just begun is told of those in
    /// use.
    async fn use_keeper(&self, stub: Stub<HubClient>, reply: &PlaceReply) {
        let was_reached = std::mem::replace(&mut self.places.keeper.lock().is_reached, true);
        if !was_reached {
            log::info!(
                target: "gateway", hub = stub.address().to_string(), term = reply.term;
                "Places at brittle upstreams are given out by this hub."
            );
        }
        if self.places.holder.lock().observe_term(reply.term) {
            self.report_places(&stub).await;
        }
    }

    /// Turns to the leader that a hub names; returns whether there is one.
    fn follow_leader(&self, reply: &PlaceReply) -> bool {
        let now = self.now();
        let mut keeper = self.places.keeper.lock();
        let former = keeper.stub.take().map(|stub| stub.address());
        let next = reply.leader.zip(former);
        let next = next.map(|(leader, former)| SocketAddr::new(leader, former.port()));
        keeper.stub = next.map(|hub| self.new_keeper_stub(hub));
        if keeper.stub.is_none() {
            keeper.paused = now + FAILURE_PAUSE;
        }
        keeper.stub.is_some()
    }

    fn lose_keeper(&self, hub: SocketAddr, cause: &str) {
        let now = self.now();
        let mut keeper = self.places.keeper.lock();
        keeper.stub = None;
        keeper.paused = now + FAILURE_PAUSE;
        if std::mem::replace(&mut keeper.is_reached, false) {
            log::warn!(
                target: "gateway", hub = hub.to_string(), cause = cause;
                "The hub that gives out places at brittle upstreams is out of reach; this gateway keeps to its part of their slots."
            );
        }
    }

    /// Tells the hub which places are in use.
    async fn report_places(&self, stub: &Stub<HubClient>) {
        let (ended, (first_new, held)) = {
            let mut holder = self.places.holder.lock();
            (holder.take_ended(), holder.held())
        };
        let places = held.into_iter().map(|place| PlaceInUse {
            id: place.id,
            upstream: place.upstream,
            epoch: place.epoch,
        });
        let held = PlacesInUse {
            first_new,
            places: places.collect(),
        };
        let call = self.place_call(&ended, Some(held), None);
        let called = stub.call(CALL_TIMEOUT, async |client: HubClient, context| {
            client.places(context, call).await
        });
        if let Err(error) = called.await {
            self.places.holder.lock().restore_ended(ended);
            log::debug!(target: "gateway", "Hub was not told of the places in use: {error}.");
        }
    }
}

/// Tells the hub that gives out places what ends and what is in use, until shutdown starts.
pub(crate) async fn report_places(state: Arc<GatewayState>, shutdown: Shutdown) {
    let mut next_held = state.now();
    loop {
        let ended = state.places.ended.listen();
        let wait = next_held.since(state.now());
        let woken = async {
            sleep(wait).or(ended).await;
            sleep(END_DELAY).await;
        };
        if shutdown.or(woken).await.is_none() {
            return;
        }
        if !state.places.holder.lock().has_places() {
            next_held = state.now() + HELD_INTERVAL;
            continue;
        }
        if state.now() < next_held {
            state.call_keeper(None).await;
        } else {
            next_held = state.now() + HELD_INTERVAL;
            if let Some(stub) = state.keeper_stub() {
                state.report_places(&stub).await;
            }
        }
    }
}

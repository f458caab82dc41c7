use crate::{
    Controller, RouterState, controllers::store_credits::StoreCredits, headers::ATTEMPT_HEADER,
};
use async_channel::{Receiver, Sender};
use hyper::{Method, Request, header};
use sequoiawing_cell::{CellEvent, ShareCount, Version};
use sequoiawing_fleet::{Demand, DemandStatus, Order, OrderReply, UpstreamState};
use sequoiawing_http::{from_bytes, read_to_end};
use sequoiawing_policy::{
    DispatchEvent, Leadership, PlaceAction, PlaceEvent, PlaceSettings, Placer,
};
use sequoiawing_runtime::{Shutdown, sleep, spawn, timeout};
use sequoiawing_tables::{Command, Outcome, Tables};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// How often the leader updates its placement decisions.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of an order or a demand.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the reply to an order, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// How long after the start of a router every upstream that may hold a replica
/// has announced itself. Upstreams do so at least once per second.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// The HTTP path at which upstreams accept orders.
const ORDER_PATH: &str = "/sequoiawing/orders";

/// A handle that passes demands to the placer of this host.
#[derive(Clone)]
pub(crate) struct PlacerHandle {
    sender: Sender<(Demand, Sender<DemandStatus>)>,
}

impl PlacerHandle {
    /// Handles a demand from another router.
    ///
    /// A demand from another data centre names this one and is forwarded to the
    /// leader; a demand from this data centre is handled by this host.
    pub(crate) async fn handle_demand(
        &self,
        state: &RouterState,
        mut demand: Demand,
    ) -> DemandStatus {
        if demand.centre != state.settings.centre {
            return self.submit(demand).await;
        }
        demand.centre = Name::default();
        send_to_leader(state, self, demand)
            .await
            .unwrap_or_default()
    }

    /// Passes a demand to the placer of this host.
    pub(crate) async fn submit(&self, demand: Demand) -> DemandStatus {
        let (reply_sender, reply_receiver) = async_channel::bounded(1);
        if self.sender.send((demand, reply_sender)).await.is_err() {
            return DemandStatus::default();
        }
        reply_receiver.recv().await.unwrap_or_default()
    }
}

/// Runs the placer of this host, which decides while the host leads, and forwards
/// demands to the leader otherwise.
pub(crate) struct PlaceModels {
    state: Arc<RouterState>,
}

impl PlaceModels {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }
}

struct Placement {
    state: Arc<RouterState>,
    placer: Placer,
    configured: Arc<Tables>,
    /// Events from spawned tasks with the term in which each task began; events of
    /// earlier terms are ignored.
    events: Sender<(u64, PlaceEvent)>,
    /// The term in which the placer received the counts recorded by an earlier
    /// leader.
    inherited_term: u64,
    credits: StoreCredits,
    /// The base of order identifiers, which increases with each start so that no
    /// identifier is reused.
    order_base: u64,
    /// The serial number of the last command to the log.
    serial: u64,
}

impl Placement {
    /// Passes all changes since the last call to the placer and executes its actions.
    fn refresh(&mut self) {
        let now = self.state.now();
        let tables = self.state.tables.get();
        let (local, changes) = {
            let mut registry = self.state.registry.lock();
            let local: Vec<Arc<UpstreamState>> = registry.local().cloned().collect();
            (local, registry.take_changes())
        };
        if !Arc::ptr_eq(&tables, &self.configured) {
            let pools = tables.pools.values().cloned().collect();
            self.handle(PlaceEvent::Configured { pools });
            let centres = tables.hosts.values().map(|h| h.centre.clone()).collect();
            self.handle(PlaceEvent::Centres { centres });
            self.configured = tables;
        }
        for (upstream, state) in changes {
            self.handle(match state {
                Some(state) => PlaceEvent::Announced(state),
                None => PlaceEvent::Gone { upstream },
            });
        }
        for state in local {
            self.handle(PlaceEvent::Announced(state));
        }
        let leadership = self.leadership();
        self.handle(PlaceEvent::LeadershipChanged { leadership });
        self.apply_cell_state(leadership.map_or(0, |l| l.term));
        for event in self.credits.exchange(now, &self.placer) {
            self.handle(event);
        }
        let mut out = Vec::new();
        self.placer.handle(now, PlaceEvent::Tick, &mut out);
        self.execute(out);
    }

    /// Passes the counts recorded by the members of the cell to the placer.
    fn apply_cell_state(&mut self, term: u64) {
        let now = self.state.now();
        let (shares, recorded) = {
            let cell = self.state.cell.lock();
            let is_new = term > self.inherited_term;
            let shares = cell.shares(now).filter(|_| is_new).cloned();
            (shares, cell.recorded(now))
        };
        if let Some(record) = shares {
            self.inherited_term = term;
            let counts = record.counts.into_iter();
            let counts = counts.map(|c| ((c.pool, c.model), c.count)).collect();
            self.handle(PlaceEvent::Inherited { counts });
        }
        if let Some(version) = recorded.filter(|v| v.term == term) {
            let number = version.number;
            self.handle(PlaceEvent::Recorded { number });
        }
    }

    /// Returns the leadership of this host, or `None` if it does not lead.
    ///
    /// The previous lease expired before this one began, but its orders may still
    /// be in flight.
    fn leadership(&self) -> Option<Leadership> {
        self.state.lease().map(|l| Leadership {
            term: l.term,
            order_base: self.order_base,
            order_grace: PlaceSettings::default().order_lifetime,
            discovery_wait: DISCOVERY_TIME.saturating_sub(self.state.now().since(Time::ZERO)),
        })
    }

    fn handle(&mut self, event: PlaceEvent) {
        let mut out = Vec::new();
        self.placer.handle(self.state.now(), event, &mut out);
        self.execute(out);
    }

    fn demand(&mut self, demand: &Demand) -> DemandStatus {
        if demand.recall {
            let (pool, model) = (demand.pool.clone(), demand.model.clone());
            self.handle(PlaceEvent::Recalled { pool, model });
            return DemandStatus::default();
        }
        let mut out = Vec::new();
        let state = self.placer.demand(self.state.now(), demand, &mut out);
        self.execute(out);
        state
    }

    fn execute(&mut self, actions: Vec<PlaceAction>) {
        for action in actions {
            match action {
                PlaceAction::Send { upstream, order } => self.send(&upstream, order),
                PlaceAction::Allot { pool, model, want } => self.allot(pool, model, want),
                PlaceAction::Record { number, counts } => self.record(number, counts),
                PlaceAction::Recall { pool, model } => self.recall(&pool, &model),
                PlaceAction::ReportDemand { loads, adapters } => {
                    self.credits.set_demand(loads, adapters);
                }
            }
        }
    }

    fn send(&self, upstream: &Name, order: Order) {
        let registry = self.state.registry.lock();
        let address = registry.get(upstream).and_then(|s| s.address);
        drop(registry);
        let Some(address) = address else {
            return;
        };
        let address = self.state.translations.translate(address);
        log::info!(target: "placement", "Sending order {:?} to {upstream}.", order.kind);
        let state = self.state.clone();
        let events = self.events.clone();
        spawn(async move {
            let id = order.id;
            let reply = match state.lease().filter(|l| l.term == order.fence) {
                Some(_) => send_order(&state, address, &order).await,
                None => None,
            };
            let event = PlaceEvent::Replied { id, reply };
            events.send((order.fence, event)).await.ok();
        })
        .detach();
    }

    fn allot(&mut self, pool: Name, model: Name, want: u32) {
        let Some(term) = self.leadership().map(|l| l.term) else {
            return;
        };
        let state = self.state.clone();
        let events = self.events.clone();
        self.serial += 1;
        let command = Command::Allot {
            pool: pool.clone(),
            model: model.clone(),
            centre: state.settings.centre.clone(),
            term,
            serial: self.serial,
            want,
        };
        spawn(async move {
            let outcome = state.propose(command).await;
            let count = match outcome {
                Some(Outcome::Allotted(count)) => Some(count),
                _ => None,
            };
            let event = PlaceEvent::Allotted { pool, model, count };
            events.send((term, event)).await.ok();
        })
        .detach();
    }

    fn record(&self, number: u64, counts: BTreeMap<(Name, Name), u32>) {
        let Some(term) = self.leadership().map(|l| l.term) else {
            return;
        };
        let counts = counts.into_iter();
        let counts = counts.map(|((pool, model), count)| ShareCount { pool, model, count });
        self.state.handle_cell_event(CellEvent::Record {
            version: Version { term, number },
            counts: counts.collect(),
        });
    }

    /// Asks the leaders of all other data centres to release their unused shares.
    fn recall(&self, pool: &Name, model: &Name) {
        let own_centre = &self.state.settings.centre;
        let hosts = self.configured.hosts.values();
        let centres: BTreeSet<&Name> = hosts
            .map(|h| &h.centre)
            .filter(|c| *c != own_centre)
            .collect();
        for centre in centres {
            let demand = Demand {
                host: self.state.settings.host.clone(),
                centre: centre.clone(),
                recall: true,
                pool: pool.clone(),
                model: model.clone(),
                ..Demand::default()
            };
            let state = self.state.clone();
            spawn(async move {
                send_to_remote_centre(&state, demand).await;
            })
            .detach();
        }
    }

    /// Handles an event from a task unless it is of another term.
    fn handle_task_event(&mut self, term: u64, event: PlaceEvent) {
        if self.leadership().is_some_and(|l| l.term == term) {
            self.handle(event);
        }
    }
}

async fn send_order(state: &RouterState, to: SocketAddr, order: &Order) -> Option<OrderReply> {
    let json = serde_json::to_vec(order).ok()?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
        .header(header::HOST, to.to_string())
        .header(
            header::AUTHORIZATION,
            format!("Bearer {}", state.settings.credential),
        )
        .header(ATTEMPT_HEADER, order.id)
        .body(from_bytes(json))
        .ok()?;
    let exchange = async {
        let response = state.client.send(to, request).await.ok()?;
        let body = read_to_end(response.into_body(), MAX_REPLY_BYTES);
        serde_json::from_slice(&body.await.ok()?).ok()
    };
    timeout(CALL_TIMEOUT, exchange).await.flatten()
}

/// Forwards the demands of this router's dispatchers to the leader.
async fn forward_demands(state: Arc<RouterState>, placer: PlacerHandle) {
    while let Ok(demand) = state.demands.recv().await {
        let state = state.clone();
        let placer = placer.clone();
        spawn(async move {
            let target = demand
                .adapter
                .clone()
                .unwrap_or_else(|| demand.model.clone());
            let shard = state.shard(&demand.pool);
            let status = send_to_leader(&state, &placer, demand).await;
            if let Some(state) = status {
                let model = target;
                shard.handle_event(DispatchEvent::DemandAnswered { model, state });
            }
        })
        .detach();
    }
}

/// Sends a demand to the leader of the data centre that it names.
async fn send_to_leader(
    state: &RouterState,
    placer: &PlacerHandle,
    demand: Demand,
) -> Option<DemandStatus> {
    let own_centre = &state.settings.centre;
    if !demand.centre.as_str().is_empty() && demand.centre != *own_centre {
        return send_to_remote_centre(state, demand).await;
    }
    let host = state.leader.read().clone()?;
    if host == state.settings.host {
        return Some(placer.submit(demand).await);
    }
    let peer = state.peers.get(&host)?;
    let call = peer.stub.call(CALL_TIMEOUT, |client, context| async move {
        client.demand(context, vec![demand]).await
    });
    call.await.ok()?.pop()
}

/// Sends a demand to a router of another data centre, which forwards it to its
/// leader.
async fn send_to_remote_centre(state: &RouterState, demand: Demand) -> Option<DemandStatus> {
    let peers = state.peers.all();
    let routers: Vec<_> = peers.iter().filter(|p| p.centre == demand.centre).collect();
    let index = usize::try_from(state.next_request()).unwrap_or(0);
    let peer = routers.get(index % routers.len().max(1))?;
    let call = peer.stub.call(CALL_TIMEOUT, |client, context| async move {
        client.demand(context, vec![demand]).await
    });
    call.await.ok()?.pop()
}

impl PlaceModels {
    async fn run_placer(
        state: Arc<RouterState>,
        demands: Receiver<(Demand, Sender<DemandStatus>)>,
        placer: PlacerHandle,
    ) {
        let (events, incoming) = async_channel::unbounded();
        let settings = PlaceSettings {
            centre: state.settings.centre.clone(),
            ..PlaceSettings::default()
        };
        let mut placement = Placement {
            state: state.clone(),
            placer: Placer::new(settings),
            configured: Arc::default(),
            inherited_term: 0,
            credits: StoreCredits::new(state.clone()),
            events,
            order_base: state.start,
            serial: 0,
        };
        let _forwarding = spawn(forward_demands(state, placer));
        loop {
            sleep(INTERVAL).await;
            while let Ok((term, event)) = incoming.try_recv() {
                placement.handle_task_event(term, event);
            }
            placement.refresh();
            while let Ok((demand, reply)) = demands.try_recv() {
                let state = placement.demand(&demand);
                reply.try_send(state).ok();
            }
        }
    }
}

impl Controller for PlaceModels {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let (sender, demands) = async_channel::unbounded();
        let placer = PlacerHandle { sender };
        *self.state.placer.lock() = Some(placer.clone());
        Box::pin(async move {
            shutdown
                .or(Self::run_placer(self.state, demands, placer))
                .await;
        })
    }
}

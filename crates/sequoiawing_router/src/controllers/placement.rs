use crate::{
    Controller, RouterState, controllers::store_credits::StoreCredits, headers::ATTEMPT_HEADER,
};
use async_channel::{Receiver, Sender};
use http_body_util::BodyExt;
use hyper::{Method, Request, header};
use sequoiawing_cell::{CellEvent, ShareCount, Version};
use sequoiawing_fleet::{Demand, DemandStatus, Order, OrderReply, UpstreamState};
use sequoiawing_http::from_bytes;
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

/// How often the leader looks over its decisions.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// How long an order or a demand may take to be answered.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// How long a router listens after it has started until every upstream that
/// may hold a replica has announced itself; they do so every second at least.
const LISTENING: Duration = Duration::from_secs(2);

/// The path by which upstreams take orders.
const ORDER_PATH: &str = "/sequoiawing/orders";

/// Where demands from other routers of the data centre reach the leader.
#[derive(Clone)]
pub(crate) struct LeaderDemands {
    sender: Sender<(Demand, Sender<DemandStatus>)>,
}

impl LeaderDemands {
    /// Answers a demand from another router.
    ///
    /// One from another data centre names this one and is handed on to the
    /// leader; one from this data centre is for this host.
    pub(crate) async fn answer(&self, state: &RouterState, mut demand: Demand) -> DemandStatus {
        if demand.centre != state.settings.centre {
            return self.ask(demand).await;
        }
        demand.centre = Name::default();
        ask_leader(state, self, demand).await.unwrap_or_default()
    }

    /// Asks the leader's placer, if this host leads.
    pub(crate) async fn ask(&self, demand: Demand) -> DemandStatus {
        let (reply, answer) = async_channel::bounded(1);
        if self.sender.send((demand, reply)).await.is_err() {
            return DemandStatus::default();
        }
        answer.recv().await.unwrap_or_default()
    }
}

/// Runs the decisions of the data centre's leader, or forwards demands to it.
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
    /// What the tasks of a term have to tell; what an earlier term's tell late
    /// says nothing about this one.
    events: Sender<(u64, PlaceEvent)>,
    /// The term in which the placer was told what an earlier leader recorded.
    inherited: u64,
    credits: StoreCredits,
    /// Grows with each start, so that no order's identifier is used again.
    seed: u64,
    /// Numbers the commands to the log.
    serial: u64,
}

impl Placement {
    /// Takes in what changed since the last look.
    fn refresh(&mut self) {
        let now = self.state.now();
        let tables = self.state.tables.get();
        let (here, news) = {
            let mut registry = self.state.registry.lock();
            let here: Vec<Arc<UpstreamState>> = registry.local().cloned().collect();
            (here, registry.take_changes())
        };
        if !Arc::ptr_eq(&tables, &self.configured) {
            let pools = tables.pools.values().cloned().collect();
            self.handle(PlaceEvent::Configured { pools });
            let centres = tables.hosts.values().map(|h| h.centre.clone()).collect();
            self.handle(PlaceEvent::Centres { centres });
            self.configured = tables;
        }
        for (upstream, state) in news {
            self.handle(match state {
                Some(state) => PlaceEvent::Announced(state),
                None => PlaceEvent::Gone { upstream },
            });
        }
        for state in here {
            self.handle(PlaceEvent::Announced(state));
        }
        let leading = self.leading();
        self.handle(PlaceEvent::LeadershipChanged {
            leadership: leading,
        });
        self.hear_cell(leading.map_or(0, |l| l.term));
        for event in self.credits.exchange(now, &self.placer) {
            self.handle(event);
        }
        let mut out = Vec::new();
        self.placer.handle(now, PlaceEvent::Tick, &mut out);
        self.act(out);
    }

    /// Tells the placer what the members of the cell remember.
    fn hear_cell(&mut self, term: u64) {
        let now = self.state.now();
        let (shares, recorded) = {
            let cell = self.state.cell.lock();
            let is_new = term > self.inherited;
            let shares = cell.shares(now).filter(|_| is_new).cloned();
            (shares, cell.recorded(now))
        };
        if let Some(record) = shares {
            self.inherited = term;
            let counts = record.counts.into_iter();
            let counts = counts.map(|c| ((c.pool, c.model), c.count)).collect();
            self.handle(PlaceEvent::Inherited { counts });
        }
        if let Some(version) = recorded.filter(|v| v.term == term) {
            let number = version.number;
            self.handle(PlaceEvent::Recorded { number });
        }
    }

    /// Returns the cell's term while this host leads.
    ///
    /// An earlier lease has run out before this one began; its orders may still
    /// be on their way.
    fn leading(&self) -> Option<Leadership> {
        self.state.lease().map(|l| Leadership {
            term: l.term,
            order_base: self.seed,
            order_grace: PlaceSettings::default().order_lifetime,
            discovery_wait: LISTENING.saturating_sub(self.state.now().since(Time::ZERO)),
        })
    }

    fn handle(&mut self, event: PlaceEvent) {
        let mut out = Vec::new();
        self.placer.handle(self.state.now(), event, &mut out);
        self.act(out);
    }

    fn demand(&mut self, demand: &Demand) -> DemandStatus {
        if demand.recall {
            let (pool, model) = (demand.pool.clone(), demand.model.clone());
            self.handle(PlaceEvent::Recalled { pool, model });
            return DemandStatus::default();
        }
        let mut out = Vec::new();
        let state = self.placer.demand(self.state.now(), demand, &mut out);
        self.act(out);
        state
    }

    fn act(&mut self, actions: Vec<PlaceAction>) {
        for action in actions {
            match action {
                PlaceAction::Send { upstream, order } => self.send(&upstream, order),
                PlaceAction::Allot { pool, model, want } => self.allot(pool, model, want),
                PlaceAction::Record { number, counts } => self.record(number, counts),
                PlaceAction::Recall { pool, model } => self.recall(&pool, &model),
                PlaceAction::ReportDemand { loads, adapters } => self.credits.want(loads, adapters),
            }
        }
    }

    fn send(&self, upstream: &Name, order: Order) {
        let known = self.state.registry.lock();
        let address = known.get(upstream).and_then(|s| s.address);
        drop(known);
        let Some(address) = address else {
            return;
        };
        let address = self.state.translations.translate(address);
        log::info!(target: "placement", "Sending {upstream} the order {:?}.", order.kind);
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
        let Some(term) = self.leading().map(|l| l.term) else {
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
        let Some(term) = self.leading().map(|l| l.term) else {
            return;
        };
        let counts = counts.into_iter();
        let counts = counts.map(|((pool, model), count)| ShareCount { pool, model, count });
        self.state.cell_event(CellEvent::Record {
            version: Version { term, number },
            counts: counts.collect(),
        });
    }

    /// Asks the leaders of all other data centres to release their unused share.
    fn recall(&self, pool: &Name, model: &Name) {
        let own = &self.state.settings.centre;
        let hosts = self.configured.hosts.values();
        let centres: BTreeSet<&Name> = hosts.map(|h| &h.centre).filter(|c| *c != own).collect();
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
                ask_elsewhere(&state, demand).await;
            })
            .detach();
        }
    }

    /// Takes in an event of this term.
    fn hear(&mut self, term: u64, event: PlaceEvent) {
        if self.leading().is_some_and(|l| l.term == term) {
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
        let answer = state.client.send(to, request).await.ok()?;
        let body = answer.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    timeout(CALL_LIMIT, exchange).await.flatten()
}

/// Takes the demands of this router's dispatchers to the leader.
async fn forward_demands(state: Arc<RouterState>, leader: LeaderDemands) {
    while let Ok(demand) = state.demands.recv().await {
        let state = state.clone();
        let leader = leader.clone();
        spawn(async move {
            let target = demand
                .adapter
                .clone()
                .unwrap_or_else(|| demand.model.clone());
            let shard = state.shard(&demand.pool);
            let answered = ask_leader(&state, &leader, demand).await;
            if let Some(state) = answered {
                let model = target;
                shard.event(DispatchEvent::DemandAnswered { model, state });
            }
        })
        .detach();
    }
}

/// Asks the leader of the data centre that the demand names.
async fn ask_leader(
    state: &RouterState,
    leader: &LeaderDemands,
    demand: Demand,
) -> Option<DemandStatus> {
    let own = &state.settings.centre;
    if !demand.centre.as_str().is_empty() && demand.centre != *own {
        return ask_elsewhere(state, demand).await;
    }
    let host = state.leader.read().clone()?;
    if host == state.settings.host {
        return Some(leader.ask(demand).await);
    }
    let peer = state.peers.get(&host)?;
    let call = peer.stub.call(CALL_LIMIT, |client, context| async move {
        client.demand(context, vec![demand]).await
    });
    call.await.ok()?.pop()
}

/// Asks a router of another data centre, which knows its leader.
async fn ask_elsewhere(state: &RouterState, demand: Demand) -> Option<DemandStatus> {
    let peers = state.peers.all();
    let there: Vec<_> = peers.iter().filter(|p| p.centre == demand.centre).collect();
    let turn = usize::try_from(state.next_request()).unwrap_or(0);
    let peer = there.get(turn % there.len().max(1))?;
    let call = peer.stub.call(CALL_LIMIT, |client, context| async move {
        client.demand(context, vec![demand]).await
    });
    call.await.ok()?.pop()
}

impl PlaceModels {
    async fn work(
        state: Arc<RouterState>,
        demands: Receiver<(Demand, Sender<DemandStatus>)>,
        leader: LeaderDemands,
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
            inherited: 0,
            credits: StoreCredits::new(state.clone()),
            events,
            seed: state.start,
            serial: 0,
        };
        let _forwarding = spawn(forward_demands(state, leader));
        loop {
            sleep(INTERVAL).await;
            while let Ok((term, event)) = incoming.try_recv() {
                placement.hear(term, event);
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
        let leader = LeaderDemands { sender };
        *self.state.placement.lock() = Some(leader.clone());
        Box::pin(async move {
            shutdown.or(Self::work(self.state, demands, leader)).await;
        })
    }
}

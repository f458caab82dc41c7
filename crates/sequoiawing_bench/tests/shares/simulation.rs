//! Simulates three data centres with their cells, placers and runners, and the
//! tables of the log, in virtual time.

use crate::{
    network::{Packet, Payload},
    runner::Runner,
};
use rand_chacha::ChaCha8Rng;
use sequoiawing_cell::{Cell, CellAction, CellEvent, CellSettings, ShareCount, Version};
use sequoiawing_fleet::{Demand, Order};
use sequoiawing_policy::{
    FixedKeepAlive, Leadership, PlaceAction, PlaceEvent, PlaceSettings, Placer,
};
use sequoiawing_tables::{Change, Command, Model, Outcome, Pool, RouterHost, Tables};
use sequoiawing_types::{Name, RequestId, Time};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// A pool and one of its models.
pub(crate) type Target = (Name, Name);

/// An injected fault that the checker must detect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A release is reported to the log before the cell has recorded it, so
    /// that the cell's next leader uses the released share again.
    UnrecordedRelease,
    /// The log grants replicas that are not released yet.
    EarlyGrant,
    /// A new leader uses the counts from before its restart, ignoring the
    /// shares that its cell recorded.
    StaleShares,
}

pub(crate) const STEP: Duration = Duration::from_millis(20);

pub(crate) const CENTRES: usize = 3;

pub(crate) const HOSTS_PER_CENTRE: usize = 3;

pub(crate) const MODELS: u32 = 4;

pub(crate) struct Host {
    pub(crate) is_alive: bool,
    pub(crate) cell: Cell,
    pub(crate) placer: Placer,
    /// The host's copy of the tables; out of date while it is disconnected.
    tables: Tables,
    inherited_term: u64,
    order_base: u64,
    pub(crate) serial: u64,
    /// The counts last recorded in the cell, for
    /// [`InjectedFault::UnrecordedRelease`].
    recorded: BTreeMap<Target, u32>,
    /// The allotments before the last restart, for
    /// [`InjectedFault::StaleShares`].
    stale_counts: BTreeMap<Target, u32>,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) hosts: Vec<Host>,
    pub(crate) disconnected: [bool; CENTRES],
    pub(crate) log: Tables,
    pub(crate) loads: u32,
    /// The loads in disconnected data centres.
    pub(crate) disconnected_loads: u32,
    pub(crate) runners: Vec<Runner>,
    pub(crate) packets: Vec<Packet>,
    pub(crate) injected: InjectedFault,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) last_bounds: BTreeMap<Target, u32>,
}

pub(crate) fn pool() -> Name {
    Name::from("captions")
}

pub(crate) fn target(model: u32) -> Target {
    (pool(), Name::from(format!("model-{model}")))
}

pub(crate) fn centre(i: usize) -> Name {
    Name::from(format!("centre-{i}"))
}

fn name(i: usize) -> Name {
    Name::from(format!("host-{i}"))
}

impl Simulation {
    pub(crate) fn new(rng: ChaCha8Rng, injected: InjectedFault) -> Self {
        let mut simulation = Self {
            now: Time::from_millis(1),
            hosts: Vec::new(),
            disconnected: [false; CENTRES],
            log: Tables::default(),
            loads: 0,
            disconnected_loads: 0,
            runners: Vec::new(),
            packets: Vec::new(),
            injected,
            rng,
            last_bounds: BTreeMap::new(),
        };
        for model in 0..MODELS {
            simulation.set_replicas(model, 1 + model % 3);
        }
        for i in 0..CENTRES * HOSTS_PER_CENTRE {
            let host = simulation.host(i);
            simulation.hosts.push(host);
            simulation
                .runners
                .push(Runner::new(i, centre(i / HOSTS_PER_CENTRE)));
        }
        simulation
    }

    fn host(&self, i: usize) -> Host {
        let floor = self.now.as_micros() / 1_000;
        let settings = PlaceSettings {
            centre: centre(i / HOSTS_PER_CENTRE),
            load_slots: 100,
            load_rate: 1_000.0,
            order_lifetime: Duration::from_millis(200),
            min_residency: Duration::from_millis(200),
            ..PlaceSettings::default()
        };
        let keep_alive = FixedKeepAlive::new(Duration::from_millis(800));
        Host {
            is_alive: true,
            cell: Cell::new(name(i), CellSettings::default(), self.now, floor),
            placer: Placer::new(settings).with_keep_alive(Box::new(keep_alive)),
            tables: Tables::default(),
            inherited_term: 0,
            order_base: self.now.as_micros(),
            serial: 0,
            recorded: BTreeMap::new(),
            stale_counts: BTreeMap::new(),
        }
    }

    /// Restarts a host without its state. It keeps its tables, as if its
    /// neighbours had sent them.
    pub(crate) fn restart(&mut self, i: usize) {
        let stale_counts = self.hosts[i].placer.allotments();
        let mut restarted = self.host(i);
        restarted.tables = self.hosts[i].tables.clone();
        restarted.stale_counts = stale_counts;
        self.hosts[i] = restarted;
        self.configure(i);
    }

    /// Changes the replicas of a model, as an operator would.
    pub(crate) fn set_replicas(&mut self, model: u32, replicas: u32) {
        let mut pool = self.log.pools.get(&pool()).cloned().unwrap_or(Pool {
            name: pool(),
            ..Pool::default()
        });
        let (_, model) = target(model);
        pool.models.retain(|m| m.name != model);
        pool.models.push(Model {
            name: model,
            replicas,
            ..Model::default()
        });
        let request = RequestId::from(format!("edit-{}", self.log.revision).as_str());
        let outcome = self.log.apply(Command::Edit {
            request,
            base: None,
            changes: vec![Change::PutPool(pool)],
        });
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    }

    /// Adds a host to its cell or removes it. Keeps the last member of a cell.
    pub(crate) fn change_membership(&mut self, i: usize, is_joining: bool) {
        let centre = centre(i / HOSTS_PER_CENTRE);
        let last = self.log.members(&centre).count() == 1;
        if !is_joining && last {
            return;
        }
        let port = u16::try_from(1 + i).expect("the host index fits into a port");
        let command = if is_joining {
            Command::Join(RouterHost {
                host: name(i),
                centre,
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            })
        } else {
            let dead = false;
            Command::Retire {
                host: name(i),
                dead,
            }
        };
        self.log.apply(command);
    }

    /// Updates a host's tables from the log, if it is alive and connected.
    pub(crate) fn sync_tables(&mut self, i: usize) {
        if self.disconnected[i / HOSTS_PER_CENTRE] || !self.hosts[i].is_alive {
            return;
        }
        self.hosts[i].tables = self.log.published();
        self.configure(i);
    }

    fn configure(&mut self, i: usize) {
        let tables = self.hosts[i].tables.clone();
        let own = centre(i / HOSTS_PER_CENTRE);
        let members = tables.members(&own).map(|h| h.host.clone()).collect();
        let epoch = tables.cell_epoch(&own).epoch;
        self.cell_event(i, CellEvent::Members { epoch, members });
        let pools = tables.pools.values().cloned().collect();
        self.notify_placer(i, PlaceEvent::Configured { pools });
        let centres = tables.hosts.values().map(|h| h.centre.clone()).collect();
        self.notify_placer(i, PlaceEvent::Centres { centres });
    }

    /// Sends a demand to a host, if it leads its data centre.
    pub(crate) fn demand(&mut self, i: usize, model: u32) {
        let demand = Demand {
            host: name(i),
            pool: pool(),
            model: target(model).1,
            waiting: 1,
            tokens: 100,
            deadline: 5_000,
            ..Demand::default()
        };
        let mut out = Vec::new();
        let host = &mut self.hosts[i];
        if host.is_alive && host.cell.lease(self.now).is_some() {
            host.placer.demand(self.now, &demand, &mut out);
        }
        self.execute_actions(i, out);
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let packets = std::mem::take(&mut self.packets);
        let (due, rest): (Vec<_>, Vec<_>) = packets.into_iter().partition(|p| p.due <= now);
        self.packets = rest;
        for packet in due {
            self.deliver(packet);
        }
        for i in 0..self.hosts.len() {
            if self.hosts[i].is_alive {
                self.cell_event(i, CellEvent::Tick);
                self.update_placer(i);
            }
        }
    }

    /// Updates the placer with announcements, the lease and the recorded
    /// shares, as the router does at each interval.
    fn update_placer(&mut self, i: usize) {
        let now = self.now;
        let centre_index = i / HOSTS_PER_CENTRE;
        for runner in centre_index * HOSTS_PER_CENTRE..(centre_index + 1) * HOSTS_PER_CENTRE {
            self.runners[runner].state.sequence += 1;
            let state = self.runners[runner].state.clone();
            self.notify_placer(i, PlaceEvent::Announced(state.into()));
        }
        let host = &self.hosts[i];
        let leadership = host.cell.lease(now).map(|l| Leadership {
            term: l.term,
            order_base: host.order_base,
            order_grace: Duration::from_millis(200),
            discovery_wait: Duration::ZERO,
        });
        let term = leadership.map_or(0, |l| l.term);
        self.notify_placer(i, PlaceEvent::LeadershipChanged { leadership });
        let host = &mut self.hosts[i];
        let shares = host.cell.shares(now).filter(|_| term > host.inherited_term);
        let shares = shares.map(|r| r.counts.clone());
        let shares = shares.map(|c| {
            c.into_iter()
                .map(|c| ((c.pool, c.model), c.count))
                .collect()
        });
        let stale_counts =
            || Some(host.stale_counts.clone()).filter(|_| term > host.inherited_term);
        let shares = match self.injected {
            InjectedFault::StaleShares => stale_counts(),
            _ => shares,
        };
        let recorded = host.cell.recorded(now).filter(|v| v.term == term);
        if let Some(counts) = shares {
            host.inherited_term = term;
            self.notify_placer(i, PlaceEvent::Inherited { counts });
        }
        if let Some(version) = recorded {
            let number = version.number;
            self.notify_placer(i, PlaceEvent::Recorded { number });
        }
        self.notify_placer(i, PlaceEvent::Tick);
    }

    pub(crate) fn notify_placer(&mut self, i: usize, event: PlaceEvent) {
        let mut out = Vec::new();
        self.hosts[i].placer.handle(self.now, event, &mut out);
        self.execute_actions(i, out);
    }

    fn execute_actions(&mut self, i: usize, actions: Vec<PlaceAction>) {
        for action in actions {
            let lease = self.hosts[i].cell.lease(self.now);
            let Some(lease) = lease.filter(|_| self.hosts[i].is_alive) else {
                return;
            };
            match action {
                PlaceAction::Send { upstream, order } => {
                    if order.fence == lease.term {
                        self.send_order(i, &upstream, &order);
                    }
                }
                PlaceAction::Allot { pool, model, want } => {
                    self.allot(i, lease.term, (pool, model), want);
                }
                PlaceAction::Record { number, counts } => {
                    self.record(i, lease.term, number, counts);
                }
                PlaceAction::Recall { pool, model } => {
                    for to in 0..self.hosts.len() {
                        let payload = Payload::Recall((pool.clone(), model.clone()));
                        self.send(i, to, payload, 20);
                    }
                }
                PlaceAction::ReportDemand { .. } => {}
            }
        }
    }

    fn record(&mut self, i: usize, term: u64, number: u64, counts: BTreeMap<Target, u32>) {
        let host = &mut self.hosts[i];
        let shrinks = |(target, former): (&Target, &u32)| counts.get(target) < Some(former);
        let has_release = host.recorded.iter().any(shrinks);
        if self.injected == InjectedFault::UnrecordedRelease && has_release {
            return self.notify_placer(i, PlaceEvent::Recorded { number });
        }
        host.recorded.clone_from(&counts);
        let counts = counts.into_iter();
        let counts = counts.map(|((pool, model), count)| ShareCount { pool, model, count });
        let event = CellEvent::Record {
            version: Version { term, number },
            counts: counts.collect(),
        };
        self.cell_event(i, event);
    }

    fn send_order(&mut self, i: usize, upstream: &Name, order: &Order) {
        let runner = self.runners.iter_mut().find(|r| r.state.name == *upstream);
        let runner = runner.expect("orders go to known runners");
        let id = order.id;
        let before = runner.state.loaded.len();
        let reply = Some(runner.handle_order(order));
        if runner.state.loaded.len() > before {
            self.loads += 1;
            self.disconnected_loads += u32::from(self.disconnected[i / HOSTS_PER_CENTRE]);
        }
        self.notify_placer(i, PlaceEvent::Replied { id, reply });
    }

    pub(crate) fn cell_event(&mut self, i: usize, event: CellEvent) {
        self.cell_event_from(i, event, i);
    }

    pub(crate) fn cell_event_from(&mut self, i: usize, event: CellEvent, requester: usize) {
        let mut out = Vec::new();
        self.hosts[i].cell.handle(self.now, event, &mut out);
        for action in out {
            match action {
                CellAction::Send { to, request } => {
                    let to = (0..self.hosts.len()).find(|h| name(*h) == to);
                    if let Some(to) = to {
                        self.send(i, to, Payload::Request(request), 20);
                    }
                }
                CellAction::Reply(reply) => self.send(i, requester, Payload::Reply(reply), 20),
                CellAction::Settled { epoch } => {
                    if !self.disconnected[i / HOSTS_PER_CENTRE] {
                        let centre = centre(i / HOSTS_PER_CENTRE);
                        self.log.apply(Command::SettleCell { centre, epoch });
                    }
                }
                CellAction::LeaseAcquired { .. } | CellAction::LeaseLost => {}
            }
        }
    }
}

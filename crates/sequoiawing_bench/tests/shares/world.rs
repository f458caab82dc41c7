//! Three data centres with their cells, placers and runners, and the tables
//! that the log would make, under virtual time.

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

/// A fault that the checker must catch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Planted {
    /// The code as it is.
    #[default]
    None,
    /// The log is told of a release that the cell does not remember, so that
    /// its next leader uses the share again.
    ReleaseUnrecorded,
    /// The log grants what is not released yet.
    EarlyGrant,
    /// A new leader uses what it once saw, whatever the others remember.
    OldMemory,
}

pub(crate) const STEP: Duration = Duration::from_millis(20);

pub(crate) const CENTRES: usize = 3;

pub(crate) const HOSTS: usize = 3;

pub(crate) const MODELS: u32 = 4;

pub(crate) struct Host {
    pub(crate) is_alive: bool,
    pub(crate) cell: Cell,
    pub(crate) placer: Placer,
    /// The tables that it follows; older than the log's while it is cut off.
    tables: Tables,
    inherited: u64,
    seed: u64,
    pub(crate) serial: u64,
    /// What it had its cell remember last, for a planted fault.
    recorded: BTreeMap<Target, u32>,
    /// What an earlier start of it saw last, for a planted fault.
    old: BTreeMap<Target, u32>,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) hosts: Vec<Host>,
    pub(crate) cut: [bool; CENTRES],
    pub(crate) log: Tables,
    pub(crate) loads: u32,
    /// The loads of data centres that were cut off.
    pub(crate) cut_loads: u32,
    pub(crate) runners: Vec<Runner>,
    pub(crate) packets: Vec<Packet>,
    pub(crate) planted: Planted,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) former: BTreeMap<Target, u32>,
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

impl World {
    pub(crate) fn new(rng: ChaCha8Rng, planted: Planted) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            hosts: Vec::new(),
            cut: [false; CENTRES],
            log: Tables::default(),
            loads: 0,
            cut_loads: 0,
            runners: Vec::new(),
            packets: Vec::new(),
            planted,
            rng,
            former: BTreeMap::new(),
        };
        for model in 0..MODELS {
            world.set_replicas(model, 1 + model % 3);
        }
        for i in 0..CENTRES * HOSTS {
            let host = world.host(i);
            world.hosts.push(host);
            world.runners.push(Runner::new(i, centre(i / HOSTS)));
        }
        world
    }

    fn host(&self, i: usize) -> Host {
        let floor = self.now.as_micros() / 1_000;
        let settings = PlaceSettings {
            centre: centre(i / HOSTS),
            load_slots: 100,
            load_rate: 1_000.0,
            order_lifetime: Duration::from_millis(200),
            min_residency: Duration::from_millis(200),
            ..PlaceSettings::default()
        };
        let idle = FixedKeepAlive::new(Duration::from_millis(800));
        Host {
            is_alive: true,
            cell: Cell::new(name(i), CellSettings::default(), self.now, floor),
            placer: Placer::new(settings).with_keep_alive(Box::new(idle)),
            tables: Tables::default(),
            inherited: 0,
            seed: self.now.as_micros(),
            serial: 0,
            recorded: BTreeMap::new(),
            old: BTreeMap::new(),
        }
    }

    /// Starts a host again without memory. The tables that its neighbours give
    /// it are those that it had.
    pub(crate) fn restart(&mut self, i: usize) {
        let old = self.hosts[i].placer.allotments();
        let mut fresh = self.host(i);
        fresh.tables = self.hosts[i].tables.clone();
        fresh.old = old;
        self.hosts[i] = fresh;
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

    /// Adds a host to its cell, or removes it, if the cell has settled.
    pub(crate) fn change(&mut self, i: usize, is_joining: bool) {
        let centre = centre(i / HOSTS);
        let last = self.log.members(&centre).count() == 1;
        if !is_joining && last {
            return;
        }
        let port = u16::try_from(1 + i).expect("there are few hosts");
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

    /// Lets a host follow the log.
    pub(crate) fn publish(&mut self, i: usize) {
        if self.cut[i / HOSTS] || !self.hosts[i].is_alive {
            return;
        }
        self.hosts[i].tables = self.log.published();
        self.configure(i);
    }

    fn configure(&mut self, i: usize) {
        let tables = self.hosts[i].tables.clone();
        let own = centre(i / HOSTS);
        let members = tables.members(&own).map(|h| h.host.clone()).collect();
        let epoch = tables.cell_epoch(&own).epoch;
        self.cell_event(i, CellEvent::Members { epoch, members });
        let pools = tables.pools.values().cloned().collect();
        self.place(i, PlaceEvent::Configured { pools });
        let centres = tables.hosts.values().map(|h| h.centre.clone()).collect();
        self.place(i, PlaceEvent::Centres { centres });
    }

    /// Tells a leader what callers want.
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
        self.act(i, out);
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
                self.refresh(i);
            }
        }
    }

    /// Does what the router's placement does at each interval.
    fn refresh(&mut self, i: usize) {
        let now = self.now;
        let of_centre = i / HOSTS;
        for runner in of_centre * HOSTS..(of_centre + 1) * HOSTS {
            self.runners[runner].state.sequence += 1;
            let state = self.runners[runner].state.clone();
            self.place(i, PlaceEvent::Announced(state.into()));
        }
        let host = &self.hosts[i];
        let leading = host.cell.lease(now).map(|l| Leadership {
            term: l.term,
            order_base: host.seed,
            order_grace: Duration::from_millis(200),
            discovery_wait: Duration::ZERO,
        });
        let term = leading.map_or(0, |l| l.term);
        self.place(
            i,
            PlaceEvent::LeadershipChanged {
                leadership: leading,
            },
        );
        let host = &mut self.hosts[i];
        let shares = host.cell.shares(now).filter(|_| term > host.inherited);
        let shares = shares.map(|r| r.counts.clone());
        let shares = shares.map(|c| {
            c.into_iter()
                .map(|c| ((c.pool, c.model), c.count))
                .collect()
        });
        let old = || Some(host.old.clone()).filter(|_| term > host.inherited);
        let shares = match self.planted {
            Planted::OldMemory => old(),
            _ => shares,
        };
        let recorded = host.cell.recorded(now).filter(|v| v.term == term);
        if let Some(counts) = shares {
            host.inherited = term;
            self.place(i, PlaceEvent::Inherited { counts });
        }
        if let Some(version) = recorded {
            let number = version.number;
            self.place(i, PlaceEvent::Recorded { number });
        }
        self.place(i, PlaceEvent::Tick);
    }

    pub(crate) fn place(&mut self, i: usize, event: PlaceEvent) {
        let mut out = Vec::new();
        self.hosts[i].placer.handle(self.now, event, &mut out);
        self.act(i, out);
    }

    fn act(&mut self, i: usize, actions: Vec<PlaceAction>) {
        for action in actions {
            let lease = self.hosts[i].cell.lease(self.now);
            let Some(lease) = lease.filter(|_| self.hosts[i].is_alive) else {
                return;
            };
            match action {
                PlaceAction::Send { upstream, order } => {
                    if order.fence == lease.term {
                        self.order(i, &upstream, &order);
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
        if self.planted == Planted::ReleaseUnrecorded && has_release {
            return self.place(i, PlaceEvent::Recorded { number });
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

    fn order(&mut self, i: usize, upstream: &Name, order: &Order) {
        let runner = self.runners.iter_mut().find(|r| r.state.name == *upstream);
        let runner = runner.expect("orders go to known runners");
        let id = order.id;
        let before = runner.state.loaded.len();
        let reply = Some(runner.take(order));
        if runner.state.loaded.len() > before {
            self.loads += 1;
            self.cut_loads += u32::from(self.cut[i / HOSTS]);
        }
        self.place(i, PlaceEvent::Replied { id, reply });
    }

    pub(crate) fn cell_event(&mut self, i: usize, event: CellEvent) {
        self.cell_event_from(i, event, i);
    }

    pub(crate) fn cell_event_from(&mut self, i: usize, event: CellEvent, asker: usize) {
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
                CellAction::Reply(reply) => self.send(i, asker, Payload::Reply(reply), 20),
                CellAction::Settled { epoch } => {
                    if !self.cut[i / HOSTS] {
                        let centre = centre(i / HOSTS);
                        self.log.apply(Command::SettleCell { centre, epoch });
                    }
                }
                CellAction::LeaseAcquired { .. } | CellAction::LeaseLost => {}
            }
        }
    }
}

//! Simulates the members of one cell under virtual time, with a network that
//! loses and delays packets and has cut links, and with clocks that drift.

use sequoiawing_cell::{
    Cell, CellAction, CellEvent, CellReply, CellRequest, CellSettings, ShareCount, Version,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// A fault in the implementation that the checker must detect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A restarted member does not wait for its earlier promises to expire.
    NoStartupWait,
    /// The lease time does not allow for clock drift.
    IgnoredDrift,
    /// A member grants every promise.
    GrantsAll,
    /// The log changes the membership before the previous change has settled.
    UnsettledChange,
}

enum Payload {
    Request(CellRequest),
    Reply(CellReply),
}

struct Packet {
    due: Time,
    from: Name,
    to: Name,
    payload: Payload,
}

pub(crate) struct Member {
    cell: Cell,
    /// The local microseconds per thousand microseconds of true time.
    speed: u64,
    frozen: Time,
    alive: bool,
    resigned: bool,
}

/// The log's view of the cell.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) epoch: u64,
    pub(crate) settled: bool,
    pub(crate) members: BTreeSet<Name>,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) log: Log,
    pub(crate) members: BTreeMap<Name, Member>,
    pub(crate) cut_links: BTreeSet<(Name, Name)>,
    pub(crate) injected: InjectedFault,
    pub(crate) led: Vec<(Name, u64)>,
    packets: Vec<Packet>,
    settings: CellSettings,
}

impl Simulation {
    pub(crate) fn new(injected: InjectedFault) -> Self {
        Self {
            now: Time::from_millis(1),
            log: Log::default(),
            members: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            injected,
            led: Vec::new(),
            packets: Vec::new(),
            settings: CellSettings::default(),
        }
    }

    /// Starts a host, or restarts it without its state.
    pub(crate) fn start(&mut self, host: &Name, speed: u64) {
        let settings = CellSettings {
            drift: if self.injected == InjectedFault::IgnoredDrift {
                0
            } else {
                self.settings.drift
            },
            ..self.settings.clone()
        };
        let local = local(self.now, speed);
        let started = match self.injected {
            InjectedFault::NoStartupWait => Time::ZERO,
            _ => local,
        };
        let floor = self.now.as_micros() / 1_000;
        let cell = Cell::new(host.clone(), settings, started, floor);
        let member = Member {
            cell,
            speed,
            frozen: Time::ZERO,
            alive: true,
            resigned: false,
        };
        self.members.insert(host.clone(), member);
    }

    pub(crate) fn stop(&mut self, host: &Name) {
        if let Some(member) = self.members.get_mut(host) {
            member.alive = false;
        }
    }

    pub(crate) fn freeze(&mut self, host: &Name, span: Duration) {
        let until = self.now + span;
        if let Some(member) = self.members.get_mut(host) {
            member.frozen = until;
        }
    }

    pub(crate) fn resign(&mut self, host: &Name) {
        if let Some(member) = self.members.get_mut(host) {
            member.resigned = true;
        }
        self.handle(host, CellEvent::Resign, None);
    }

    /// Commits the addition or removal of a member if the previous change has
    /// settled.
    pub(crate) fn change_member(&mut self, host: &Name, add: bool) -> bool {
        let may = self.log.settled || self.log.members.is_empty();
        let may = may || self.injected == InjectedFault::UnsettledChange;
        let last = !add && self.log.members.len() == 1;
        if !may || last {
            return false;
        }
        let changed = if add {
            self.log.members.insert(host.clone())
        } else {
            self.log.members.remove(host)
        };
        if changed {
            self.log.epoch += 1;
            self.log.settled = false;
        }
        changed
    }

    /// Sends the membership in the log to a host.
    pub(crate) fn publish_members(&mut self, host: &Name) {
        let event = CellEvent::Members {
            epoch: self.log.epoch,
            members: self.log.members.clone(),
        };
        self.handle(host, event, None);
    }

    /// Advances the time by one step, delivers due packets and ticks all
    /// members.
    pub(crate) fn step<D>(&mut self, span: Duration, mut delay: D)
    where
        D: FnMut() -> Option<Duration>,
    {
        self.now = self.now + span;
        let now = self.now;
        let packets = std::mem::take(&mut self.packets);
        let (due, rest): (Vec<_>, Vec<_>) = packets.into_iter().partition(|p| p.due <= now);
        self.packets = rest;
        for packet in due {
            self.deliver(packet, &mut delay);
        }
        let hosts: Vec<Name> = self.members.keys().cloned().collect();
        for host in hosts {
            self.handle(&host, CellEvent::Tick, Some(&mut delay));
        }
    }

    fn deliver(&mut self, packet: Packet, delay: &mut dyn FnMut() -> Option<Duration>) {
        if self
            .cut_links
            .contains(&(packet.from.clone(), packet.to.clone()))
        {
            return;
        }
        let frozen = self.members.get(&packet.to).map(|m| m.frozen);
        if let Some(until) = frozen.filter(|f| self.now < *f) {
            self.packets.push(Packet {
                due: until,
                ..packet
            });
            return;
        }
        let event = match packet.payload {
            Payload::Request(request) => CellEvent::Request(request),
            Payload::Reply(reply) => CellEvent::Reply(reply),
        };
        let asker = packet.from;
        self.handle_from(&packet.to, event, Some(delay), Some(&asker));
    }

    fn handle(
        &mut self,
        host: &Name,
        event: CellEvent,
        delay: Option<&mut dyn FnMut() -> Option<Duration>>,
    ) {
        self.handle_from(host, event, delay, None);
    }

    fn handle_from(
        &mut self,
        host: &Name,
        event: CellEvent,
        delay: Option<&mut dyn FnMut() -> Option<Duration>>,
        asker: Option<&Name>,
    ) {
        let now = self.now;
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if !member.alive || now < member.frozen {
            return;
        }
        let mut out = Vec::new();
        member
            .cell
            .handle(local(now, member.speed), event, &mut out);
        let mut none = || Some(Duration::ZERO);
        let delay = delay.unwrap_or(&mut none);
        for action in out {
            self.act(host, action, delay, asker);
        }
    }

    fn act(
        &mut self,
        host: &Name,
        action: CellAction,
        delay: &mut dyn FnMut() -> Option<Duration>,
        asker: Option<&Name>,
    ) {
        match action {
            CellAction::Send { to, request } => {
                self.send(host, &to, Payload::Request(request), delay());
            }
            CellAction::Reply(mut reply) => {
                reply.granted |= self.injected == InjectedFault::GrantsAll;
                if let Some(asker) = asker {
                    self.send(host, asker, Payload::Reply(reply), delay());
                }
            }
            CellAction::LeaseAcquired { term } => self.led.push((host.clone(), term)),
            CellAction::LeaseLost => {}
            CellAction::Settled { epoch } => {
                if epoch == self.log.epoch {
                    self.log.settled = true;
                }
            }
        }
    }

    fn send(&mut self, from: &Name, to: &Name, payload: Payload, delay: Option<Duration>) {
        if let Some(delay) = delay {
            self.packets.push(Packet {
                due: self.now + delay,
                from: from.clone(),
                to: to.clone(),
                payload,
            });
        }
    }

    /// Returns the hosts with a valid lease by their own clocks, and their
    /// terms. A frozen host cannot send orders and is left out.
    pub(crate) fn leaders(&self) -> Vec<(Name, u64)> {
        let valid = self
            .members
            .iter()
            .filter(|(_, m)| m.alive && self.now >= m.frozen);
        valid
            .filter_map(|(host, m)| {
                let lease = m.cell.lease(local(self.now, m.speed))?;
                Some((host.clone(), lease.term))
            })
            .collect()
    }

    /// Submits a record of the number of replicas of one model at the leader,
    /// and returns its version.
    pub(crate) fn record(&mut self, host: &Name, number: u64, count: u32) -> Version {
        let leaders = self.leaders();
        let leader = leaders.iter().find(|(leader, _)| leader == host);
        let (_, term) = *leader.expect("the host does not lead");
        let version = Version { term, number };
        let counts = vec![ShareCount {
            pool: Name::from("captions"),
            model: Name::from("strip"),
            count,
        }];
        self.handle(host, CellEvent::Record { version, counts }, None);
        version
    }

    /// Returns the recorded number of replicas that a leader knows.
    pub(crate) fn share(&self, host: &Name) -> Option<u32> {
        let member = &self.members[host];
        let record = member.cell.shares(local(self.now, member.speed))?;
        Some(record.counts.iter().map(|c| c.count).sum())
    }

    /// Returns whether a majority has stored the version.
    pub(crate) fn is_recorded(&self, host: &Name, version: Version) -> bool {
        let member = &self.members[host];
        let recorded = member.cell.recorded(local(self.now, member.speed));
        recorded >= Some(version)
    }

    /// Ends all faults: starts all members, restores all links and publishes
    /// the membership.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
        let hosts: Vec<Name> = self.members.keys().cloned().collect();
        for host in &hosts {
            let member = &self.members[host];
            let speed = member.speed;
            if !member.alive || member.resigned {
                self.start(host, speed);
            }
            if let Some(member) = self.members.get_mut(host) {
                member.frozen = Time::ZERO;
            }
            self.publish_members(host);
        }
    }

    /// Returns the members that do not follow the one leader.
    pub(crate) fn members_without_leader(&self) -> Vec<Name> {
        let leaders = self.leaders();
        let follows = |member: &Member| {
            let leader = member.cell.leader(local(self.now, member.speed));
            leader.is_some() && leader == leaders.first().map(|(host, _)| host)
        };
        let members = self.log.members.iter();
        members
            .filter(|h| !follows(&self.members[*h]))
            .cloned()
            .collect()
    }

    /// Returns a violation if two hosts lead at once or a term was led twice.
    pub(crate) fn violation(&self) -> Option<String> {
        let leaders = self.leaders();
        if leaders.len() > 1 {
            return Some(format!("two leaders at {}: {leaders:?}", self.now));
        }
        let mut terms = BTreeSet::new();
        let twice = self.led.iter().find(|(_, term)| !terms.insert(*term));
        twice.map(|(host, term)| format!("term {term} was acquired a second time, by {host}"))
    }
}

fn local(now: Time, speed: u64) -> Time {
    Time::from_micros(now.as_micros() * speed / 1_000)
}

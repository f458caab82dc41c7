//! Messages between hosts and to the log, which may be delayed, duplicated or
//! lost.

use crate::simulation::{HOSTS_PER_CENTRE, InjectedFault, Simulation, Target, centre};
use rand::RngExt;
use sequoiawing_cell::{CellEvent, CellReply, CellRequest};
use sequoiawing_policy::PlaceEvent;
use sequoiawing_tables::{Command, Outcome};
use sequoiawing_types::Time;
use std::time::Duration;

pub(crate) enum Payload {
    Request(CellRequest),
    Reply(CellReply),
    Command(Box<Command>),
    Answer { term: u64, event: Box<PlaceEvent> },
    Recall(Target),
}

pub(crate) struct Packet {
    pub(crate) due: Time,
    from: usize,
    to: usize,
    payload: Payload,
}

impl Simulation {
    /// Sends a command to the log: usually with a short delay, sometimes
    /// seconds late or twice.
    pub(crate) fn allot(&mut self, i: usize, term: u64, target: Target, want: u32) {
        let host = &mut self.hosts[i];
        host.serial += 1;
        let (pool, model) = target;
        let command = Command::Allot {
            pool: pool.clone(),
            model: model.clone(),
            centre: centre(i / HOSTS_PER_CENTRE),
            term,
            serial: host.serial,
            want,
        };
        if self.disconnected[i / HOSTS_PER_CENTRE] {
            let count = None;
            let event = PlaceEvent::Allotted { pool, model, count };
            return self.send(
                i,
                i,
                Payload::Answer {
                    term,
                    event: Box::new(event),
                },
                40,
            );
        }
        let late = self.rng.random_ratio(1, 10);
        let delay = if late { 5_000 } else { 40 };
        self.send(i, i, Payload::Command(Box::new(command.clone())), delay);
        if self.rng.random_ratio(1, 10) {
            self.send(i, i, Payload::Command(Box::new(command)), 5_000);
        }
    }

    fn apply(&mut self, i: usize, command: Command) {
        let Command::Allot {
            pool,
            model,
            term,
            want,
            ..
        } = command.clone()
        else {
            return;
        };
        let Outcome::Allotted(count) = self.log.apply(command) else {
            return;
        };
        let count = match self.injected {
            InjectedFault::EarlyGrant => count.max(want),
            _ => count,
        };
        let is_lost = self.disconnected[i / HOSTS_PER_CENTRE] || self.rng.random_ratio(1, 10);
        let count = Some(count).filter(|_| !is_lost);
        let event = PlaceEvent::Allotted { pool, model, count };
        let event = Box::new(event);
        self.send(i, i, Payload::Answer { term, event }, 20);
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, payload: Payload, delay: u64) {
        let is_own = matches!(payload, Payload::Command(_) | Payload::Answer { .. });
        if !is_own && self.rng.random_ratio(1, 20) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(0..=delay));
        self.packets.push(Packet {
            due: self.now + delay,
            from,
            to,
            payload,
        });
    }

    pub(crate) fn deliver(&mut self, packet: Packet) {
        let Packet {
            from, to, payload, ..
        } = packet;
        if let Payload::Command(command) = payload {
            return self.apply(from, *command);
        }
        let is_disconnected = from / HOSTS_PER_CENTRE != to / HOSTS_PER_CENTRE
            && (self.disconnected[from / HOSTS_PER_CENTRE]
                || self.disconnected[to / HOSTS_PER_CENTRE]);
        if !self.hosts[to].is_alive || is_disconnected {
            return;
        }
        match payload {
            Payload::Request(request) => {
                self.cell_event_from(to, CellEvent::Request(request), from);
            }
            Payload::Reply(reply) => self.cell_event(to, CellEvent::Reply(reply)),
            Payload::Answer { term, event } => {
                let lease = self.hosts[to].cell.lease(self.now);
                if lease.is_some_and(|l| l.term == term) {
                    self.notify_placer(to, *event);
                }
            }
            Payload::Recall((pool, model)) => {
                if from / HOSTS_PER_CENTRE != to / HOSTS_PER_CENTRE {
                    self.notify_placer(to, PlaceEvent::Recalled { pool, model });
                }
            }
            Payload::Command(_) => {}
        }
    }
}

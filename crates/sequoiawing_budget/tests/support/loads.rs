use super::{Network, Node};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_budget::{
    BorrowRequest, CentreSlots, Lender, Limits, Reply, Share, Timing, Watermark,
};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The interval at which every host is polled.
const TICK: Duration = Duration::from_millis(1);

/// How long a leader collects reports before it knows what runs in its data
/// centre.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(100);

/// The longest duration of a load.
pub(crate) const MAX_LOAD: Duration = Duration::from_micros(MAX_LOAD_MICROS);
const MAX_LOAD_MICROS: u64 = 3_000_000;

/// The number of slots of all data centres together.
pub(crate) const SLOTS: u64 = 4;

/// A fault that the checker must catch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The owner takes slots back when their lease expires, even if a load that
    /// holds one still runs.
    OverrunIgnored,
    /// A leader confirms the slots in use before it knows what runs in its data
    /// centre.
    DiscoverySkipped,
    /// A disconnected data centre uses its share before the others have ended
    /// their loads on it.
    ShareTooEarly,
}

#[derive(Clone, Copy)]
struct Clock {
    origin: u64,
    millionths: u64,
}

impl Clock {
    fn now(self, real: Time) -> Time {
        Time::from_micros(self.origin + real.as_micros() * self.millionths / 1_000_000)
    }
}

/// A data centre whose loads continue when its leader is lost.
struct CentreLoads {
    clock: Clock,
    term: u64,
    slots: Option<CentreSlots>,
    share: Share,
    elected: Time,
    loads: Vec<Time>,
    waiting: u64,
}

enum Event {
    ToOwner(usize, u64, BorrowRequest),
    ToCentre(usize, u64, Reply),
    Committed(u64, Watermark),
}

/// A simulation in virtual time of data centres that load from one store.
pub(crate) struct LoadWorld {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    /// The number of started loads.
    pub(crate) started: u64,
    fault: Fault,
    term: u64,
    owner: Option<(Clock, Lender)>,
    log: Option<Watermark>,
    centres: Vec<CentreLoads>,
    events: BTreeMap<(Time, u64), Event>,
    sequence: u64,
}

fn timing(overrun: Duration) -> Timing {
    Timing {
        lease: Duration::from_millis(500),
        drift: 1_000,
        overrun,
    }
}

fn name(c: usize) -> Name {
    Name::from(c.to_string())
}

impl LoadWorld {
    pub(crate) fn new(seed: u64, count: usize, fault: Fault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let centre = |rng: &mut ChaCha8Rng| CentreLoads {
            clock: clock(rng),
            term: 0,
            slots: None,
            share: Share::NONE,
            elected: Time::ZERO,
            loads: Vec::new(),
            waiting: 0,
        };
        let centres = (0..count).map(|_| centre(&mut rng)).collect();
        let mut world = Self {
            now: Time::ZERO,
            rng,
            network: Network::new(),
            started: 0,
            fault,
            term: 0,
            owner: None,
            log: None,
            centres,
            events: BTreeMap::new(),
            sequence: 0,
        };
        world.start_owner();
        (0..count).for_each(|c| world.start_leader(c));
        world
    }

    pub(crate) fn stop_owner(&mut self) {
        self.owner = None;
    }

    pub(crate) fn start_owner(&mut self) {
        self.term += 1;
        let clock = clock(&mut self.rng);
        let overrun = if self.fault == Fault::OverrunIgnored {
            Duration::ZERO
        } else {
            MAX_LOAD
        };
        let now = clock.now(self.now);
        let limits = Limits::slots(SLOTS);
        let lender = Lender::owner(now, self.term, limits, timing(overrun), self.log.clone());
        self.owner = Some((clock, lender));
    }

    pub(crate) fn stop_leader(&mut self, c: usize) {
        self.centres[c].slots = None;
    }

    pub(crate) fn start_leader(&mut self, c: usize) {
        let overrun = if self.fault == Fault::ShareTooEarly {
            Duration::ZERO
        } else {
            MAX_LOAD
        };
        let centre = &mut self.centres[c];
        centre.term += 1;
        centre.elected = self.now;
        let now = centre.clock.now(self.now);
        let limits = Limits::slots(SLOTS);
        let slots = CentreSlots::new(now, centre.term, limits, timing(overrun), centre.share);
        centre.slots = Some(slots);
    }

    pub(crate) fn has_owner(&self) -> bool {
        self.owner.is_some()
    }

    pub(crate) fn has_leader(&self, c: usize) -> bool {
        self.centres[c].slots.is_some()
    }

    /// Queues more loads in a data centre.
    pub(crate) fn request_loads(&mut self, c: usize, loads: u64) {
        self.centres[c].waiting += loads;
    }

    /// Returns the number of loads that run in a data centre.
    pub(crate) fn running(&self, c: usize) -> usize {
        self.centres[c].loads.len()
    }

    /// Advances the time by `span` and checks the slots after each tick.
    pub(crate) fn run(&mut self, span: Duration) -> Result<(), String> {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.event(event);
            }
            self.poll_owner();
            (0..self.centres.len()).for_each(|c| self.poll(c));
            self.check()?;
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        let running: usize = self.centres.iter().map(|s| s.loads.len()).sum();
        if running as u64 > SLOTS {
            return Err(format!("{running} slots in use at {}", self.now));
        }
        Ok(())
    }

    fn poll(&mut self, c: usize) {
        let centre = &mut self.centres[c];
        centre.loads.retain(|end| *end > self.now);
        let is_discovered = self.now >= centre.elected + DISCOVERY_PERIOD;
        let used = if is_discovered {
            centre.loads.len() as u64
        } else {
            0
        };
        let Some(slots) = &mut centre.slots else {
            return;
        };
        if !is_discovered && self.fault != Fault::DiscoverySkipped {
            return;
        }
        let now = centre.clock.now(self.now);
        slots.set_use(now, used, used + centre.waiting);
        let mut free = slots.limit(now).saturating_sub(used).min(centre.waiting);
        while free > 0 {
            free -= 1;
            centre.waiting -= 1;
            self.started += 1;
            let longest = MAX_LOAD_MICROS * 1_000_000 / centre.clock.millionths;
            let span = Duration::from_micros(self.rng.random_range(longest / 10..longest));
            centre.loads.push(self.now + span);
        }
        slots.set_use(
            now,
            centre.loads.len() as u64,
            centre.loads.len() as u64 + centre.waiting,
        );
        centre.share = slots.share();
        if slots.is_due(now) {
            let request = slots.borrow_request(now);
            let term = centre.term;
            self.post(Node::Centre(c), Node::Owner, || {
                Event::ToOwner(c, term, request.clone())
            });
        }
    }

    fn poll_owner(&mut self) {
        let Some((clock, lender)) = &mut self.owner else {
            return;
        };
        let now = clock.now(self.now);
        lender.tick(now);
        if let Some(watermark) = lender.propose(now) {
            let delay = Duration::from_micros(self.rng.random_range(500..3_000));
            self.schedule(delay, Event::Committed(self.term, watermark));
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::ToOwner(c, term, request) => {
                let count = self.centres.len();
                let Some((clock, lender)) = &mut self.owner else {
                    return;
                };
                let now = clock.now(self.now);
                lender.set_shares(now, [(name(c), Share::equal(count))]);
                let reply = lender.handle(now, &name(c), &request);
                self.post(Node::Owner, Node::Centre(c), || {
                    Event::ToCentre(c, term, reply.clone())
                });
            }
            Event::ToCentre(c, term, reply) => {
                let centre = &mut self.centres[c];
                let now = centre.clock.now(self.now);
                if let Some(slots) = centre.slots.as_mut().filter(|_| centre.term == term) {
                    slots.handle_reply(now, &reply);
                }
            }
            Event::Committed(term, watermark) => {
                if term != self.term {
                    return;
                }
                self.log = Some(watermark.clone());
                if let Some((clock, lender)) = &mut self.owner {
                    lender.commit(clock.now(self.now), &watermark);
                }
            }
        }
    }

    fn post<F>(&mut self, from: Node, to: Node, event: F)
    where
        F: Fn() -> Event,
    {
        for delay in self.network.send(&mut self.rng, from, to) {
            self.schedule(delay, event());
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }
}

fn clock(rng: &mut ChaCha8Rng) -> Clock {
    Clock {
        origin: rng.random_range(1..1_000_000_000),
        millionths: rng.random_range(999_500..=1_000_500),
    }
}

use super::{Network, Place};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_budget::{
    BorrowRequest, CentreSlots, Lender, Limits, Reply, Share, Timing, Watermark,
};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// How often every machine is looked at.
const TICK: Duration = Duration::from_millis(1);

/// How long a leader listens before it knows what runs in its data centre.
const LISTENING: Duration = Duration::from_millis(100);

/// The longest load.
pub(crate) const HOLDING: Duration = Duration::from_micros(HOLDING_MICROS);
const HOLDING_MICROS: u64 = 3_000_000;

/// The slots of all data centres.
pub(crate) const SLOTS: u64 = 4;

/// A fault that the checker has to catch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The owner takes slots back when their lease ends, whatever still runs.
    HoldingIgnored,
    /// A leader vouches for its data centre before it has listened.
    NotListened,
    /// A data centre uses its share before the others have ended their loads.
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

/// A data centre, whose loads go on without its leader.
struct Site {
    clock: Clock,
    term: u64,
    slots: Option<CentreSlots>,
    share: Share,
    led: Time,
    loads: Vec<Time>,
    waiting: u64,
}

enum Event {
    ToOwner(usize, u64, BorrowRequest),
    ToSite(usize, u64, Reply),
    Committed(u64, Watermark),
}

/// Data centres that load from one store, in virtual time.
pub(crate) struct Sites {
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    /// The loads that were begun.
    pub(crate) begun: u64,
    fault: Fault,
    term: u64,
    owner: Option<(Clock, Lender)>,
    log: Option<Watermark>,
    centres: Vec<Site>,
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

impl Sites {
    pub(crate) fn new(seed: u64, count: usize, fault: Fault) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = |rng: &mut ChaCha8Rng| Site {
            clock: clock(rng),
            term: 0,
            slots: None,
            share: Share::NONE,
            led: Time::ZERO,
            loads: Vec::new(),
            waiting: 0,
        };
        let sites = (0..count).map(|_| site(&mut rng)).collect();
        let mut world = Self {
            now: Time::ZERO,
            rng,
            network: Network::new(),
            begun: 0,
            fault,
            term: 0,
            owner: None,
            log: None,
            centres: sites,
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
        let overrun = if self.fault == Fault::HoldingIgnored {
            Duration::ZERO
        } else {
            HOLDING
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
            HOLDING
        };
        let site = &mut self.centres[c];
        site.term += 1;
        site.led = self.now;
        let now = site.clock.now(self.now);
        let limits = Limits::slots(SLOTS);
        let slots = CentreSlots::new(now, site.term, limits, timing(overrun), site.share);
        site.slots = Some(slots);
    }

    pub(crate) fn has_owner(&self) -> bool {
        self.owner.is_some()
    }

    pub(crate) fn has_leader(&self, c: usize) -> bool {
        self.centres[c].slots.is_some()
    }

    /// Asks a data centre for more loads.
    pub(crate) fn want(&mut self, c: usize, loads: u64) {
        self.centres[c].waiting += loads;
    }

    /// Returns the loads that run in a data centre.
    pub(crate) fn running(&self, c: usize) -> usize {
        self.centres[c].loads.len()
    }

    /// Lets time pass and checks the slots on the way.
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
            self.pump_owner();
            (0..self.centres.len()).for_each(|c| self.pump(c));
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

    fn pump(&mut self, c: usize) {
        let site = &mut self.centres[c];
        site.loads.retain(|end| *end > self.now);
        let listened = self.now >= site.led + LISTENING;
        let used = if listened { site.loads.len() as u64 } else { 0 };
        let Some(slots) = &mut site.slots else {
            return;
        };
        if !listened && self.fault != Fault::NotListened {
            return;
        }
        let now = site.clock.now(self.now);
        slots.set_use(now, used, used + site.waiting);
        let mut free = slots.limit(now).saturating_sub(used).min(site.waiting);
        while free > 0 {
            free -= 1;
            site.waiting -= 1;
            self.begun += 1;
            let longest = HOLDING_MICROS * 1_000_000 / site.clock.millionths;
            let span = Duration::from_micros(self.rng.random_range(longest / 10..longest));
            site.loads.push(self.now + span);
        }
        slots.set_use(
            now,
            site.loads.len() as u64,
            site.loads.len() as u64 + site.waiting,
        );
        site.share = slots.share();
        if slots.is_due(now) {
            let request = slots.borrow_request(now);
            let term = site.term;
            self.post(Place::Centre(c), Place::Owner, || {
                Event::ToOwner(c, term, request.clone())
            });
        }
    }

    fn pump_owner(&mut self) {
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
                self.post(Place::Owner, Place::Centre(c), || {
                    Event::ToSite(c, term, reply.clone())
                });
            }
            Event::ToSite(c, term, reply) => {
                let site = &mut self.centres[c];
                let now = site.clock.now(self.now);
                if let Some(slots) = site.slots.as_mut().filter(|_| site.term == term) {
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

    fn post<F>(&mut self, from: Place, to: Place, event: F)
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

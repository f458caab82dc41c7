use super::{
    Checker, Network, Place, Plant, Settings,
    clock::{Clock, clock},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_budget::{
    Admission, BorrowRequest, CentreBudget, Charge, Denial, Lender, Refill, Reply, RouterBudget,
    Share, Watermark,
};
use sequoiawing_types::{Name, Time};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

/// How often every machine is looked at.
const TICK: Duration = Duration::from_millis(1);

/// How often the checker replays everything.
const CHECK: Duration = Duration::from_millis(500);

pub(super) struct Router {
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) admission: Admission,
    /// The charges of requests that run.
    pub(super) open: BTreeMap<usize, Charge>,
}

pub(super) struct Cell {
    pub(super) leader: usize,
    pub(super) term: u64,
    pub(super) centre: Option<CentreBudget>,
    pub(super) routers: Vec<Router>,
}

pub(super) struct Owner {
    pub(super) clock: Clock,
    pub(super) lender: Lender,
}

pub(super) enum Event {
    ToOwner(usize, u64, BorrowRequest),
    ToCentre(usize, u64, Reply),
    WakeCentre(usize),
    ToLeader(usize, usize, u64, BorrowRequest),
    ToRouter(usize, usize, u64, Reply),
    WakeRouter(usize, usize),
    Committed(u64, Watermark),
    End(usize, usize, u64, Charge, u64, usize),
}

/// A deployment of one budget.
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) checker: Checker,
    /// The tokens admitted in each data centre.
    pub(crate) admitted: Vec<u64>,
    pub(crate) refused: u64,
    /// Why requests were refused, in their order.
    pub(crate) denials: Vec<Denial>,
    /// Requests refused though one bucket would have admitted them.
    pub(crate) wrongful: u64,
    pub(super) term: u64,
    pub(super) owner: Option<Owner>,
    pub(super) log: Option<Watermark>,
    pub(super) cells: Vec<Cell>,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) sequence: u64,
    pub(super) waiting: BTreeMap<u64, u64>,
    pub(super) ticked: Time,
    pub(super) checked: Time,
}

impl World {
    pub(crate) fn new(settings: Settings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let now = Time::ZERO;
        let cells = (0..settings.centres).map(|_| Cell {
            leader: 0,
            term: 1,
            centre: None,
            routers: (0..settings.routers)
                .map(|_| router(&settings, &mut rng, now, 1))
                .collect(),
        });
        let cells = cells.collect();
        let mut world = Self {
            settings,
            now,
            rng,
            network: Network::new(),
            checker: Checker::new(settings.limits, settings.timing.drift),
            admitted: vec![0; settings.centres],
            refused: 0,
            denials: Vec::new(),
            wrongful: 0,
            term: 0,
            owner: None,
            log: None,
            cells,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            waiting: BTreeMap::new(),
            ticked: now,
            checked: now,
        };
        world.start_owner();
        for c in 0..settings.centres {
            world.start_leader(c, 0);
        }
        world
    }

    /// Sends a request to a router.
    pub(crate) fn request(&mut self, c: usize, r: usize, tokens: u64) {
        self.sequence += 1;
        let id = self.sequence;
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        if let Some(decision) = router.admission.request(now, id, tokens) {
            self.decide(c, r, tokens, decision);
        } else {
            self.waiting.insert(id, tokens);
            self.pump_router(c, r);
        }
    }

    pub(super) fn decide(
        &mut self,
        c: usize,
        r: usize,
        tokens: u64,
        decision: Result<Charge, Denial>,
    ) {
        let charge = match decision {
            Ok(charge) => charge,
            Err(denial) => return self.refuse(tokens, denial),
        };
        let index = self.checker.admit(self.now, tokens);
        self.cells[c].routers[r].open.insert(index, charge);
        self.admitted[c] += tokens;
        let used = if self.settings.exact {
            tokens
        } else {
            self.rng.random_range(1..=tokens)
        };
        let span = Duration::from_millis(self.rng.random_range(1..1_500));
        let incarnation = self.cells[c].routers[r].incarnation;
        self.schedule(span, Event::End(c, r, incarnation, charge, used, index));
    }

    pub(super) fn refuse(&mut self, tokens: u64, denial: Denial) {
        self.refused += 1;
        self.denials.push(denial);
        if self.settings.judge {
            self.judge(tokens);
        }
    }

    /// Counts a refusal that one bucket would not have made.
    ///
    /// What accrues during the round trips is allowed for, and that credit may
    /// be on its way to requests that wait elsewhere.
    pub(super) fn judge(&mut self, tokens: u64) {
        let rate = self.settings.limits.rate();
        let patience = u64::try_from(self.settings.patience.as_millis()).unwrap_or(0);
        let slack = rate * patience / 1_000 + self.settings.slack;
        let elsewhere: u64 = self.waiting.values().sum();
        let needed = u32::try_from(tokens + slack + elsewhere).expect("numbers are small");
        if self.checker.level(self.now) >= f64::from(needed) {
            self.wrongful += 1;
        }
    }

    /// Ends a request; slots are free again, tokens stay used.
    pub(super) fn settle(&mut self, index: usize, used: u64) {
        let is_slots = self.settings.limits.refill == Refill::OnReturn;
        let used = if is_slots { 0 } else { used };
        self.checker.settle(self.now, index, used);
    }

    /// Ends what a router holds slots for when their lease has run out.
    pub(super) fn end_unleased(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        if self.settings.limits.refill != Refill::OnReturn {
            return;
        }
        let budget = router.admission.budget();
        let is_over = |c: &Charge| !budget.is_leased(now, c);
        let over: Vec<_> = router.open.iter().filter(|(_, c)| is_over(c)).collect();
        let over: Vec<_> = over.into_iter().map(|(i, c)| (*i, *c)).collect();
        for (index, charge) in over {
            router.open.remove(&index);
            router.admission.settle(now, charge, 0);
            self.checker.settle(self.now, index, 0);
        }
    }

    pub(super) fn schedule(&mut self, span: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + span, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn post<F>(&mut self, from: Place, to: Place, event: F)
    where
        F: Fn() -> Event,
    {
        for delay in self.network.send(&mut self.rng, from, to) {
            self.schedule(delay, event());
        }
    }

    /// Runs until a moment, checking the total on the way.
    pub(crate) fn run_until(&mut self, end: Time) -> Result<(), String> {
        loop {
            let next = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick = self.ticked + TICK;
            let at = next.map_or(tick, |n| n.min(tick)).max(self.now);
            if at > end {
                self.now = end;
                return self.check();
            }
            self.now = at;
            if next == Some(at) {
                let Some(Reverse((_, id))) = self.queue.pop() else {
                    continue;
                };
                let event = self.events.remove(&id).expect("it was scheduled");
                self.event(event);
            } else {
                self.ticked = at;
                self.tick();
            }
            if self.now >= self.checked + CHECK {
                self.checked = self.now;
                self.check()?;
            }
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        self.checker.check(self.now)
    }

    pub(super) fn tick(&mut self) {
        self.pump_owner();
        self.wake();
        for c in 0..self.cells.len() {
            self.pump_centre(c);
            for r in 0..self.cells[c].routers.len() {
                self.pump_router(c, r);
            }
        }
    }

    pub(super) fn pump_owner(&mut self) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        let now = owner.clock.now(self.now);
        owner.lender.tick(now);
        let watermark = owner.lender.propose(now);
        if let Some(mut watermark) = watermark {
            if self.settings.plant == Plant::ShareBeforeRelease {
                watermark
                    .shares
                    .values_mut()
                    .for_each(|s| *s = Share::WHOLE);
            }
            let delay = Duration::from_micros(self.rng.random_range(500..3_000));
            self.schedule(delay, Event::Committed(self.term, watermark));
        }
    }

    /// Tells borrowers that they were asked to return credit.
    pub(super) fn wake(&mut self) {
        let owner = self.owner.as_ref();
        let recalled = owner.map(|o| o.lender.recalled().map(index).collect());
        let recalled: Vec<usize> = recalled.unwrap_or_default();
        for c in recalled {
            self.post(Place::Owner, Place::Centre(c), || Event::WakeCentre(c));
        }
        for c in 0..self.cells.len() {
            let centre = self.cells[c].centre.as_ref();
            let recalled = centre.map(|x| x.recalled().map(index).collect());
            let recalled: Vec<usize> = recalled.unwrap_or_default();
            for r in recalled {
                let (from, to) = (Place::Centre(c), Place::Router(c, r));
                self.post(from, to, || Event::WakeRouter(c, r));
            }
        }
    }

    pub(super) fn pump_centre(&mut self, c: usize) {
        let cell = &mut self.cells[c];
        let clock = cell.routers[cell.leader].clock;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let now = clock.now(self.now);
        centre.tick(now);
        if centre.is_due(now) {
            self.ask_owner(c);
        }
    }

    pub(super) fn ask_owner(&mut self, c: usize) {
        let cell = &mut self.cells[c];
        let now = cell.routers[cell.leader].clock.now(self.now);
        let term = cell.term;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let request = centre.borrow_request(now);
        self.network.count(Place::Centre(c), &request);
        self.post(Place::Centre(c), Place::Owner, || {
            Event::ToOwner(c, term, request.clone())
        });
    }

    pub(super) fn pump_router(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        router.admission.tick(now);
        self.end_unleased(c, r);
        let router = &mut self.cells[c].routers[r];
        let mut decided = Vec::new();
        router.admission.poll(now, &mut decided);
        for (id, decision) in decided {
            let tokens = self.waiting.remove(&id).expect("it waited");
            self.decide(c, r, tokens, decision);
        }
        if self.cells[c].routers[r].admission.is_due(now) {
            self.ask_leader(c, r);
        }
    }

    pub(super) fn ask_leader(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        let request = router.admission.borrow_request(now);
        self.network.count(Place::Router(c, r), &request);
        let incarnation = router.incarnation;
        self.post(Place::Router(c, r), Place::Centre(c), || {
            Event::ToLeader(c, r, incarnation, request.clone())
        });
    }
}

pub(super) fn router(
    settings: &Settings,
    rng: &mut ChaCha8Rng,
    now: Time,
    incarnation: u64,
) -> Router {
    let clock = clock(settings, rng);
    let refill = settings.limits.refill;
    let budget = RouterBudget::new(clock.now(now), incarnation, refill, settings.timing);
    Router {
        clock,
        incarnation,
        admission: Admission::new(budget, settings.patience),
        open: BTreeMap::new(),
    }
}

pub(super) fn name(index: usize) -> Name {
    Name::from(index.to_string())
}

fn index(name: &Name) -> usize {
    name.as_str().parse().expect("names are numbers")
}

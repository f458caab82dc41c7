use super::{
    Checker, InjectedFault, Network, Node, Settings,
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

/// The interval at which every host is polled.
const TICK: Duration = Duration::from_millis(1);

/// The interval at which the checker replays all admitted requests.
const CHECK: Duration = Duration::from_millis(500);

pub(super) struct Router {
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) admission: Admission,
    /// The charges of running requests.
    pub(super) active: BTreeMap<usize, Charge>,
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
    RecallCentre(usize),
    ToLeader(usize, usize, u64, BorrowRequest),
    ToRouter(usize, usize, u64, Reply),
    RecallRouter(usize, usize),
    Committed(u64, Watermark),
    End(usize, usize, u64, Charge, u64, usize),
}

/// A simulated deployment of one budget.
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) checker: Checker,
    /// The tokens admitted in each data centre.
    pub(crate) admitted: Vec<u64>,
    pub(crate) refused: u64,
    /// The reasons of refusals, in order.
    pub(crate) denials: Vec<Denial>,
    /// Requests that were refused although a single bucket would have admitted
    /// them.
    pub(crate) wrong_refusals: u64,
    pub(super) term: u64,
    pub(super) owner: Option<Owner>,
    pub(super) log: Option<Watermark>,
    pub(super) cells: Vec<Cell>,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64)>>,
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) sequence: u64,
    pub(super) waiting: BTreeMap<u64, u64>,
    pub(super) last_tick: Time,
    pub(super) last_check: Time,
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
            wrong_refusals: 0,
            term: 0,
            owner: None,
            log: None,
            cells,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            waiting: BTreeMap::new(),
            last_tick: now,
            last_check: now,
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
            self.poll_router(c, r);
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
        self.cells[c].routers[r].active.insert(index, charge);
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
        if self.settings.check_refusals {
            self.check_refusal(tokens);
        }
    }

    /// Counts a refusal of a request that a single bucket would have admitted.
    ///
    /// Allows for credit that accrues during the round trips, and for credit
    /// that may be in transit to requests that wait elsewhere.
    pub(super) fn check_refusal(&mut self, tokens: u64) {
        let rate = self.settings.limits.rate();
        let max_wait = u64::try_from(self.settings.max_wait.as_millis()).unwrap_or(0);
        let slack = rate * max_wait / 1_000 + self.settings.slack;
        let elsewhere: u64 = self.waiting.values().sum();
        let needed = u32::try_from(tokens + slack + elsewhere).expect("the value fits in u32");
        if self.checker.level(self.now) >= f64::from(needed) {
            self.wrong_refusals += 1;
        }
    }

    /// Ends a request. Slots become free again; used tokens stay used.
    pub(super) fn settle(&mut self, index: usize, used: u64) {
        let is_slots = self.settings.limits.refill == Refill::OnReturn;
        let used = if is_slots { 0 } else { used };
        self.checker.settle(self.now, index, used);
    }

    /// Ends requests whose slots are no longer leased.
    pub(super) fn end_expired(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        if self.settings.limits.refill != Refill::OnReturn {
            return;
        }
        let budget = router.admission.budget();
        let is_over = |c: &Charge| !budget.is_leased(now, c);
        let over: Vec<_> = router.active.iter().filter(|(_, c)| is_over(c)).collect();
        let over: Vec<_> = over.into_iter().map(|(i, c)| (*i, *c)).collect();
        for (index, charge) in over {
            router.active.remove(&index);
            router.admission.settle(now, charge, 0);
            self.checker.settle(self.now, index, 0);
        }
    }

    pub(super) fn schedule(&mut self, span: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + span, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(super) fn post<F>(&mut self, from: Node, to: Node, event: F)
    where
        F: Fn() -> Event,
    {
        for delay in self.network.send(&mut self.rng, from, to) {
            self.schedule(delay, event());
        }
    }

    /// Runs until `end` and checks the total at regular intervals.
    pub(crate) fn run_until(&mut self, end: Time) -> Result<(), String> {
        loop {
            let next = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick = self.last_tick + TICK;
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
                let event = self.events.remove(&id).expect("the event is scheduled");
                self.event(event);
            } else {
                self.last_tick = at;
                self.tick();
            }
            if self.now >= self.last_check + CHECK {
                self.last_check = self.now;
                self.check()?;
            }
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        self.checker.check(self.now)
    }

    pub(super) fn tick(&mut self) {
        self.poll_owner();
        self.notify_recalled();
        for c in 0..self.cells.len() {
            self.poll_centre(c);
            for r in 0..self.cells[c].routers.len() {
                self.poll_router(c, r);
            }
        }
    }

    pub(super) fn poll_owner(&mut self) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        let now = owner.clock.now(self.now);
        owner.lender.tick(now);
        let watermark = owner.lender.propose(now);
        if let Some(mut watermark) = watermark {
            if self.settings.injected_fault == InjectedFault::ShareBeforeRelease {
                watermark
                    .shares
                    .values_mut()
                    .for_each(|s| *s = Share::WHOLE);
            }
            let delay = Duration::from_micros(self.rng.random_range(500..3_000));
            self.schedule(delay, Event::Committed(self.term, watermark));
        }
    }

    /// Notifies borrowers from which credit is recalled.
    pub(super) fn notify_recalled(&mut self) {
        let owner = self.owner.as_ref();
        let recalled = owner.map(|o| o.lender.recalled().map(index).collect());
        let recalled: Vec<usize> = recalled.unwrap_or_default();
        for c in recalled {
            self.post(Node::Owner, Node::Centre(c), || Event::RecallCentre(c));
        }
        for c in 0..self.cells.len() {
            let centre = self.cells[c].centre.as_ref();
            let recalled = centre.map(|x| x.recalled().map(index).collect());
            let recalled: Vec<usize> = recalled.unwrap_or_default();
            for r in recalled {
                let (from, to) = (Node::Centre(c), Node::Router(c, r));
                self.post(from, to, || Event::RecallRouter(c, r));
            }
        }
    }

    pub(super) fn poll_centre(&mut self, c: usize) {
        let cell = &mut self.cells[c];
        let clock = cell.routers[cell.leader].clock;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let now = clock.now(self.now);
        centre.tick(now);
        if centre.is_due(now) {
            self.request_from_owner(c);
        }
    }

    pub(super) fn request_from_owner(&mut self, c: usize) {
        let cell = &mut self.cells[c];
        let now = cell.routers[cell.leader].clock.now(self.now);
        let term = cell.term;
        let Some(centre) = &mut cell.centre else {
            return;
        };
        let request = centre.borrow_request(now);
        self.network.count(Node::Centre(c), &request);
        self.post(Node::Centre(c), Node::Owner, || {
            Event::ToOwner(c, term, request.clone())
        });
    }

    pub(super) fn poll_router(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        router.admission.tick(now);
        self.end_expired(c, r);
        let router = &mut self.cells[c].routers[r];
        let mut decided = Vec::new();
        router.admission.poll(now, &mut decided);
        for (id, decision) in decided {
            let tokens = self.waiting.remove(&id).expect("the request is queued");
            self.decide(c, r, tokens, decision);
        }
        if self.cells[c].routers[r].admission.is_due(now) {
            self.request_from_leader(c, r);
        }
    }

    pub(super) fn request_from_leader(&mut self, c: usize, r: usize) {
        let router = &mut self.cells[c].routers[r];
        let now = router.clock.now(self.now);
        let request = router.admission.borrow_request(now);
        self.network.count(Node::Router(c, r), &request);
        let incarnation = router.incarnation;
        self.post(Node::Router(c, r), Node::Centre(c), || {
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
        admission: Admission::new(budget, settings.max_wait),
        active: BTreeMap::new(),
    }
}

pub(super) fn name(index: usize) -> Name {
    Name::from(index.to_string())
}

fn index(name: &Name) -> usize {
    name.as_str().parse().expect("names are numbers")
}

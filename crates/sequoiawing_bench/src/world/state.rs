use crate::{
    Deployment, Policy, Request,
    budget::Budget,
    fakes::{DecisionLog, FakeRunner, FakeStore},
    world::{
        Checker, Outcome, Tally,
        credits::CreditOwner,
        event::{Due, Event},
        outcome::ColdLoad,
        sent::SentOrders,
    },
};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_policy::{
    DispatchSettings, Dispatcher, KeepAliveSettings, Leadership, PlaceEvent, PlaceSettings, Placer,
};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::Duration,
};

/// The settings of a bench run.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// What the random choices of policies follow from.
    pub seed: u64,
    /// How often runners announce themselves.
    pub interval: Duration,
    /// Whether they also do so at each change.
    pub is_prompt: bool,
    /// The bounds of the learned keep-alive.
    pub idle: KeepAliveSettings,
    /// The bounds of the placers.
    pub place: PlaceSettings,
}

impl Default for WorldSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            interval: Duration::from_millis(250),
            is_prompt: true,
            idle: KeepAliveSettings::default(),
            place: PlaceSettings::default(),
        }
    }
}

/// The intervals for which an announcement holds.
pub(crate) const LIFETIME_INTERVALS: u32 = 6;

/// How often placers and dispatchers are told the time.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// How long the answer to an order is waited for.
pub(crate) const CALL_LIMIT: Duration = Duration::from_secs(2);

/// How long an order may still be on its way when another leader begins.
const QUIET: Duration = Duration::from_secs(5);

/// The attempts of one request that have identifiers of their own.
pub(crate) const ATTEMPTS: u64 = 16;

/// How long after a request's deadline its answer is looked for.
pub(crate) const GRACE: Duration = Duration::from_millis(200);

/// One data centre.
pub(crate) struct Centre {
    pub(crate) name: Name,
    pub(crate) placer: Placer,
    pub(crate) term: u64,
    pub(crate) is_cut: bool,
    /// What its cell remembers that it may hold.
    pub(crate) shares: BTreeMap<(Name, Name), u32>,
    /// The newest announcement heard of each runner.
    pub(crate) heard: Vec<u64>,
}

/// One router.
pub(crate) struct Router {
    pub(crate) centre: usize,
    pub(crate) dispatcher: Dispatcher,
    /// The newest announcement heard of each runner.
    pub(crate) heard: Vec<u64>,
}

/// What a runner is to do besides its work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Plight {
    pub(crate) dies_in_load: bool,
    pub(crate) loses_orders: bool,
    pub(crate) left: Option<Time>,
    /// When it last announced itself.
    pub(crate) announced: Time,
}

/// Placers and dispatchers with fakes of runners, weight store, log and
/// budgets, in virtual time.
///
/// There is no model of networks or processes: what one part tells another
/// arrives at once or, by a fault, not at all.
pub struct World {
    pub(crate) settings: WorldSettings,
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) now: Time,
    pub(crate) queue: BinaryHeap<Due>,
    pub(crate) counter: u64,
    pub(crate) centres: Vec<Centre>,
    pub(crate) routers: Vec<Router>,
    pub(crate) runners: Vec<FakeRunner>,
    pub(crate) plights: Vec<Plight>,
    pub(crate) names: HashMap<Name, usize>,
    pub(crate) announced: Vec<Option<UpstreamState>>,
    pub(crate) store: FakeStore,
    pub(crate) log: DecisionLog,
    pub(crate) owner: CreditOwner,
    pub(crate) budget: Budget,
    pub(crate) requests: Vec<Request>,
    pub(crate) outcomes: Vec<Outcome>,
    /// The requests that each runner runs, with the attempt.
    pub(crate) jobs: Vec<BTreeMap<usize, u32>>,
    pub(crate) withdrawn: BTreeSet<Name>,
    pub(crate) sent: SentOrders,
    pub(crate) cold: BTreeMap<Name, ColdLoad>,
    pub(crate) checker: Checker,
    pub(crate) tally: Tally,
    /// What happened, when a script wants to see it.
    pub(crate) trace: Option<Vec<String>>,
    pub(crate) is_ended: bool,
}

impl World {
    /// Returns a world in which nothing has happened yet.
    pub fn new(deployment: Deployment, policy: Policy, settings: WorldSettings) -> Self {
        let centres = deployment.centres.len();
        let mut world = Self {
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            counter: 0,
            centres: Vec::new(),
            routers: Vec::new(),
            runners: deployment
                .runners
                .iter()
                .cloned()
                .map(FakeRunner::new)
                .collect(),
            plights: vec![Plight::default(); deployment.runners.len()],
            names: HashMap::new(),
            announced: vec![None; deployment.runners.len()],
            store: FakeStore::new(deployment.store),
            log: DecisionLog::default(),
            owner: CreditOwner::new(deployment.store.slots, centres),
            budget: Budget::new(
                policy.rates(),
                &deployment.customers,
                deployment.routers.len(),
                centres,
            ),
            requests: Vec::new(),
            outcomes: Vec::new(),
            jobs: vec![BTreeMap::new(); deployment.runners.len()],
            withdrawn: BTreeSet::new(),
            sent: SentOrders::default(),
            cold: BTreeMap::new(),
            checker: Checker::default(),
            tally: Tally::default(),
            trace: None,
            is_ended: false,
            settings,
            deployment,
            policy,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for (i, runner) in self.runners.iter().enumerate() {
            self.names.insert(runner.spec.name.clone(), i);
        }
        for model in &self.deployment.pool.models {
            let target = (self.deployment.pool.name.clone(), model.name.clone());
            self.log.limit(target, model.replicas);
        }
        for i in 0..self.deployment.centres.len() {
            let placer = self.new_placer(i);
            self.centres.push(Centre {
                name: self.deployment.centres[i].clone(),
                placer,
                term: 0,
                is_cut: false,
                shares: BTreeMap::new(),
                heard: vec![0; self.runners.len()],
            });
            self.lead(i, Duration::ZERO);
            self.push(Time::ZERO, Event::TickPlacer(i));
        }
        for i in 0..self.deployment.routers.len() {
            let router = self.new_router(i);
            self.routers.push(router);
            self.push(Time::ZERO, Event::TickRouter(i));
        }
        for i in 0..self.runners.len() {
            let epoch = self.runners[i].epoch;
            let offset = Duration::from_millis(7 * i as u64);
            self.push(Time::ZERO + offset, Event::Announce { runner: i, epoch });
        }
    }

    fn new_placer(&self, centre: usize) -> Placer {
        let centres = u32::try_from(self.deployment.centres.len()).unwrap_or(1);
        let settings = PlaceSettings {
            centre: self.deployment.centres[centre].clone(),
            load_slots: (self.deployment.store.slots / centres).max(1),
            load_rate: self.deployment.store.starts / f64::from(centres),
            store_slots: self.deployment.store.slots,
            ..self.settings.place.clone()
        };
        let mut placer =
            Placer::new(settings).with_policies(self.policy.place(&self.settings.idle));
        let pools = vec![self.deployment.pool.clone()];
        let configured = PlaceEvent::Configured { pools };
        placer.handle(self.now, configured, &mut Vec::new());
        let centres = self.deployment.centres.iter().cloned().collect();
        let centres = PlaceEvent::Centres { centres };
        placer.handle(self.now, centres, &mut Vec::new());
        placer
    }

    fn new_router(&self, i: usize) -> Router {
        let centre_name = &self.deployment.routers[i];
        let centre = self
            .deployment
            .centres
            .iter()
            .position(|c| c == centre_name);
        let settings = DispatchSettings {
            host: Name::from(format!("entry-{}", i + 1)),
            centre: centre_name.clone(),
            pool: self.deployment.pool.name.clone(),
            cross_centre: self.policy.roams(),
            ..DispatchSettings::default()
        };
        let seed = self.settings.seed * 1_000 + i as u64;
        let dispatcher = Dispatcher::new(settings)
            .with_choice(self.policy.choice(seed))
            .with_discipline(self.policy.share());
        Router {
            centre: centre.unwrap_or(0),
            dispatcher,
            heard: vec![0; self.runners.len()],
        }
    }

    fn lead(&mut self, centre: usize, quiet: Duration) {
        let state = &mut self.centres[centre];
        state.term += 1;
        let leading = Some(Leadership {
            term: state.term,
            order_base: state.term << 32,
            order_grace: quiet,
            discovery_wait: Duration::ZERO,
        });
        self.tell_placer(
            centre,
            PlaceEvent::LeadershipChanged {
                leadership: leading,
            },
        );
    }

    pub(crate) fn new_leader(&mut self, centre: usize) {
        let placer = self.new_placer(centre);
        self.centres[centre].placer = placer;
        for state in self.announced.clone().into_iter().flatten() {
            let runner = self.names[&state.name];
            if self.reaches(centre, &self.runners[runner]) {
                self.tell_placer(centre, PlaceEvent::Announced(state.into()));
            }
        }
        let counts = self.centres[centre].shares.clone();
        self.lead(centre, QUIET);
        self.tell_placer(centre, PlaceEvent::Inherited { counts });
    }

    /// Keeps an account of what happens, for scripts.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Takes what happened since the last call.
    pub fn take_trace(&mut self) -> Vec<String> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub(crate) fn note<F>(&mut self, text: F)
    where
        F: FnOnce() -> String,
    {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now} {}", text()));
        }
    }

    pub(crate) fn push(&mut self, at: Time, event: Event) {
        self.counter += 1;
        let order = self.counter;
        self.queue.push(Due { at, order, event });
    }
}

use crate::{
    Deployment, Policy, Request,
    budget::Budget,
    fakes::{AllotmentLog, FakeRunner, FakeStore},
    simulation::{
        Counters, RequestOutcome, ViolationLog,
        credits::CreditAllocator,
        event::{Event, ScheduledEvent},
        outcome::ColdLoad,
        sent_orders::SentOrders,
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

/// The settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// The seed of the policies' random choices.
    pub seed: u64,
    /// The interval between a runner's announcements.
    pub announce_interval: Duration,
    /// Whether runners also announce each change at once.
    pub announces_changes: bool,
    /// The limits of the learned keep-alive.
    pub keep_alive: KeepAliveSettings,
    /// The settings of the placers.
    pub place: PlaceSettings,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            announce_interval: Duration::from_millis(250),
            announces_changes: true,
            keep_alive: KeepAliveSettings::default(),
            place: PlaceSettings::default(),
        }
    }
}

/// The lifetime of an announcement, in announcement intervals.
pub(crate) const LIFETIME_INTERVALS: u32 = 6;

/// The interval of ticks to placers and dispatchers.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// The time after which an unanswered order fails.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an order of a former leader may still be in flight.
const ORDER_GRACE: Duration = Duration::from_secs(5);

/// The attempts of one request that get distinct identifiers. Later attempts
/// reuse the last one.
pub(crate) const ATTEMPT_IDS: u64 = 16;

/// The time after its deadline at which an unanswered request counts as
/// dropped.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// A data centre.
pub(crate) struct Centre {
    pub(crate) name: Name,
    pub(crate) placer: Placer,
    pub(crate) term: u64,
    pub(crate) is_disconnected: bool,
    /// The allotments that its cell has recorded.
    pub(crate) recorded_counts: BTreeMap<(Name, Name), u32>,
    /// The sequence number of the latest announcement received from each
    /// runner.
    pub(crate) last_sequences: Vec<u64>,
}

/// A router.
pub(crate) struct Router {
    pub(crate) centre: usize,
    pub(crate) dispatcher: Dispatcher,
    /// The sequence number of the latest announcement received from each
    /// runner.
    pub(crate) last_sequences: Vec<u64>,
}

/// State and faults of a runner that the simulation tracks outside
/// [`FakeRunner`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerState {
    pub(crate) dies_in_load: bool,
    pub(crate) loses_orders: bool,
    pub(crate) leaving_since: Option<Time>,
    /// When it last announced itself.
    pub(crate) last_announced: Time,
}

/// Runs placers and dispatchers in virtual time, with fakes of the runners, the
/// weight store, the log and the budgets.
///
/// Networks and processes are not modelled: a message arrives at once or, by a
/// fault, not at all.
pub struct Simulation {
    pub(crate) settings: SimulationSettings,
    pub(crate) deployment: Deployment,
    pub(crate) policy: Policy,
    pub(crate) now: Time,
    pub(crate) queue: BinaryHeap<ScheduledEvent>,
    pub(crate) event_count: u64,
    pub(crate) centres: Vec<Centre>,
    pub(crate) routers: Vec<Router>,
    pub(crate) runners: Vec<FakeRunner>,
    pub(crate) runner_states: Vec<RunnerState>,
    pub(crate) runner_indexes: HashMap<Name, usize>,
    pub(crate) announcements: Vec<Option<UpstreamState>>,
    pub(crate) store: FakeStore,
    pub(crate) allotments: AllotmentLog,
    pub(crate) credits: CreditAllocator,
    pub(crate) budget: Budget,
    pub(crate) requests: Vec<Request>,
    pub(crate) outcomes: Vec<RequestOutcome>,
    /// The requests on each runner, running and queued, with their attempt
    /// numbers.
    pub(crate) jobs: Vec<BTreeMap<usize, u32>>,
    pub(crate) withdrawn: BTreeSet<Name>,
    pub(crate) sent_orders: SentOrders,
    pub(crate) open_cold: BTreeMap<Name, ColdLoad>,
    pub(crate) violations: ViolationLog,
    pub(crate) counters: Counters,
    /// Readable lines about events, if tracing is enabled.
    pub(crate) trace: Option<Vec<String>>,
    pub(crate) is_ended: bool,
}

impl Simulation {
    /// Returns a simulation at time zero.
    pub fn new(deployment: Deployment, policy: Policy, settings: SimulationSettings) -> Self {
        let centres = deployment.centres.len();
        let mut simulation = Self {
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            event_count: 0,
            centres: Vec::new(),
            routers: Vec::new(),
            runners: deployment
                .runners
                .iter()
                .cloned()
                .map(FakeRunner::new)
                .collect(),
            runner_states: vec![RunnerState::default(); deployment.runners.len()],
            runner_indexes: HashMap::new(),
            announcements: vec![None; deployment.runners.len()],
            store: FakeStore::new(deployment.store),
            allotments: AllotmentLog::default(),
            credits: CreditAllocator::new(deployment.store.slots, centres),
            budget: Budget::new(
                policy.rate_scope(),
                &deployment.customers,
                deployment.routers.len(),
                centres,
            ),
            requests: Vec::new(),
            outcomes: Vec::new(),
            jobs: vec![BTreeMap::new(); deployment.runners.len()],
            withdrawn: BTreeSet::new(),
            sent_orders: SentOrders::default(),
            open_cold: BTreeMap::new(),
            violations: ViolationLog::default(),
            counters: Counters::default(),
            trace: None,
            is_ended: false,
            settings,
            deployment,
            policy,
        };
        simulation.initialize();
        simulation
    }

    fn initialize(&mut self) {
        for (i, runner) in self.runners.iter().enumerate() {
            self.runner_indexes.insert(runner.spec.name.clone(), i);
        }
        for model in &self.deployment.pool.models {
            let target = (self.deployment.pool.name.clone(), model.name.clone());
            self.allotments.set_limit(target, model.replicas);
        }
        for i in 0..self.deployment.centres.len() {
            let placer = self.new_placer(i);
            self.centres.push(Centre {
                name: self.deployment.centres[i].clone(),
                placer,
                term: 0,
                is_disconnected: false,
                recorded_counts: BTreeMap::new(),
                last_sequences: vec![0; self.runners.len()],
            });
            self.start_leadership(i, Duration::ZERO);
            self.schedule(Time::ZERO, Event::TickPlacer(i));
        }
        for i in 0..self.deployment.routers.len() {
            let router = self.new_router(i);
            self.routers.push(router);
            self.schedule(Time::ZERO, Event::TickRouter(i));
        }
        for i in 0..self.runners.len() {
            let epoch = self.runners[i].epoch;
            let offset = Duration::from_millis(7 * i as u64);
            self.schedule(Time::ZERO + offset, Event::Announce { runner: i, epoch });
        }
    }

    fn new_placer(&self, centre: usize) -> Placer {
        let centres = u32::try_from(self.deployment.centres.len()).unwrap_or(1);
        let settings = PlaceSettings {
            centre: self.deployment.centres[centre].clone(),
            load_slots: (self.deployment.store.slots / centres).max(1),
            load_rate: self.deployment.store.load_rate / f64::from(centres),
            store_slots: self.deployment.store.slots,
            ..self.settings.place.clone()
        };
        let mut placer = Placer::new(settings)
            .with_policies(self.policy.place_policies(&self.settings.keep_alive));
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
            cross_centre: self.policy.is_cross_centre(),
            ..DispatchSettings::default()
        };
        let seed = self.settings.seed * 1_000 + i as u64;
        let dispatcher = Dispatcher::new(settings)
            .with_choice(self.policy.upstream_choice(seed))
            .with_discipline(self.policy.queue_discipline());
        Router {
            centre: centre.unwrap_or(0),
            dispatcher,
            last_sequences: vec![0; self.runners.len()],
        }
    }

    fn start_leadership(&mut self, centre: usize, order_grace: Duration) {
        let state = &mut self.centres[centre];
        state.term += 1;
        let leadership = Some(Leadership {
            term: state.term,
            order_base: state.term << 32,
            order_grace,
            discovery_wait: Duration::ZERO,
        });
        self.notify_placer(centre, PlaceEvent::LeadershipChanged { leadership });
    }

    pub(crate) fn replace_leader(&mut self, centre: usize) {
        let placer = self.new_placer(centre);
        self.centres[centre].placer = placer;
        for state in self.announcements.clone().into_iter().flatten() {
            let runner = self.runner_indexes[&state.name];
            if self.can_reach(centre, &self.runners[runner]) {
                self.notify_placer(centre, PlaceEvent::Announced(state.into()));
            }
        }
        let counts = self.centres[centre].recorded_counts.clone();
        self.start_leadership(centre, ORDER_GRACE);
        self.notify_placer(centre, PlaceEvent::Inherited { counts });
    }

    /// Enables the trace, which scripts compare with their expected output.
    #[must_use]
    pub fn with_trace(mut self) -> Self {
        self.trace = Some(Vec::new());
        self
    }

    /// Removes and returns the trace lines since the last call.
    pub fn take_trace(&mut self) -> Vec<String> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub(crate) fn record_trace<F>(&mut self, text: F)
    where
        F: FnOnce() -> String,
    {
        let now = self.now;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{now} {}", text()));
        }
    }

    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        let sequence = self.event_count;
        self.queue.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }
}

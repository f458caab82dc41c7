mod adapters;

use super::{
    EngineReply, EngineReport, LoadSource, LoaderAction,
    late_orders::{Reserve, SentOrder},
    leaving::LeavingAdapters,
    load_time,
};
use sequoiawing_catalog::ModelSpec;
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// The delay between an order to evict and the next order, in which running
/// requests can finish.
const EVICTION_DELAY: Duration = Duration::from_millis(80);

/// The delay after an order to evict a model that runs no requests.
const IDLE_EVICTION_DELAY: Duration = Duration::from_millis(20);

/// The number of consecutive busy replies after which the state of the engine
/// is requested.
const MAX_BUSY_REPLIES: u32 = 8;

/// The delay between an unanswered order and the request for the engine's
/// state.
const UNANSWERED_DELAY: Duration = Duration::from_millis(500);

/// How long an engine may take to answer an order before another one may load the model.
/// Most answer within a few milliseconds.
const ORDER_PATIENCE: Duration = Duration::from_millis(250);

/// The backoff for an engine that did not answer.
const SILENT_BACKOFF: Duration = Duration::from_secs(1);

/// The cost of an engine that did not report its state or load a model, in seconds: it is
/// asked again only when all others would take longer.
const FAILURE_COST: f64 = 5.0;

/// How long that cost counts. An engine may have been out of reach for a moment.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// How long after an order announcements may still show the state before it.
const STALE_ANNOUNCEMENT_TTL: Duration = Duration::from_millis(1_500);

/// The delay after the estimated end of a load before the engine is asked for
/// its state, if it has not announced the model.
const VERIFY_DELAY: Duration = Duration::from_millis(400);

/// The minimum time that a model stays loaded. Requests that waited for it have
/// started by then.
const MIN_RESIDENCE: Duration = Duration::from_millis(700);

/// The approximate duration of an adapter load.
const ADAPTER_LOAD_DURATION: Duration = Duration::from_millis(30);

/// The phase of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum JobPhase {
    /// Models are being evicted.
    Evict,
    /// The load is about to be ordered.
    Load,
    /// The engine is loading the model.
    Loading {
        /// The estimated completion time.
        ready: Time,
    },
}

/// A load and the evictions that precede it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) model: Name,
    pub(super) source: LoadSource,
    pub(super) phase: JobPhase,
    memory: u64,
    duration: Duration,
    evict: VecDeque<Name>,
    /// The delay between an order to evict and the next order.
    delay: Duration,
}

impl Job {
    /// Returns whether the engine is executing the load.
    fn is_loading(&self) -> bool {
        matches!(self.phase, JobPhase::Loading { .. })
    }

    /// Returns the memory that the load needs in megabytes, if it is about to
    /// be ordered.
    pub(super) fn pending_memory(&self) -> Option<u64> {
        (self.phase == JobPhase::Load).then_some(self.memory)
    }

    pub(super) fn new(model: &ModelSpec, source: LoadSource, evict: Vec<Name>) -> Self {
        let phase = if evict.is_empty() {
            JobPhase::Load
        } else {
            JobPhase::Evict
        };
        Self {
            model: model.name.clone(),
            source,
            phase,
            memory: model.weights,
            duration: load_time(model, source),
            evict: evict.into(),
            delay: EVICTION_DELAY,
        }
    }

    /// Shortens the delay after evictions, since the models to evict run no requests.
    #[must_use]
    pub(super) fn with_idle_victims(mut self) -> Self {
        self.delay = IDLE_EVICTION_DELAY;
        self
    }
}

/// An order without a reply so far.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PendingOrder {
    Evict(Name),
    Load,
    LoadAdapter(Name),
    UnloadAdapter(Name),
}

/// Returns until when an engine that announces its state now is cold.
fn cold_until(now: Time, state: &UpstreamState) -> Time {
    now + Duration::from_millis(state.cold)
}

/// The state that the loader keeps for one engine.
#[expect(clippy::struct_excessive_bools, reason = "each is independent")]
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) state: Arc<UpstreamState>,
    /// Until when the engine is cold after a start.
    cold_until: Time,
    pub(super) job: Option<Job>,
    /// Whether most gateways cannot reach the engine.
    pub(super) is_unreachable: bool,
    /// Whether the data centre of the engine is evacuated.
    pub(super) is_evacuated: bool,
    /// Models that the engine was ordered to evict but may still announce.
    pub(super) evicted: BTreeMap<Name, Time>,
    /// The loaded adapters, with the time of their last order or request.
    pub(super) adapters: BTreeMap<Name, Time>,
    /// The adapters that it was ordered to unload and may still hold.
    pub(super) leaving: LeavingAdapters,
    /// The adapter ordered last and its estimated completion time.
    pub(super) last_adapter_load: Option<(Name, Time)>,
    /// The loaded models according to orders and reports, with the time of
    /// loading.
    held: BTreeMap<Name, Time>,
    accepted: Option<u64>,
    pending: Option<PendingOrder>,
    /// The last order that was sent.
    last_order: SentOrder,
    /// What is kept free for orders to former starts.
    pub(super) reserve: Reserve,
    /// Whether the last order was not answered.
    is_unanswered: bool,
    awaiting_report: bool,
    /// When the engine was last asked for its state.
    asked: Time,
    /// Whether it did not report its state then.
    is_silent: bool,
    /// Until when it counts as one that does not do what it is asked for.
    failing_until: Time,
    backoff_until: Time,
    /// The time until which announcements may show the state before the last
    /// order.
    stale_until: Time,
    queued_adapters: VecDeque<Name>,
    /// Whether requests did not find an adapter that it should hold.
    is_unverified: bool,
    adapter_slots: u32,
    /// The number of consecutive busy replies.
    busy_replies: u32,
}

impl Engine {
    pub(super) fn new(now: Time, state: Arc<UpstreamState>, is_evacuated: bool) -> Self {
        let held = state.loaded.iter().map(|m| (m.clone(), Time::ZERO));
        let adapters = state.adapters.iter().map(|a| (a.clone(), now));
        Self {
            held: held.collect(),
            adapters: adapters.collect(),
            cold_until: cold_until(now, &state),
            state,
            job: None,
            is_unreachable: false,
            is_evacuated,
            evicted: BTreeMap::new(),
            leaving: LeavingAdapters::default(),
            last_adapter_load: None,
            accepted: None,
            pending: None,
            last_order: SentOrder::default(),
            reserve: Reserve::default(),
            is_unanswered: false,
            awaiting_report: false,
            asked: Time::ZERO,
            is_silent: false,
            failing_until: Time::ZERO,
            backoff_until: Time::ZERO,
            stale_until: Time::ZERO,
            queued_adapters: VecDeque::new(),
            is_unverified: false,
            adapter_slots: 0,
            busy_replies: 0,
        }
    }

    /// Applies an announcement.
    pub(super) fn announce(&mut self, now: Time, state: Arc<UpstreamState>) {
        self.cold_until = cold_until(now, &state);
        self.state = state;
        if let Some(job) = &self.job
            && job.is_loading()
            && self.state.loaded.contains(&job.model)
        {
            self.finish(now);
        }
        self.evicted
            .retain(|model, _| self.state.loaded.contains(model));
        if self.job.is_none() && now >= self.stale_until {
            self.merge_announcement(now);
        }
    }

    /// Adds the announced models and adapters to the known state.
    ///
    /// An announcement that arrives through another hub may be older than the
    /// engine's last report, so it never frees memory. If it lacks a known
    /// model, the engine's state is requested before the next order.
    fn merge_announcement(&mut self, now: Time) {
        self.evicted.clear();
        let announced = &self.state.loaded;
        let is_missing_model = self.held.keys().any(|m| !announced.contains(m));
        if is_missing_model {
            self.accepted = None;
        }
        for model in announced {
            self.held.entry(model.clone()).or_insert(now);
        }
        let announced = self.state.adapters.iter();
        for adapter in announced.filter(|a| !self.leaving.contains(a)) {
            self.adapters.entry(adapter.clone()).or_insert(now);
        }
    }

    fn finish(&mut self, now: Time) {
        if let Some(job) = self.job.take() {
            self.failing_until = Time::ZERO;
            self.held.insert(job.model, now);
            self.stale_until = now + STALE_ANNOUNCEMENT_TTL;
        }
    }

    pub(super) fn back_off(&mut self, until: Time) {
        self.job = None;
        self.backoff_until = self.backoff_until.max(until);
    }

    /// Returns whether the engine can take a load.
    pub(super) fn is_free(&self, now: Time) -> bool {
        self.job.is_none() && self.is_serving() && now >= self.backoff_until
    }

    /// Returns whether the engine leaves an order or the request for its state unanswered. It
    /// may carry an order out later.
    pub(super) fn is_stalled(&self, now: Time) -> bool {
        let is_late = self.pending.is_some() && now >= self.last_order.sent + ORDER_PATIENCE;
        let reports_late = self.awaiting_report && now >= self.asked + ORDER_PATIENCE;
        is_late || reports_late || self.is_unanswered || self.is_silent
    }

    /// Returns the order whose reply is due.
    pub(super) fn pending_order(&self) -> Option<SentOrder> {
        self.pending.is_some().then_some(self.last_order)
    }

    /// Returns the number of orders that the engine has accepted, if it is known.
    pub(super) fn accepted(&self) -> Option<u64> {
        self.accepted
    }

    /// Returns whether the models of the engine can serve requests.
    pub(super) fn is_serving(&self) -> bool {
        !self.state.leaving && !self.is_unreachable && !self.is_evacuated
    }

    /// Returns the cost of choosing an engine with a recent order, in seconds.
    pub(super) fn recent_order_cost(&self, now: Time) -> f64 {
        if now < self.stale_until { 0.1 } else { 0.0 }
    }

    /// Returns the cost of choosing an engine that has just not done what it was asked for, in
    /// seconds.
    pub(super) fn failure_cost(&self, now: Time) -> f64 {
        if now < self.failing_until {
            FAILURE_COST
        } else {
            0.0
        }
    }

    /// Gives the load up and backs off, so that other engines are asked first.
    fn record_failure(&mut self, now: Time) {
        self.failing_until = now + FAILURE_TTL;
        self.back_off(now + SILENT_BACKOFF);
    }

    /// Returns the cost of choosing an engine that is cold, in seconds.
    pub(super) fn cold_cost(&self, now: Time) -> f64 {
        self.cold_until.since(now).as_secs_f64()
    }

    /// Returns whether the current job loads a model.
    pub(super) fn loads(&self, model: &Name) -> bool {
        self.job.as_ref().is_some_and(|j| j.model == *model)
    }

    pub(super) fn holds(&self, model: &Name) -> bool {
        self.held.contains_key(model)
    }

    /// Returns whether the engine will hold a model when its job is done.
    pub(super) fn will_hold(&self, model: &Name) -> bool {
        let evicts = self.job.as_ref().is_some_and(|j| j.evict.contains(model));
        self.loads(model) || (self.holds(model) && !evicts)
    }

    /// Returns the loaded models according to orders and reports.
    pub(super) fn held(&self) -> impl Iterator<Item = &Name> {
        self.held.keys()
    }

    /// Returns the models whose memory must be counted.
    pub(super) fn held_or_announced(&self) -> impl Iterator<Item = &Name> {
        let announced = self.state.loaded.iter();
        let announced = announced.filter(|m| !self.held.contains_key(*m));
        let announced = announced.filter(|m| !self.evicted.contains_key(*m));
        self.held.keys().chain(announced)
    }

    /// Returns the models that may be evicted.
    pub(super) fn evictable(&self, now: Time) -> impl Iterator<Item = &Name> {
        let old = self
            .held
            .iter()
            .filter(move |(_, since)| **since == Time::ZERO || now >= **since + MIN_RESIDENCE);
        old.map(|(name, _)| name)
    }

    /// Returns the fastest source of the weights of a model.
    pub(super) fn load_source(&self, model: &Name) -> LoadSource {
        if self.state.cached.contains(model) {
            LoadSource::Memory
        } else if self.state.disk.contains(model) {
            LoadSource::Disk
        } else {
            LoadSource::Store
        }
    }

    /// Returns the time until the engine accepts other orders after its load.
    pub(super) fn load_delay(&self, now: Time) -> Duration {
        match &self.job {
            Some(Job {
                phase: JobPhase::Loading { ready },
                ..
            }) => ready.since(now),
            _ => Duration::ZERO,
        }
    }

    /// Processes the reply to the last order. Returns the source of the load if
    /// one started.
    pub(super) fn on_reply(&mut self, now: Time, reply: EngineReply) -> Option<LoadSource> {
        let pending = self.pending.take()?;
        self.is_unanswered = matches!(reply, EngineReply::NotSent | EngineReply::Unknown);
        match reply {
            EngineReply::Started => {
                self.accepted = self.accepted.map(|a| a + 1);
                self.busy_replies = 0;
                self.stale_until = now + STALE_ANNOUNCEMENT_TTL;
                if let PendingOrder::UnloadAdapter(adapter) = &pending {
                    let expected = self.last_order.expected;
                    self.leaving.begin(adapter.clone(), expected);
                }
                return self.apply_order(now, &pending);
            }
            EngineReply::Holds => {
                // An unused adapter is dropped immediately, which the engine
                // counts as an order.
                if matches!(pending, PendingOrder::UnloadAdapter(_)) {
                    self.accepted = self.accepted.map(|a| a + 1);
                }
                return self.apply_order(now, &pending);
            }
            EngineReply::Busy => self.on_busy(now),
            EngineReply::NotSent | EngineReply::Unknown => {
                self.accepted = None;
                self.backoff_until = now + UNANSWERED_DELAY;
            }
            EngineReply::Fenced | EngineReply::Rejected | EngineReply::Moved => {
                self.accepted = None;
                self.queued_adapters.clear();
                self.back_off(now + SILENT_BACKOFF);
            }
        }
        None
    }

    fn on_busy(&mut self, now: Time) {
        self.backoff_until = now + EVICTION_DELAY;
        self.busy_replies += 1;
        if self.busy_replies >= MAX_BUSY_REPLIES {
            // The assumed number of accepted orders may be wrong.
            self.accepted = None;
            self.busy_replies = 0;
            self.queued_adapters.clear();
        }
    }

    fn apply_order(&mut self, now: Time, pending: &PendingOrder) -> Option<LoadSource> {
        match pending {
            PendingOrder::Evict(model) => {
                self.held.remove(model);
                self.adapters.retain(|a, _| !is_adapter_of(a, model));
                self.leaving.remove_model(model);
                self.evicted.insert(model.clone(), now);
                let delay = self.job.as_ref().map_or(EVICTION_DELAY, |job| job.delay);
                self.backoff_until = now + delay;
                if let Some(job) = &mut self.job {
                    job.evict.retain(|m| m != model);
                    if job.evict.is_empty() {
                        job.phase = JobPhase::Load;
                    }
                }
                None
            }
            PendingOrder::Load => {
                let Some(job) = self.job.as_mut() else {
                    // The load was cancelled when its order was under way.
                    self.accepted = None;
                    return None;
                };
                let ready = now + job.duration;
                job.phase = JobPhase::Loading { ready };
                self.evicted.remove(&job.model);
                Some(job.source)
            }
            PendingOrder::LoadAdapter(adapter) => {
                self.queued_adapters.retain(|a| a != adapter);
                self.adapters.insert(adapter.clone(), now);
                self.last_adapter_load = Some((adapter.clone(), now + ADAPTER_LOAD_DURATION));
                None
            }
            PendingOrder::UnloadAdapter(adapter) => {
                self.adapters.remove(adapter);
                None
            }
        }
    }

    /// Applies a report of the engine's state.
    pub(super) fn on_report(&mut self, now: Time, report: Option<EngineReport>) {
        self.awaiting_report = false;
        self.is_silent = report.is_none();
        let Some(report) = report else {
            // It may be executing a load.
            let loading = self.job.take_if(|job| job.is_loading());
            self.record_failure(now);
            self.job = loading;
            return;
        };
        if self.job.is_none() && self.is_outdated(now, &report) {
            return;
        }
        self.accepted = Some(report.accepted);
        let is_own = self.job.as_ref().is_some_and(Job::is_loading);
        if report.busy && !is_own {
            // The running order came from a previous leader or went unanswered,
            // so the memory of the engine is unknown until it is done.
            self.accepted = None;
            self.job = None;
            self.backoff_until = now + EVICTION_DELAY * 2;
        }
        let since = |m: &Name| self.held.get(m).copied().unwrap_or(now);
        self.held = report
            .loaded
            .iter()
            .map(|m| (m.clone(), since(m)))
            .collect();
        self.is_unverified = false;
        self.leaving.apply(&report);
        let since = |a: &Name| self.adapters.get(a).copied().unwrap_or(now);
        self.adapters = report
            .adapters
            .iter()
            .filter(|a| !self.leaving.contains(a))
            .map(|a| (a.clone(), since(a)))
            .collect();
        let Some(job) = &mut self.job else {
            return;
        };
        job.evict.retain(|m| report.loaded.contains(m));
        if report.loaded.contains(&job.model) {
            self.finish(now);
            return;
        }
        if job.is_loading() && !report.busy {
            // The engine took the order and has not carried it out.
            self.record_failure(now);
            return;
        }
        job.phase = match job.phase {
            JobPhase::Loading { .. } => JobPhase::Loading { ready: now },
            _ if !job.evict.is_empty() => JobPhase::Evict,
            _ => JobPhase::Load,
        };
    }

    /// Returns whether a report shows a state before the last accepted order, so that it may
    /// lack what was loaded since. Reports are up to some hundred milliseconds old.
    fn is_outdated(&self, now: Time, report: &EngineReport) -> bool {
        let is_recent = now < self.stale_until;
        is_recent
            && self
                .accepted
                .is_some_and(|accepted| report.accepted < accepted)
    }

    /// Sends the next order of the job, if one is due.
    pub(super) fn advance(&mut self, now: Time, name: &Name, out: &mut Vec<LoaderAction>) {
        if self.pending.is_some() || self.awaiting_report || now < self.backoff_until {
            return;
        }
        // A load that is in progress in an evacuated data centre may finish.
        let is_loading = self.job.as_ref().is_some_and(Job::is_loading);
        if self.state.leaving || (self.is_evacuated && !is_loading) {
            self.job = None;
            self.queued_adapters.clear();
            return;
        }
        if let Some(Job {
            phase: JobPhase::Loading { ready },
            ..
        }) = &self.job
        {
            // The engine would refuse other orders as busy.
            if now >= *ready + VERIFY_DELAY {
                self.request_report(now, name, out);
            }
            return;
        }
        self.drop_orphaned_adapters();
        let Some((pending, kind)) = self.next_order(now) else {
            if self.is_unverified || self.waits_for_drop(now) {
                self.request_report(now, name, out);
            }
            return;
        };
        let Some(expected) = self.accepted else {
            self.request_report(now, name, out);
            return;
        };
        let memory = match &kind {
            OrderKind::Load { memory, .. } => *memory,
            _ => 0,
        };
        self.last_order = SentOrder {
            sent: now,
            expected,
            memory,
            adapters: u32::from(matches!(kind, OrderKind::LoadAdapter { .. })),
        };
        self.pending = Some(pending);
        out.push(LoaderAction::Order {
            engine: name.clone(),
            kind,
            expected,
        });
    }

    fn request_report(&mut self, now: Time, name: &Name, out: &mut Vec<LoaderAction>) {
        self.awaiting_report = true;
        self.asked = now;
        out.push(LoaderAction::QueryState(name.clone()));
    }

    fn next_order(&self, now: Time) -> Option<(PendingOrder, OrderKind)> {
        let order = self.next_adapter_order(now);
        if order.is_some() {
            return order;
        }
        let job = self.job.as_ref()?;
        match job.phase {
            JobPhase::Evict => {
                let model = job.evict.front()?.clone();
                let pending = PendingOrder::Evict(model.clone());
                Some((pending, OrderKind::Unload { model }))
            }
            JobPhase::Load => {
                let (model, memory) = (job.model.clone(), job.memory);
                Some((PendingOrder::Load, OrderKind::Load { model, memory }))
            }
            JobPhase::Loading { .. } => None,
        }
    }
}

/// Returns whether an adapter, named `model:adapter`, belongs to a model.
pub(super) fn is_adapter_of(adapter: &Name, model: &Name) -> bool {
    let named = adapter.as_str().split_once(':');
    named.is_some_and(|(m, _)| m == model.as_str())
}

use super::{Checkpoint, EngineReply, EngineReport, LoaderAction, load_time};
use sequoiawing_catalog::ModelSpec;
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// How long after an order to evict the next order is tried: the requests that
/// run come to their ends meanwhile.
const EVICTION_PAUSE: Duration = Duration::from_millis(80);

/// How long an order is retried while the engine is busy before its state is
/// asked for.
const BUSY_TRIES: u32 = 8;

/// How long after an order without an answer the engine is asked for its
/// state.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);

/// How long an engine that did not answer is left alone.
const SILENT_PAUSE: Duration = Duration::from_secs(1);

/// How long after an order announcements may be older than it.
const STALE_LIFE: Duration = Duration::from_millis(1_500);

/// How long after the estimated end of a load the engine is asked, if it has
/// announced nothing.
const VERIFY_PAUSE: Duration = Duration::from_millis(400);

/// How long a model stays at least: the requests that waited for it have begun
/// by then.
const LEAST_STAY: Duration = Duration::from_millis(700);

/// How long an adapter takes to come, about.
const ADAPTER_TIME: Duration = Duration::from_millis(30);

/// What a job is about to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Models are evicted.
    Evict,
    /// The load is to be ordered.
    Load,
    /// The engine loads.
    Loading {
        /// When it should be done.
        ready: Time,
    },
}

/// A load with what has to go first.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) model: Name,
    pub(super) source: Checkpoint,
    pub(super) phase: Phase,
    memory: u64,
    takes: Duration,
    evict: VecDeque<Name>,
}

impl Job {
    /// Reports whether the engine carries the load out.
    fn is_loading(&self) -> bool {
        matches!(self.phase, Phase::Loading { .. })
    }

    /// Returns the memory that the load needs now, before it is ordered.
    pub(super) fn needs(&self) -> Option<u64> {
        (self.phase == Phase::Load).then_some(self.memory)
    }

    pub(super) fn new(model: &ModelSpec, source: Checkpoint, evict: Vec<Name>) -> Self {
        let phase = if evict.is_empty() {
            Phase::Load
        } else {
            Phase::Evict
        };
        Self {
            model: model.name.clone(),
            source,
            phase,
            memory: model.weights,
            takes: load_time(model, source),
            evict: evict.into(),
        }
    }
}

/// An order that waits for its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Sent {
    Evict(Name),
    Load,
    Adapter(Name),
    DropAdapter(Name),
}

/// What the loader knows of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) state: Arc<UpstreamState>,
    pub(super) job: Option<Job>,
    /// Whether most gateways can't reach it.
    pub(super) is_unreachable: bool,
    /// Models that it was told to give up, until announcements show it.
    pub(super) evicted: BTreeMap<Name, Time>,
    /// The adapters that it holds, with the time of their last order.
    pub(super) adapters: BTreeMap<Name, Time>,
    /// An adapter that was just ordered, and when it should be there.
    pub(super) fetched: Option<(Name, Time)>,
    /// The models that it holds, as far as orders tell.
    held: BTreeMap<Name, Time>,
    accepted: Option<u64>,
    sent: Option<Sent>,
    is_asked: bool,
    resting: Time,
    /// Until when announcements may be older than the last order.
    stale: Time,
    wanted: VecDeque<Name>,
    adapter_slots: u32,
    /// The orders in a row that found it busy.
    tries: u32,
}

impl Engine {
    pub(super) fn new(now: Time, state: Arc<UpstreamState>) -> Self {
        let held = state.loaded.iter().map(|m| (m.clone(), Time::ZERO));
        let adapters = state.adapters.iter().map(|a| (a.clone(), now));
        Self {
            held: held.collect(),
            adapters: adapters.collect(),
            state,
            job: None,
            is_unreachable: false,
            evicted: BTreeMap::new(),
            fetched: None,
            accepted: None,
            sent: None,
            is_asked: false,
            resting: Time::ZERO,
            stale: Time::ZERO,
            wanted: VecDeque::new(),
            adapter_slots: 0,
            tries: 0,
        }
    }

    /// Takes in an announcement.
    pub(super) fn announce(&mut self, now: Time, state: Arc<UpstreamState>) {
        self.state = state;
        if let Some(job) = &self.job
            && job.is_loading()
            && self.state.loaded.contains(&job.model)
        {
            self.finish(now);
        }
        self.evicted
            .retain(|model, _| self.state.loaded.contains(model));
        if self.job.is_none() && now >= self.stale {
            self.trust(now);
        }
    }

    /// Adds what the engine announces to what it holds.
    ///
    /// An announcement that came through another hub may be older than the
    /// engine's last report, so that it frees no memory: what it does not list
    /// is asked for before the next order.
    fn trust(&mut self, now: Time) {
        self.evicted.clear();
        let announced = &self.state.loaded;
        let is_doubtful = self.held.keys().any(|m| !announced.contains(m));
        if is_doubtful {
            self.accepted = None;
        }
        for model in announced {
            self.held.entry(model.clone()).or_insert(now);
        }
        for adapter in &self.state.adapters {
            self.adapters.entry(adapter.clone()).or_insert(now);
        }
    }

    fn finish(&mut self, now: Time) {
        if let Some(job) = self.job.take() {
            self.held.insert(job.model, now);
            self.stale = now + STALE_LIFE;
        }
    }

    pub(super) fn rest(&mut self, until: Time) {
        self.job = None;
        self.resting = self.resting.max(until);
    }

    /// Reports whether it may be given a load.
    pub(super) fn is_free(&self, now: Time) -> bool {
        self.job.is_none() && self.is_serving() && now >= self.resting
    }

    /// Reports whether what it holds serves requests.
    pub(super) fn is_serving(&self) -> bool {
        !self.state.leaving && !self.is_unreachable
    }

    /// Returns what speaks against an engine that was busy just now, in
    /// seconds.
    pub(super) fn resting_cost(&self, now: Time) -> f64 {
        if now < self.stale { 0.1 } else { 0.0 }
    }

    /// Reports whether it loads a model, or is about to.
    pub(super) fn loads(&self, model: &Name) -> bool {
        self.job.as_ref().is_some_and(|j| j.model == *model)
    }

    pub(super) fn holds(&self, model: &Name) -> bool {
        self.held.contains_key(model)
    }

    /// Reports whether it holds a model, or will when its job is done.
    pub(super) fn will_hold(&self, model: &Name) -> bool {
        let evicts = self.job.as_ref().is_some_and(|j| j.evict.contains(model));
        self.loads(model) || (self.holds(model) && !evicts)
    }

    /// Returns the models that it holds, as far as orders tell.
    pub(super) fn held(&self) -> impl Iterator<Item = &Name> {
        self.held.keys()
    }

    /// Returns the models for which memory must be counted.
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
            .filter(move |(_, since)| **since == Time::ZERO || now >= **since + LEAST_STAY);
        old.map(|(name, _)| name)
    }

    /// Returns from where the weights of a model would come.
    pub(super) fn checkpoint(&self, model: &Name) -> Checkpoint {
        if self.state.cached.contains(model) {
            Checkpoint::Memory
        } else if self.state.disk.contains(model) {
            Checkpoint::Disk
        } else {
            Checkpoint::Store
        }
    }

    pub(super) fn will_have_adapter(&self, adapter: &Name) -> bool {
        self.adapters.contains_key(adapter) || self.wanted.contains(adapter)
    }

    /// Forgets adapters whose models went meanwhile.
    fn forget_adapters(&mut self) {
        let held = &self.held;
        self.wanted.retain(|adapter| {
            let model = adapter.as_str().split_once(':').map(|(model, _)| model);
            model.is_some_and(|model| held.contains_key(model))
        });
    }

    /// Queues an adapter.
    pub(super) fn want_adapter(&mut self, adapter: Name, slots: u32) {
        self.adapter_slots = slots;
        self.wanted.push_back(adapter);
    }

    /// Takes in the answer to the last order; returns from where a load began.
    pub(super) fn ordered(&mut self, now: Time, reply: EngineReply) -> Option<Checkpoint> {
        let sent = self.sent.take()?;
        match reply {
            EngineReply::Started => {
                self.accepted = self.accepted.map(|a| a + 1);
                self.tries = 0;
                self.stale = now + STALE_LIFE;
                return self.carried_out(now, &sent);
            }
            EngineReply::Holds => {
                // An adapter that is not in use is dropped at once, which counts
                // as an order.
                if matches!(sent, Sent::DropAdapter(_)) {
                    self.accepted = self.accepted.map(|a| a + 1);
                }
                return self.carried_out(now, &sent);
            }
            EngineReply::Busy => self.busy(now),
            EngineReply::Unknown => {
                self.accepted = None;
                self.resting = now + DOUBT_PAUSE;
            }
            EngineReply::Fenced | EngineReply::Rejected | EngineReply::Moved => {
                self.accepted = None;
                self.wanted.clear();
                self.rest(now + SILENT_PAUSE);
            }
        }
        None
    }

    fn busy(&mut self, now: Time) {
        self.resting = now + EVICTION_PAUSE;
        self.tries += 1;
        if self.tries >= BUSY_TRIES {
            // The count of orders may be another than was thought.
            self.accepted = None;
            self.tries = 0;
            self.wanted.clear();
        }
    }

    fn carried_out(&mut self, now: Time, sent: &Sent) -> Option<Checkpoint> {
        match sent {
            Sent::Evict(model) => {
                self.held.remove(model);
                self.adapters.retain(|a, _| !is_of(a, model));
                self.evicted.insert(model.clone(), now);
                self.resting = now + EVICTION_PAUSE;
                if let Some(job) = &mut self.job {
                    job.evict.retain(|m| m != model);
                    if job.evict.is_empty() {
                        job.phase = Phase::Load;
                    }
                }
                None
            }
            Sent::Load => {
                let job = self.job.as_mut()?;
                let ready = now + job.takes;
                job.phase = Phase::Loading { ready };
                self.evicted.remove(&job.model);
                Some(job.source)
            }
            Sent::Adapter(adapter) => {
                self.wanted.pop_front();
                self.adapters.insert(adapter.clone(), now);
                self.fetched = Some((adapter.clone(), now + ADAPTER_TIME));
                None
            }
            Sent::DropAdapter(adapter) => {
                self.adapters.remove(adapter);
                None
            }
        }
    }

    /// Takes in the engine's state.
    pub(super) fn reported(&mut self, now: Time, report: Option<EngineReport>) {
        self.is_asked = false;
        let Some(report) = report else {
            self.resting = now + SILENT_PAUSE;
            return;
        };
        self.accepted = Some(report.accepted);
        let is_own = self.job.as_ref().is_some_and(Job::is_loading);
        if report.busy && !is_own {
            // What it carries out was ordered by a predecessor, or is an order
            // that went unanswered: its memory is not known until it is done.
            self.accepted = None;
            self.job = None;
            self.resting = now + EVICTION_PAUSE * 2;
        }
        let since = |m: &Name| self.held.get(m).copied().unwrap_or(now);
        self.held = report
            .loaded
            .iter()
            .map(|m| (m.clone(), since(m)))
            .collect();
        let used = |a: &Name| self.adapters.get(a).copied().unwrap_or(now);
        self.adapters = report
            .adapters
            .iter()
            .map(|a| (a.clone(), used(a)))
            .collect();
        let Some(job) = &mut self.job else {
            return;
        };
        job.evict.retain(|m| report.loaded.contains(m));
        if report.loaded.contains(&job.model) {
            self.finish(now);
            return;
        }
        job.phase = match job.phase {
            Phase::Loading { .. } if report.busy => Phase::Loading { ready: now },
            _ if !job.evict.is_empty() => Phase::Evict,
            _ => Phase::Load,
        };
    }

    /// Takes the job one step further.
    pub(super) fn drive(&mut self, now: Time, name: &Name, out: &mut Vec<LoaderAction>) {
        if self.sent.is_some() || self.is_asked || now < self.resting {
            return;
        }
        if self.state.leaving {
            self.job = None;
            self.wanted.clear();
            return;
        }
        if let Some(Job {
            phase: Phase::Loading { ready },
            ..
        }) = &self.job
        {
            // Other orders would find it busy.
            if now >= *ready + VERIFY_PAUSE {
                self.ask(name, out);
            }
            return;
        }
        self.forget_adapters();
        let Some((sent, kind)) = self.next_order() else {
            return;
        };
        let Some(expected) = self.accepted else {
            self.ask(name, out);
            return;
        };
        self.sent = Some(sent);
        out.push(LoaderAction::Order {
            engine: name.clone(),
            kind,
            expected,
        });
    }

    fn ask(&mut self, name: &Name, out: &mut Vec<LoaderAction>) {
        self.is_asked = true;
        out.push(LoaderAction::Report(name.clone()));
    }

    fn next_order(&self) -> Option<(Sent, OrderKind)> {
        if let Some(adapter) = self.wanted.front() {
            let is_full = self.adapters.len() >= self.adapter_slots as usize;
            let oldest = self.adapters.iter().min_by_key(|(_, used)| **used);
            if is_full && let Some((oldest, _)) = oldest {
                let adapter = oldest.clone();
                let sent = Sent::DropAdapter(adapter.clone());
                return Some((sent, OrderKind::UnloadAdapter { adapter }));
            }
            let adapter = adapter.clone();
            let sent = Sent::Adapter(adapter.clone());
            return Some((sent, OrderKind::LoadAdapter { adapter }));
        }
        let job = self.job.as_ref()?;
        match job.phase {
            Phase::Evict => {
                let model = job.evict.front()?.clone();
                let sent = Sent::Evict(model.clone());
                Some((sent, OrderKind::Unload { model }))
            }
            Phase::Load => {
                let (model, memory) = (job.model.clone(), job.memory);
                Some((Sent::Load, OrderKind::Load { model, memory }))
            }
            Phase::Loading { .. } => None,
        }
    }
}

fn is_of(adapter: &Name, model: &Name) -> bool {
    let named = adapter.as_str().split_once(':');
    named.is_some_and(|(m, _)| m == model.as_str())
}

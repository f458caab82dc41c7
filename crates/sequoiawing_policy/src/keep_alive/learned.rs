use crate::{KeepAlive, Preload, keep_alive::gap_histogram::GapHistogram};
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// The settings of a learned keep-alive.
#[derive(Clone, Debug)]
pub struct KeepAliveSettings {
    /// The minimum time that a model stays loaded after its last use.
    pub min_time: Duration,
    /// The maximum time that a model stays loaded after its last use.
    pub max_time: Duration,
    /// The idle time that is worth avoiding one load, as a multiple of the load
    /// time. A higher factor means fewer cold starts and more idle hours.
    pub idle_factor: u32,
    /// The gap that is assumed before any was observed.
    pub prior_gap: Duration,
    /// The maximum number of remembered models and adapters.
    pub capacity: usize,
}

impl Default for KeepAliveSettings {
    fn default() -> Self {
        Self {
            min_time: Duration::from_secs(5),
            max_time: Duration::from_mins(10),
            idle_factor: 400,
            prior_gap: Duration::from_mins(2),
            capacity: 100_000,
        }
    }
}

/// Uses with smaller gaps than this belong to one session.
const SESSION_GAP: Duration = Duration::from_secs(1);

/// The load time assumed until one has been observed.
const LOAD_TIME: Duration = Duration::from_secs(3);

/// The maximum number of scheduled preloads, which bounds the cost of tens of
/// thousands of adapters.
const MAX_SCHEDULED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Usage {
    last: Time,
    /// The load time, in milliseconds, or zero if unknown.
    load: u32,
    gaps: GapHistogram,
}

/// Derives the keep-alive time from the gaps between a model's uses, and
/// preloads models with a regular pattern.
#[derive(Debug, Default)]
pub struct LearnedKeepAlive {
    settings: KeepAliveSettings,
    usages: HashMap<Name, Usage>,
    preload_queue: BTreeSet<(Time, Name)>,
}

impl LearnedKeepAlive {
    /// Creates a policy without observations.
    pub fn new(settings: KeepAliveSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    fn schedule(&mut self, name: &Name, before: Option<Usage>, after: Usage) {
        if let Some(at) = before.and_then(|u| preload_time(&u)) {
            self.preload_queue.remove(&(at, name.clone()));
        }
        if let Some(at) = preload_time(&after)
            && self.preload_queue.len() < MAX_SCHEDULED
        {
            self.preload_queue.insert((at, name.clone()));
        }
    }

    /// Removes the least recently used half of the models when the capacity is
    /// exceeded.
    fn evict_old(&mut self) {
        if self.usages.len() <= self.settings.capacity {
            return;
        }
        let mut times: Vec<Time> = self.usages.values().map(|u| u.last).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.usages.retain(|_, u| u.last >= median);
        let usages = &self.usages;
        self.preload_queue
            .retain(|(_, name)| usages.contains_key(name));
    }
}

/// Returns when to preload the model: its load time plus [`SESSION_GAP`] before
/// the earliest expected use.
fn preload_time(usage: &Usage) -> Option<Time> {
    let (earliest, _) = usage.gaps.next_use()?;
    let lead = load_time(usage) + SESSION_GAP;
    Some(usage.last + earliest.saturating_sub(lead))
}

fn load_time(usage: &Usage) -> Duration {
    match usage.load {
        0 => LOAD_TIME,
        millis => Duration::from_millis(u64::from(millis)),
    }
}

impl KeepAlive for LearnedKeepAlive {
    fn record_use(&mut self, now: Time, name: &Name) {
        let before = self.usages.get(name).copied();
        let mut usage = before.unwrap_or(Usage {
            last: now,
            load: 0,
            gaps: GapHistogram::default(),
        });
        let gap = now.since(usage.last);
        usage.last = now;
        if gap >= SESSION_GAP {
            usage.gaps.add(gap);
        }
        self.usages.insert(name.clone(), usage);
        self.schedule(name, before, usage);
        self.evict_old();
    }

    fn record_load(&mut self, name: &Name, took: Duration) {
        if let Some(usage) = self.usages.get_mut(name) {
            usage.load = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
        }
    }

    fn keep_time(&self, name: &Name) -> Duration {
        let settings = &self.settings;
        let Some(usage) = self.usages.get(name) else {
            return settings
                .prior_gap
                .clamp(settings.min_time, settings.max_time);
        };
        let reload_cost = load_time(usage) * settings.idle_factor;
        let best = usage
            .gaps
            .best_keep_time(reload_cost, settings.prior_gap, settings.max_time);
        let regular = usage
            .gaps
            .next_use()
            .filter(|(earliest, _)| *earliest > best);
        let span = if regular.is_some() {
            settings.min_time
        } else {
            best
        };
        span.clamp(settings.min_time, settings.max_time)
    }

    fn time_to_use(&self, now: Time, name: &Name) -> Option<Duration> {
        let usage = self.usages.get(name)?;
        let idle = now.since(usage.last);
        let (earliest, latest) = usage.gaps.next_use().unwrap_or_default();
        if idle < latest {
            return Some(earliest.saturating_sub(idle).max(SESSION_GAP));
        }
        usage.gaps.remaining(idle)
    }

    fn idle_time(&self, now: Time, name: &Name) -> Duration {
        let usage = self.usages.get(name);
        usage.map_or(Duration::MAX, |u| now.since(u.last))
    }

    fn preloads(&mut self, now: Time) -> Vec<Preload> {
        let mut preloads = Vec::new();
        while let Some((at, name)) = self.preload_queue.first().cloned() {
            if at > now {
                break;
            }
            self.preload_queue.pop_first();
            let due = self.usages.get(&name).and_then(|u| u.gaps.next_use());
            if let Some((earliest, latest)) = due {
                let hold = latest.saturating_sub(earliest) + LOAD_TIME + SESSION_GAP;
                preloads.push(Preload { name, hold });
            }
        }
        preloads
    }
}

use super::{QuarantineSettings, QuarantinedCause, table::QuarantineTable};
use sequoiawing_types::{CauseKind, CrashCause, Time};
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// One gateway in this many admits a request on probation at a time, on average.
const TRIAL_SHARE: u64 = 16;

/// The most intervals after which a gateway admits a request on probation.
const MAX_INTERVALS: u32 = 60;

/// The quarantined causes of crashes on a gateway, which refuses requests with
/// them.
///
/// After a quarantine the gateway admits one request with the cause per trial
/// interval until a hub releases the cause. The first trials of different
/// gateways are spread over the interval, so that the crash of one is known to
/// the others before theirs.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    seed: u64,
    table: QuarantineTable,
    /// When the next request with a cause on probation may pass.
    trials: BTreeMap<CrashCause, Time>,
}

impl Quarantine {
    /// Creates an empty quarantine. `seed` differs between gateways.
    pub fn new(settings: QuarantineSettings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            table: QuarantineTable::default(),
            trials: BTreeMap::new(),
        }
    }

    /// Applies what a hub told. Causes that it does not mention stay, since a
    /// restarted hub may not know them yet.
    pub fn apply(&mut self, now: Time, causes: &[QuarantinedCause]) {
        for entry in causes {
            if self.table.merge(now, *entry) {
                self.trials.remove(&entry.cause);
            }
        }
        self.expire(now);
    }

    /// Returns the first of a request's possible causes of crashes that is
    /// quarantined, and the remaining time. A request with a cause on probation that
    /// passes uses up the trial of this gateway.
    pub fn find(&mut self, now: Time, causes: &[CrashCause]) -> Option<(CrashCause, Duration)> {
        let wait = |cause: &CrashCause| Some((*cause, self.wait(now, *cause)?));
        let refused = causes.iter().find_map(wait);
        if refused.is_none() {
            for cause in causes {
                self.start_trial(now, *cause);
            }
        }
        refused
    }

    /// Returns the number of the last quarantine of one of the causes, or 0 if none is
    /// quarantined or on probation.
    pub fn last_term(&self, causes: &[CrashCause]) -> u32 {
        let known = causes.iter().filter_map(|cause| self.table.get(*cause));
        let terms = known.filter(|e| !e.released).map(|e| e.term);
        terms.max().unwrap_or_default()
    }

    /// Returns whether no cause is or was quarantined.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the causes that are or were quarantined, for hubs that have lost
    /// them.
    pub fn causes(&self) -> impl Iterator<Item = &QuarantinedCause> {
        self.table.iter()
    }

    /// Removes causes whose probation has ended.
    pub fn expire(&mut self, now: Time) {
        if self.table.expire(now, self.settings.probation) {
            self.trials
                .retain(|cause, _| self.table.get(*cause).is_some());
        }
    }

    /// Returns how long requests with the cause are refused from now on.
    fn wait(&self, now: Time, cause: CrashCause) -> Option<Duration> {
        let entry = self.table.get(cause)?;
        if entry.is_live(now) {
            return Some(entry.until.since(now));
        }
        if !entry.is_on_probation(now) {
            return None;
        }
        let next = self.trials.get(&cause).copied();
        let trial = match cause.kind {
            CauseKind::PromptPart => next.unwrap_or_else(|| entry.until + self.phase(cause)),
            CauseKind::Request => self.request_trial(entry, next.unwrap_or(now).max(now)),
        };
        (now < trial).then(|| trial.since(now))
    }

    fn start_trial(&mut self, now: Time, cause: CrashCause) {
        let entry = self.table.get(cause).filter(|e| e.is_on_probation(now));
        if let Some(entry) = entry {
            let next = match cause.kind {
                CauseKind::PromptPart => now + self.settings.trial_interval,
                CauseKind::Request => {
                    let interval = self.settings.request_trial_interval;
                    entry.until + interval * (self.request_interval(entry, now) + 1)
                }
            };
            self.trials.insert(cause, next);
        }
    }

    /// Returns when this gateway next admits a request on probation, from `from` on.
    ///
    /// Each interval is open at some of the gateways only, so that copies that arrive
    /// together do not all pass.
    fn request_trial(&self, entry: &QuarantinedCause, from: Time) -> Time {
        let first = self.request_interval(entry, from);
        let is_open = |number: &u32| {
            let mut hasher = DefaultHasher::new();
            (self.seed, entry.cause, number).hash(&mut hasher);
            hasher.finish().is_multiple_of(TRIAL_SHARE)
        };
        let last = first.saturating_add(MAX_INTERVALS);
        let next = (first..last).find(is_open).unwrap_or(last);
        let start = entry.until + self.settings.request_trial_interval * next;
        start.max(from)
    }

    /// Returns the number of the trial interval since the quarantine ended.
    fn request_interval(&self, entry: &QuarantinedCause, at: Time) -> u32 {
        let interval = self.settings.request_trial_interval.as_millis().max(1);
        let elapsed = at.since(entry.until).as_millis();
        u32::try_from(elapsed / interval).unwrap_or(u32::MAX)
    }

    /// Returns when in the interval this gateway's trials of a cause take place.
    fn phase(&self, cause: CrashCause) -> Duration {
        let mut hasher = DefaultHasher::new();
        (self.seed, cause).hash(&mut hasher);
        let percent = u32::try_from(hasher.finish() % 100).unwrap_or_default();
        self.settings.trial_interval * percent / 100
    }
}

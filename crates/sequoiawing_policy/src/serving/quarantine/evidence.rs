use super::CrashedAnswer;
use sequoiawing_types::{CauseKind, CrashCause, Name, Time};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

/// The number of crashes of which evidence is kept. The oldest are dropped
/// first.
pub(super) const MAX_CRASHES: usize = 1_024;

/// The number of causes kept of one crash. Those of the requests that were sent
/// first are dropped first.
pub(super) const MAX_CAUSES: usize = 256;

new_key_type! {
    pub(super) struct CrashKey;
}

/// The number of attempts of callers that are kept for one cause and crash. Those that
/// were sent first are dropped first.
const MAX_ATTEMPTS: usize = 6;

/// The requests with one cause that broke off in a crash: when each was sent, by
/// attempt of its caller.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts(BTreeMap<u64, Time>);

impl Attempts {
    /// Adds a request; returns whether it says anything new.
    fn add(&mut self, attempt: u64, sent: Time) -> bool {
        let known = self.0.get(&attempt).copied();
        if known.is_some_and(|known| known >= sent) {
            return false;
        }
        self.0.insert(attempt, sent);
        if self.0.len() <= MAX_ATTEMPTS {
            return true;
        }
        let first = self.0.iter().map(|(attempt, sent)| (*sent, *attempt)).min();
        let (_, dropped) = first.expect("there are attempts");
        self.0.remove(&dropped);
        dropped != attempt
    }

    /// Returns when the last of the requests was sent.
    pub(super) fn last(&self) -> Time {
        self.0.values().copied().max().unwrap_or(Time::ZERO)
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = u64> {
        self.0.keys().copied()
    }
}

/// The crash of one incarnation of an upstream.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) upstream: Name,
    epoch: u64,
    /// When the first answer broke off.
    pub(super) broken: Time,
    /// When the first report of the crash arrived.
    pub(super) learned: Time,
    /// The requests with each cause.
    causes: BTreeMap<CrashCause, Attempts>,
    /// Whether a quarantined prompt part took part in the crash.
    has_quarantined_part: bool,
    /// Whether a quarantined request took part in the crash.
    has_quarantined_request: bool,
    /// Whether one did that has crashed upstreams again after it was held back.
    has_confirmed_request: bool,
}

impl Crash {
    fn is_explained(&self) -> bool {
        self.has_quarantined_part || self.has_quarantined_request
    }
}

/// The crashes that gateways reported, by what took part in them.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: SlotMap<CrashKey, Crash>,
    incarnations: BTreeMap<(Name, u64), CrashKey>,
    causes: BTreeMap<CrashCause, Vec<CrashKey>>,
}

impl Evidence {
    /// Adds a report and returns whether it says anything new.
    ///
    /// The result does not depend on the order of reports: a crash keeps the
    /// earliest end of its answers and, for each cause, the latest request.
    pub(super) fn record(&mut self, now: Time, report: &CrashedAnswer) -> bool {
        let broken = report.broken.min(now);
        let Some(key) = self.find_or_add(now, report, broken) else {
            return false;
        };
        let crash = &mut self.crashes[key];
        let mut has_changed = broken < crash.broken;
        crash.broken = crash.broken.min(broken);
        let attempts = match crash.causes.entry(report.cause) {
            Entry::Occupied(attempts) => attempts.into_mut(),
            Entry::Vacant(entry) => {
                self.causes.entry(report.cause).or_default().push(key);
                entry.insert(Attempts::default())
            }
        };
        has_changed |= attempts.add(report.attempt, report.sent);
        if crash.causes.len() > MAX_CAUSES {
            let rank = |(cause, attempts): (&CrashCause, &Attempts)| (attempts.last(), *cause);
            let first = crash.causes.iter().map(rank).min();
            let (_, cause) = first.expect("the crash has causes");
            crash.causes.remove(&cause);
            self.unlink(cause, key);
        }
        has_changed
    }

    /// Returns what took part in crashes.
    pub(super) fn causes(&self) -> impl Iterator<Item = CrashCause> {
        self.causes.keys().copied()
    }

    /// Returns the crashes in which a cause took part and that no quarantined
    /// cause explains, in the order of the crashes, with the requests with
    /// it.
    ///
    /// Of crashes after `settled` some evidence may still be missing.
    pub(super) fn crashes(
        &self,
        cause: CrashCause,
        settled: Time,
    ) -> Vec<(CrashKey, &Crash, &Attempts)> {
        let keys = self.causes.get(&cause).into_iter().flatten();
        let mut found: Vec<_> = keys
            .map(|key| (*key, &self.crashes[*key]))
            .filter(|(_, crash)| !crash.has_quarantined_part)
            .map(|(key, crash)| (key, crash, &crash.causes[&cause]))
            .collect();
        match cause.kind {
            // Crashes of quarantined requests count against their parts only if other
            // requests with the part crash upstreams too.
            CauseKind::PromptPart => {
                let explains = |(_, crash, _): &(_, &Crash, _)| crash.has_quarantined_request;
                let is_open = |(_, crash, _): &(_, &Crash, _)| {
                    !crash.has_quarantined_request && crash.broken <= settled
                };
                if found.iter().any(explains) && !found.iter().any(is_open) {
                    found.clear();
                }
            }
            CauseKind::Request => found.retain(|(_, crash, _)| !crash.has_confirmed_request),
        }
        found.sort_by_key(|(_, crash, _)| (crash.broken, &crash.upstream, crash.epoch));
        found
    }

    /// Returns when the crashes were in which a cause took part, with the attempts.
    pub(super) fn attempts(&self, cause: CrashCause) -> impl Iterator<Item = (Time, &Attempts)> {
        let keys = self.causes.get(&cause).into_iter().flatten();
        keys.map(move |key| {
            let crash = &self.crashes[*key];
            (crash.broken, &crash.causes[&cause])
        })
    }

    /// Returns the crashes from `first` to `last` that no quarantined cause
    /// explains.
    pub(super) fn unexplained(&self, first: Time, last: Time) -> impl Iterator<Item = CrashKey> {
        let is_open = move |c: &Crash| !c.is_explained() && (first..=last).contains(&c.broken);
        self.crashes
            .iter()
            .filter(move |(_, c)| is_open(c))
            .map(|(key, _)| key)
    }

    pub(super) fn crash(&self, key: CrashKey) -> &Crash {
        &self.crashes[key]
    }

    /// Marks no crash as explained.
    pub(super) fn clear_explanations(&mut self) {
        for crash in self.crashes.values_mut() {
            crash.has_quarantined_part = false;
            crash.has_quarantined_request = false;
            crash.has_confirmed_request = false;
        }
    }

    /// Marks the crashes in which a cause took part as explained.
    pub(super) fn explain(&mut self, cause: CrashCause, is_confirmed: bool) {
        for key in self.causes.get(&cause).into_iter().flatten() {
            let crash = &mut self.crashes[*key];
            match cause.kind {
                CauseKind::PromptPart => crash.has_quarantined_part = true,
                CauseKind::Request => {
                    crash.has_quarantined_request = true;
                    crash.has_confirmed_request |= is_confirmed;
                }
            }
        }
    }

    /// Removes crashes older than `retention` and returns whether there were
    /// any.
    pub(super) fn expire(&mut self, now: Time, retention: Duration) -> bool {
        let is_old = |(_, crash): &(CrashKey, &Crash)| crash.broken + retention <= now;
        let old: Vec<_> = self.crashes.iter().filter(is_old).map(|(k, _)| k).collect();
        for key in &old {
            self.remove(*key);
        }
        !old.is_empty()
    }

    fn find_or_add(&mut self, now: Time, report: &CrashedAnswer, broken: Time) -> Option<CrashKey> {
        let incarnation = (report.upstream.clone(), report.epoch);
        if let Some(key) = self.incarnations.get(&incarnation) {
            return Some(*key);
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.broken);
            let (key, crash) = oldest.expect("there are crashes");
            if broken <= crash.broken {
                return None;
            }
            self.remove(key);
        }
        let key = self.crashes.insert(Crash {
            upstream: report.upstream.clone(),
            epoch: report.epoch,
            broken,
            learned: now,
            causes: BTreeMap::new(),
            has_quarantined_part: false,
            has_quarantined_request: false,
            has_confirmed_request: false,
        });
        self.incarnations.insert(incarnation, key);
        Some(key)
    }

    fn remove(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(key) else {
            return;
        };
        self.incarnations.remove(&(crash.upstream, crash.epoch));
        for cause in crash.causes.keys() {
            self.unlink(*cause, key);
        }
    }

    fn unlink(&mut self, cause: CrashCause, key: CrashKey) {
        if let Entry::Occupied(mut keys) = self.causes.entry(cause) {
            keys.get_mut().retain(|k| *k != key);
            if keys.get().is_empty() {
                keys.remove();
            }
        }
    }
}

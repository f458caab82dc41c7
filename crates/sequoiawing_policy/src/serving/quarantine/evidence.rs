use super::CrashedAnswer;
use sequoiawing_types::{Name, Time};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

/// The number of crashes of which evidence is kept. The oldest are dropped
/// first.
pub(super) const MAX_CRASHES: usize = 1_024;

/// The number of parts kept of one crash. The parts of the requests that were
/// sent first are dropped first.
pub(super) const MAX_PARTS: usize = 256;

new_key_type! {
    pub(super) struct CrashKey;
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
    /// When the last request with a part was sent, by part.
    parts: BTreeMap<u64, Time>,
    /// Whether a quarantined part took part in the crash.
    is_explained: bool,
}

/// The crashes that gateways reported, by the prompt parts that took part.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: SlotMap<CrashKey, Crash>,
    incarnations: BTreeMap<(Name, u64), CrashKey>,
    parts: BTreeMap<u64, Vec<CrashKey>>,
}

impl Evidence {
    /// Adds a report and returns whether it says anything new.
    ///
    /// The result does not depend on the order of reports: a crash keeps the
    /// earliest end of its answers and, for each part, the latest request.
    pub(super) fn record(&mut self, now: Time, report: &CrashedAnswer) -> bool {
        let broken = report.broken.min(now);
        let Some(key) = self.find_or_add(now, report, broken) else {
            return false;
        };
        let crash = &mut self.crashes[key];
        let mut has_changed = broken < crash.broken;
        crash.broken = crash.broken.min(broken);
        match crash.parts.entry(report.part) {
            Entry::Occupied(mut sent) => {
                has_changed |= *sent.get() < report.sent;
                let latest = report.sent.max(*sent.get());
                sent.insert(latest);
            }
            Entry::Vacant(sent) => {
                sent.insert(report.sent);
                self.parts.entry(report.part).or_default().push(key);
                has_changed = true;
            }
        }
        if crash.parts.len() > MAX_PARTS {
            let rank = |(part, sent): (&u64, &Time)| (*sent, *part);
            let first = crash.parts.iter().map(rank).min();
            let (_, part) = first.expect("the crash has parts");
            crash.parts.remove(&part);
            self.unlink(part, key);
        }
        has_changed
    }

    /// Returns the parts that took part in crashes.
    pub(super) fn parts(&self) -> impl Iterator<Item = u64> {
        self.parts.keys().copied()
    }

    /// Returns the crashes in which a part took part and that no quarantined
    /// part explains, in the order of the crashes, with the time at which the
    /// last request with the part was sent.
    pub(super) fn crashes(&self, part: u64) -> Vec<(CrashKey, &Crash, Time)> {
        let keys = self.parts.get(&part).into_iter().flatten();
        let mut found: Vec<_> = keys
            .map(|key| (*key, &self.crashes[*key]))
            .filter(|(_, crash)| !crash.is_explained)
            .map(|(key, crash)| (key, crash, crash.parts[&part]))
            .collect();
        found.sort_by_key(|(_, crash, _)| (crash.broken, &crash.upstream, crash.epoch));
        found
    }

    /// Returns the crashes from `first` to `last` that no quarantined part
    /// explains.
    pub(super) fn unexplained(&self, first: Time, last: Time) -> impl Iterator<Item = CrashKey> {
        let is_open = move |c: &Crash| !c.is_explained && (first..=last).contains(&c.broken);
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
            crash.is_explained = false;
        }
    }

    /// Marks the crashes in which a part took part as explained.
    pub(super) fn explain(&mut self, part: u64) {
        for key in self.parts.get(&part).into_iter().flatten() {
            self.crashes[*key].is_explained = true;
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
            parts: BTreeMap::new(),
            is_explained: false,
        });
        self.incarnations.insert(incarnation, key);
        Some(key)
    }

    fn remove(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(key) else {
            return;
        };
        self.incarnations.remove(&(crash.upstream, crash.epoch));
        for part in crash.parts.keys() {
            self.unlink(*part, key);
        }
    }

    fn unlink(&mut self, part: u64, key: CrashKey) {
        if let Entry::Occupied(mut keys) = self.parts.entry(part) {
            keys.get_mut().retain(|k| *k != key);
            if keys.get().is_empty() {
                keys.remove();
            }
        }
    }
}

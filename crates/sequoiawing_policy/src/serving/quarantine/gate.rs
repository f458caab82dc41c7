use super::{super::PromptPart, QuarantineSettings, QuarantinedPart, table::QuarantineTable};
use sequoiawing_types::Time;
use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// The quarantined prompt parts on a gateway, which refuses requests with them.
///
/// After a quarantine the gateway admits one request with the part per trial
/// interval until a hub releases the part. The first trials of different
/// gateways are spread over the interval, so that the crash of one is known to
/// the others before theirs.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    seed: u64,
    table: QuarantineTable,
    /// When the next request with a part on probation may pass.
    trials: BTreeMap<u64, Time>,
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

    /// Applies what a hub told. Parts that it does not mention stay, since a
    /// restarted hub may not know them yet.
    pub fn apply(&mut self, now: Time, parts: &[QuarantinedPart]) {
        for part in parts {
            if self.table.merge(now, *part) {
                self.trials.remove(&part.part);
            }
        }
        self.expire(now);
    }

    /// Returns the first shared part of a prompt whose requests are refused, and
    /// the remaining time. A request with a part on probation that passes uses
    /// up the trial of this gateway.
    pub fn find(&mut self, now: Time, parts: &[PromptPart]) -> Option<(u64, Duration)> {
        if self.table.is_empty() {
            return None;
        }
        let (_, shared) = parts.split_last()?;
        let refused = shared
            .iter()
            .find_map(|p| Some((p.id, self.wait(now, p.id)?)));
        if refused.is_none() {
            for part in shared {
                self.start_trial(now, part.id);
            }
        }
        refused
    }

    /// Returns the parts that are or were quarantined, for hubs that have lost
    /// them.
    pub fn parts(&self) -> impl Iterator<Item = &QuarantinedPart> {
        self.table.iter()
    }

    /// Removes parts whose probation has ended.
    pub fn expire(&mut self, now: Time) {
        if self.table.expire(now, self.settings.probation) {
            self.trials
                .retain(|part, _| self.table.get(*part).is_some());
        }
    }

    /// Returns how long requests with the part are refused from now on.
    fn wait(&self, now: Time, part: u64) -> Option<Duration> {
        let entry = self.table.get(part)?;
        if entry.is_live(now) {
            return Some(entry.until.since(now));
        }
        if !entry.is_on_probation(now) {
            return None;
        }
        let trial = match self.trials.get(&part) {
            Some(trial) => *trial,
            None => entry.until + self.phase(part),
        };
        (now < trial).then(|| trial.since(now))
    }

    fn start_trial(&mut self, now: Time, part: u64) {
        if self.table.get(part).is_some_and(|e| e.is_on_probation(now)) {
            self.trials.insert(part, now + self.settings.trial_interval);
        }
    }

    /// Returns when in the interval this gateway's trials of a part take place.
    fn phase(&self, part: u64) -> Duration {
        let mut hasher = DefaultHasher::new();
        (self.seed, part).hash(&mut hasher);
        let percent = u32::try_from(hasher.finish() % 100).unwrap_or_default();
        self.settings.trial_interval * percent / 100
    }
}

//! Which data centres may receive requests while some are evacuated.

use super::{Balancer, Upstream};
pub use sequoiawing_tables::Evacuations;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// How long this host may have heard nothing of the log's state and still count as told of
/// an evacuation when it began. A report and its reply take half a second.
const MAX_NEWS_AGE: Duration = Duration::from_secs(1);

/// Whether the upstreams of a data centre may receive requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CentreState {
    /// They may.
    Open,
    /// They receive only requests that no other data centre has loaded the model for.
    Avoided,
    /// They receive no requests.
    Closed,
}

/// A change of the state of a data centre, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CentreChange {
    /// The data centre.
    pub centre: Name,
    /// Its state from now on.
    pub state: CentreState,
    /// The time until it is closed.
    pub remaining: Duration,
}

/// An evacuation that this host knows.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// From when the data centre receives no requests.
    closing: Time,
    /// Whether it was reported as closed.
    is_reported: bool,
}

/// The evacuated data centres as one host knows them.
#[derive(Clone, Debug)]
pub struct EvacuationWatch {
    /// How long after an evacuation has begun its data centre may be used for what no
    /// other has loaded.
    grace: Duration,
    revision: u64,
    evacuated: BTreeMap<Name, Evacuation>,
    /// The time as of which a hub told the revision; `None` before the first one.
    confirmed: Option<Time>,
}

impl Default for EvacuationWatch {
    fn default() -> Self {
        Self::new(Duration::ZERO)
    }
}

impl EvacuationWatch {
    /// Creates a watch for a deployment in which evacuated data centres may receive
    /// requests for `limit` after an order is acknowledged.
    ///
    /// The last third of it is the margin for learning of the order, queues and transit.
    pub fn new(limit: Duration) -> Self {
        Self {
            grace: limit * 2 / 3,
            revision: 0,
            evacuated: BTreeMap::new(),
            confirmed: None,
        }
    }

    /// Returns the revision of the known set.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Applies a set that a hub told, unless it is not newer than the known one. Returns
    /// the data centres that were taken back since the known one.
    ///
    /// A host that has started, or that was out of touch, may learn of an evacuation long
    /// after its begin. It counts it from the last time as of which it knew that there was
    /// none, so that a host which knows none closes the data centre at once.
    pub fn apply(&mut self, now: Time, set: &Evacuations) -> Vec<Name> {
        if set.revision <= self.revision {
            return Vec::new();
        }
        let is_in_touch = |at: Time| now.since(at) <= MAX_NEWS_AGE;
        let begun = self
            .confirmed
            .map(|at| if is_in_touch(at) { now } else { at });
        let closing = begun.map_or(now, |begun| begun + self.grace);
        let known = std::mem::take(&mut self.evacuated);
        let mut reopened: Vec<Name> = known.keys().cloned().collect();
        reopened.retain(|centre| !set.centres.contains(centre));
        let finished = set.finished.iter();
        let missed = finished.filter(|(_, at)| **at > self.revision);
        let missed = missed.map(|(centre, _)| centre.clone());
        reopened.extend(missed.filter(|centre| !known.contains_key(centre)));
        let centres = set.centres.iter().map(|centre| {
            let first = Evacuation {
                closing,
                is_reported: false,
            };
            let evacuation = known.get(centre).copied().unwrap_or(first);
            (centre.clone(), evacuation)
        });
        self.evacuated = centres.collect();
        self.revision = set.revision;
        reopened
    }

    /// Records that a hub told the known revision, or none that is newer, as of a time.
    pub fn confirm(&mut self, as_of: Time) {
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// Returns the state of a data centre.
    pub fn state(&self, now: Time, centre: &Name) -> CentreState {
        match self.evacuated.get(centre) {
            None => CentreState::Open,
            Some(evacuation) if now < evacuation.closing => CentreState::Avoided,
            Some(_) => CentreState::Closed,
        }
    }

    /// Returns the data centres that have closed since the last call.
    pub fn take_closed(&mut self, now: Time) -> Vec<Name> {
        let evacuated = self.evacuated.iter_mut();
        let closed = evacuated.filter(|(_, e)| !e.is_reported && now >= e.closing);
        let closed = closed.map(|(centre, evacuation)| {
            evacuation.is_reported = true;
            centre.clone()
        });
        closed.collect()
    }

    /// Returns the time until a data centre closes.
    fn remaining(&self, now: Time, centre: &Name) -> Duration {
        let evacuation = self.evacuated.get(centre);
        evacuation.map_or(Duration::ZERO, |e| e.closing.since(now))
    }
}

impl Balancer {
    /// Sets for how long after an order evacuated data centres may receive requests.
    pub fn set_evacuation_limit(&mut self, limit: Duration) {
        self.evacuations = EvacuationWatch::new(limit);
    }

    /// Applies the evacuated data centres that a hub told with the state of the log as of
    /// a time, if that is known; the set is `None` if it told none that is newer. Returns
    /// the changes.
    pub fn apply_evacuations(
        &mut self,
        now: Time,
        as_of: Option<Time>,
        set: Option<&Evacuations>,
    ) -> Vec<CentreChange> {
        let mut changes = Vec::new();
        if let Some(set) = set.filter(|set| set.revision > self.evacuations.revision) {
            let known = self.evacuations.evacuated.clone();
            for centre in self.evacuations.apply(now, set) {
                self.mark_reopened(now, &centre);
                let (state, remaining) = (CentreState::Open, Duration::ZERO);
                changes.push(CentreChange {
                    centre,
                    state,
                    remaining,
                });
            }
            let begun = set.centres.iter().filter(|c| !known.contains_key(*c));
            changes.extend(begun.map(|centre| CentreChange {
                centre: centre.clone(),
                state: CentreState::Avoided,
                remaining: self.evacuations.remaining(now, centre),
            }));
        }
        if let Some(as_of) = as_of {
            self.evacuations.confirm(as_of);
        }
        let closed = self.evacuations.take_closed(now).into_iter();
        changes.extend(closed.map(|centre| CentreChange {
            centre,
            state: CentreState::Closed,
            remaining: Duration::ZERO,
        }));
        changes
    }

    /// Returns the revision of the known evacuated data centres.
    pub fn evacuation_revision(&self) -> u64 {
        self.evacuations.revision()
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        self.evacuations.count()
    }

    /// Returns the state of a data centre.
    pub fn centre_state(&self, now: Time, centre: &Name) -> CentreState {
        self.evacuations.state(now, centre)
    }

    /// Returns whether a data centre receives no requests.
    pub fn is_closed(&self, now: Time, centre: &Name) -> bool {
        self.centre_state(now, centre) == CentreState::Closed
    }

    /// Marks the upstreams of a data centre that was taken back as possibly cold.
    pub fn mark_reopened(&mut self, now: Time, centre: &Name) {
        self.recently_reopened.insert(centre.clone(), now);
        self.assume_cold(centre, now);
    }

    /// Returns the data centres that were taken back, with the time at which this host
    /// learned of it.
    pub fn recently_reopened(&self) -> &HashMap<Name, Time> {
        &self.recently_reopened
    }

    /// Returns whether the upstreams of evacuated data centres may be chosen that are not
    /// closed yet: those of other data centres do not have what a request needs.
    pub(super) fn may_use_avoided<'a, U, F>(&self, now: Time, upstreams: U, has_loaded: F) -> bool
    where
        U: Iterator<Item = &'a Upstream>,
        F: Fn(&Upstream) -> bool,
    {
        if self.evacuations.evacuated.is_empty() {
            return true;
        }
        let mut others = upstreams
            .filter(|upstream| self.centre_state(now, &upstream.state.centre) == CentreState::Open);
        !others.any(has_loaded)
    }
}

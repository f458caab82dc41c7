use super::SoftwareVersion;
use sequoiawing_types::Time;
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// How long the origin of a stream is kept after its first event. Streams end and are
/// taken up within it.
const RETENTION: Duration = Duration::from_mins(5);

/// The maximum number of origins; above it, the oldest are dropped. It takes less than
/// 4 MB.
const CAPACITY: usize = 32_768;

#[derive(Clone, Debug)]
struct Origin {
    /// The software version; `None` if several are recorded, since a caller has used an
    /// id twice.
    software: Option<SoftwareVersion>,
    /// Numbers the changes of the table, from 1.
    stamp: u64,
}

/// A software version that began the stream of an attempt.
#[derive(Clone, Debug)]
struct Recorded {
    at: Time,
    attempt: u64,
    software: SoftwareVersion,
    stamp: u64,
}

/// The software versions that began streams, by the digests of the callers' attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<u64, Origin>,
    /// What was recorded, oldest first.
    recorded: VecDeque<Recorded>,
    stamp: u64,
}

impl StreamOrigins {
    /// Records the software version that began the stream of an attempt.
    pub fn record(&mut self, now: Time, attempt: u64, software: &SoftwareVersion) {
        self.expire(now);
        let known = self.origins.get(&attempt);
        let next = match known.map(|origin| &origin.software) {
            None => Some(software.clone()),
            Some(Some(known)) if known != software => None,
            Some(_) => return,
        };
        self.stamp += 1;
        let stamp = self.stamp;
        let origin = Origin {
            software: next,
            stamp,
        };
        self.origins.insert(attempt, origin);
        self.recorded.push_back(Recorded {
            at: now,
            attempt,
            software: software.clone(),
            stamp,
        });
        if self.recorded.len() > CAPACITY {
            self.drop_oldest();
        }
    }

    /// Returns the software version that began the stream of an attempt, if it is known.
    pub fn get(&mut self, now: Time, attempt: u64) -> Option<&SoftwareVersion> {
        self.expire(now);
        self.origins.get(&attempt)?.software.as_ref()
    }

    /// Returns the attempts that were recorded after a stamp, up to `limit`, and the
    /// stamp of the last one. An attempt with several versions is returned with each, so
    /// that no receiver takes one of them for the only one.
    pub fn since(&self, stamp: u64, limit: usize) -> (u64, Vec<(u64, &SoftwareVersion)>) {
        let start = self.recorded.partition_point(|r| r.stamp <= stamp);
        let newer = self.recorded.range(start..).take(limit);
        let last = newer.clone().next_back().map_or(stamp, |r| r.stamp);
        let found = newer.map(|r| (r.attempt, &r.software));
        (last, found.collect())
    }

    /// Returns the number of known streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn expire(&mut self, now: Time) {
        let is_old = |r: &Recorded| now.since(r.at) >= RETENTION;
        while self.recorded.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.recorded.pop_front() else {
            return;
        };
        let origin = self.origins.get(&oldest.attempt);
        if origin.is_some_and(|origin| origin.stamp == oldest.stamp) {
            self.origins.remove(&oldest.attempt);
        }
    }
}

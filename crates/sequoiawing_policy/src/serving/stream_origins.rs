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

/// The software versions that began streams, by the digests of the callers' attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<u64, Origin>,
    /// The attempts with the time and stamp at which they were recorded, oldest first.
    recorded: VecDeque<(Time, u64, u64)>,
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
        let (software, stamp) = (next, self.stamp);
        self.origins.insert(attempt, Origin { software, stamp });
        self.recorded.push_back((now, attempt, stamp));
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
    /// stamp of the last one.
    pub fn since(&self, stamp: u64, limit: usize) -> (u64, Vec<(u64, &SoftwareVersion)>) {
        let start = self.recorded.partition_point(|(_, _, at)| *at <= stamp);
        let newer = self.recorded.range(start..).take(limit);
        let last = newer.clone().next_back().map_or(stamp, |(_, _, at)| *at);
        let found = newer.filter_map(|(_, attempt, _)| {
            let origin = self.origins.get(attempt)?;
            Some((*attempt, origin.software.as_ref()?))
        });
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
        let is_old = |(at, ..): &(Time, u64, u64)| now.since(*at) >= RETENTION;
        while self.recorded.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, attempt, stamp)) = self.recorded.pop_front() else {
            return;
        };
        let origin = self.origins.get(&attempt);
        if origin.is_some_and(|origin| origin.stamp == stamp) {
            self.origins.remove(&attempt);
        }
    }
}

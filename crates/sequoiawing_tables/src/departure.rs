use crate::{Outcome, Shared, Tables};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a departure is kept, in seconds of the log's clock. Announcements from before
/// it, and hosts that missed it, may come back within that time.
pub const DEPARTURE_RETENTION_S: u64 = 300;

/// The maximum number of departures that are kept, those of a release that replaces all
/// upstreams of the largest deployment twice; the oldest ones are dropped first.
pub const MAX_DEPARTURES: usize = 8_192;

/// The state from which on a start of an upstream wants no new requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Departure {
    /// The start of the upstream; higher after each restart.
    pub start: u64,
    /// The sequence number of the announcement that said so. Later ones replace it.
    pub sequence: u64,
    /// Whether the start announces nothing more.
    pub is_final: bool,
}

impl Departure {
    /// Returns the departure of a start that announces nothing more.
    pub fn of_start(start: u64) -> Self {
        Self {
            start,
            sequence: u64::MAX,
            is_final: true,
        }
    }

    /// Returns whether a host that knows this departure learns nothing from `other`.
    pub fn covers(&self, other: &Self) -> bool {
        let order = |departure: &Self| (departure.start, departure.sequence, departure.is_final);
        order(self) >= order(other)
    }
}

/// A departure in the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
struct Record {
    departure: Departure,
    /// The revision that recorded it.
    revision: u64,
    /// When it was recorded, by the log's clock in seconds.
    time: u64,
}

/// The upstreams that have left or said that they leave, so that no host that acknowledged
/// it has to survive. See [docs/design/departures.md](../../../docs/design/departures.md).
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Departures {
    /// Incremented by each recorded departure.
    revision: u64,
    records: Shared<BTreeMap<Name, Record>>,
}

impl Departures {
    /// Returns the revision of the last recorded departure.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the last departure of an upstream.
    pub fn get(&self, upstream: &Name) -> Option<Departure> {
        self.records.get(upstream).map(|record| record.departure)
    }

    /// Returns the departures that were recorded after a revision.
    pub fn after(&self, revision: u64) -> impl Iterator<Item = (&Name, Departure)> {
        let newer = self
            .records
            .iter()
            .filter(move |(_, r)| r.revision > revision);
        newer.map(|(upstream, record)| (upstream, record.departure))
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no departures.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records a departure at `time`, unless the known one covers it.
    fn record(&mut self, upstream: Name, departure: Departure, time: u64) {
        if self
            .get(&upstream)
            .is_some_and(|known| known.covers(&departure))
        {
            return;
        }
        self.revision += 1;
        let record = Record {
            departure,
            revision: self.revision,
            time,
        };
        self.records.insert(upstream, record);
        if self.records.len() > MAX_DEPARTURES {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.revision);
            if let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) {
                self.records.remove(&oldest);
            }
        }
    }

    fn expire(&mut self, now: u64) {
        self.records
            .retain(|_, r| now <= r.time.saturating_add(DEPARTURE_RETENTION_S));
    }
}

impl Tables {
    /// Records the departure of an upstream at the wall-clock time `now` in seconds.
    pub(crate) fn depart(&mut self, upstream: Name, departure: Departure, now: u64) -> Outcome {
        if self.advance_clock(now) {
            self.departures.expire(now);
        }
        let time = self.clock();
        self.departures.record(upstream, departure, time);
        Outcome::Departed(self.departures.revision)
    }
}

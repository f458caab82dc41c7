//! The cold upstreams of a [`Balancer`].

use super::{Balancer, UpstreamKey, cold::ColdPeriod};
use sequoiawing_fleet::RosterEntry;
use sequoiawing_types::{Name, RequestRate, Time};
use std::time::Duration;

/// The requests of one host that concern cold upstreams, in total since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdCounts {
    /// The requests that were sent to a cold upstream.
    pub sent: u64,
    /// The requests that were refused, waited or were sent elsewhere because the best
    /// upstream was cold or warming up.
    pub avoided: u64,
}

impl Balancer {
    /// Sets how many requests per second a cold upstream of a pool takes; `None` if its
    /// upstreams are never cold.
    pub fn set_cold_rate(&mut self, pool: &Name, rate: Option<RequestRate>) {
        match rate.filter(|rate| rate.milli() > 0) {
            Some(rate) => self.cold_rates.insert(pool.clone(), rate),
            None => self.cold_rates.remove(pool),
        };
        if !self.cold_rates.contains_key(pool) {
            for key in self.pools.get(pool).into_iter().flatten() {
                self.upstreams[*key].limit.end_cold();
            }
        }
    }

    /// Applies how long the upstream of an entry, which [`Balancer::update`] has applied,
    /// stays cold; returns whether it turned cold, if it did or turned warm.
    pub fn update_cold(&mut self, now: Time, listed: &RosterEntry) -> Option<bool> {
        let state = &listed.state;
        let rate = self.cold_rates.get(&state.pool).copied();
        let upstream = self.upstreams.get_mut(*self.names.get(&state.name)?)?;
        let left = Duration::from_millis(state.cold);
        let announce = |cold: &mut ColdPeriod| cold.announce(now, left);
        upstream.limit.set_cold(now, rate, announce)
    }

    /// Applies how long an upstream stays cold, as it said in a response; returns whether
    /// it turned cold.
    pub fn observe_cold(&mut self, now: Time, key: UpstreamKey, left: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let rate = self.cold_rates.get(&upstream.state.pool).copied();
        let extend = |cold: &mut ColdPeriod| cold.extend(now, left);
        upstream.limit.set_cold(now, rate, extend) == Some(true)
    }

    /// Takes all upstreams of a data centre as cold until they announce themselves anew:
    /// while it was not used, they may have become cold without notice.
    pub fn assume_cold(&mut self, centre: &Name, now: Time) {
        for upstream in self.upstreams.values_mut() {
            if upstream.state.centre == *centre {
                let rate = self.cold_rates.get(&upstream.state.pool).copied();
                upstream.limit.set_cold(now, rate, |cold| cold.assume(now));
            }
        }
    }

    /// Returns the number of cold upstreams.
    pub fn count_cold(&self, now: Time) -> usize {
        let cold = self
            .upstreams
            .values()
            .filter(|u| u.limit.cold().is_cold(now));
        cold.count()
    }

    /// Returns the requests that concerned cold upstreams.
    pub fn cold_counts(&self) -> ColdCounts {
        self.cold_counts
    }

    pub(super) fn is_cold_key(&self, now: Time, key: UpstreamKey) -> bool {
        self.upstreams[key].limit.cold().remainder(now) > 0.0
    }
}

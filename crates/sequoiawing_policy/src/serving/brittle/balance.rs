//! Brittle upstreams among those that a balancer chooses from.

use crate::serving::{
    Assignment, Balancer, BalancerRequest, PickResult, PlaceCandidate, UpstreamKey,
    upstream::Upstream,
};
use sequoiawing_types::{Name, RequestRate, Time};

impl Balancer {
    /// Assigns a request to a brittle upstream at which it has a place; returns `None` if
    /// that start of the upstream is gone, leaves or wants no requests.
    pub fn assign_place(
        &mut self,
        now: Time,
        request: &BalancerRequest,
        candidate: &PlaceCandidate,
    ) -> Option<Assignment> {
        let key = *self.names.get(&candidate.name)?;
        let state = &self.upstreams[key].state;
        let is_open = !self.is_closed(now, &state.centre);
        let is_usable = is_open && state.epoch == candidate.epoch && !self.is_leaving(state);
        if !is_usable || self.due(now, request, &candidate.name).is_some() {
            return None;
        }
        let draw = request.draw(&candidate.name);
        let limit = &mut self.upstreams[key].limit;
        // The last token may have been used while the place was asked for.
        if limit.cold().needs_token(now, draw) && !limit.permits(now, self.hosts, draw) {
            return None;
        }
        match self.assign(now, key, request) {
            PickResult::Assigned(assignment) => Some(assignment),
            _ => None,
        }
    }

    /// Assigns a request to a brittle upstream while the keeper of places is out of reach:
    /// each host uses its part of the slots.
    pub fn assign_alone(
        &mut self,
        now: Time,
        request: &BalancerRequest,
        candidates: &[PlaceCandidate],
    ) -> Option<Assignment> {
        let hosts = f64::from(self.hosts.max(1));
        let has_part = |candidate: &&PlaceCandidate| {
            let key = self.names.get(&candidate.name);
            let open = key.map_or(u32::MAX, |key| self.upstreams[*key].open);
            let part = f64::from(candidate.slots) / hosts - f64::from(open);
            request.draw(&candidate.name) < part
        };
        let candidate = candidates.iter().find(has_part)?.clone();
        self.assign_place(now, request, &candidate)
    }

    /// Returns the tolerance of upstreams of a pool that have not answered yet; `None` if they
    /// count as sound.
    ///
    /// They are like the least tolerant of those that have answered. If none has, since all
    /// started anew, they are like their former starts.
    pub(in crate::serving) fn pool_tolerance(&self, pool: &Name) -> Option<RequestRate> {
        let keys = self.pools.get(pool).into_iter().flatten();
        let named = keys.filter_map(|key| self.upstreams[*key].tolerance.last());
        let mut named = named.map(|last| last.rate).peekable();
        if named.peek().is_none() {
            return self.former_tolerances.get(pool).copied();
        }
        named.flatten().min()
    }

    /// Remembers the tolerance of an upstream that is removed, for the next starts.
    pub(in crate::serving) fn remember_tolerance(&mut self, upstream: &Upstream) {
        let Some(rate) = upstream.tolerance.rate() else {
            return;
        };
        let pool = upstream.state.pool.clone();
        let former = self.former_tolerances.entry(pool).or_insert(rate);
        *former = rate.min(*former);
    }

    /// Applies the tolerance named in an answer to a request that was sent at `sent`;
    /// returns whether it changed.
    pub fn observe_tolerance(
        &mut self,
        now: Time,
        key: UpstreamKey,
        sent: Time,
        tolerance: Option<RequestRate>,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let former = upstream.tolerance.rate();
        upstream.tolerance.observe(now, sent, tolerance);
        let current = upstream.tolerance.rate();
        if current.is_none() {
            self.former_tolerances.remove(&upstream.state.pool);
        }
        current != former
    }
}

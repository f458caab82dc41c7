use sequoiawing_link::PlannedLoad;
use sequoiawing_policy::serving::FleetSize;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

/// How long all hubs may fail to answer before the gateway counts as
/// disconnected; several reporting intervals.
pub(crate) const DISCONNECTED_AFTER: Duration = Duration::from_millis(1_500);

/// The state in the last response of one hub.
#[derive(Debug, Default)]
pub(crate) struct HubView {
    pub(crate) last_response: Time,
    pub(crate) epoch: u64,
    /// Whether its usage totals include all gateways.
    pub(crate) is_complete: bool,
    pub(crate) silent: HashSet<Name>,
}

/// The state of the other hosts, as reported by hubs.
#[derive(Debug, Default)]
pub(crate) struct ClusterView {
    pub(crate) hubs: HashMap<SocketAddr, HubView>,
    /// The hub whose usage totals apply, and its epoch.
    pub(crate) usage_source: Option<(SocketAddr, u64)>,
    pub(crate) gateways: u32,
    /// The gateways that share the slack of the retry limits.
    pub(crate) fleet_size: FleetSize,
    pub(crate) missing: u32,
    /// The term of the leader that ordered the loads and evictions.
    pub(crate) term: u64,
    /// The time as of which the upstreams are known; `None` before the first reply.
    pub(crate) roster_time: Option<Time>,
    /// The loads that were requested, with the times at which they are due.
    pub(crate) loads: Vec<(Time, PlannedLoad)>,
}

impl ClusterView {
    /// Returns the upstreams that all connected hubs report as silent.
    pub(crate) fn silent_upstreams(&self, now: Time) -> HashSet<Name> {
        let is_fresh = |h: &&HubView| now.since(h.last_response) <= DISCONNECTED_AFTER;
        let mut views = self.hubs.values().filter(is_fresh);
        let Some(first) = views.next() else {
            return HashSet::new();
        };
        let rest: Vec<&HubView> = views.collect();
        let agreed = first.silent.iter();
        let agreed = agreed.filter(|name| rest.iter().all(|v| v.silent.contains(*name)));
        agreed.cloned().collect()
    }

    /// Selects the hub whose usage totals apply, and returns whether it or its
    /// epoch changed.
    pub(crate) fn select_usage_source(&mut self, now: Time) -> (Option<SocketAddr>, bool) {
        let is_fresh = |at: &SocketAddr| {
            let view = self.hubs.get(at);
            view.is_some_and(|v| v.is_complete && now.since(v.last_response) <= DISCONNECTED_AFTER)
        };
        let kept = self.usage_source.filter(|(at, _)| is_fresh(at));
        let chosen = kept.map(|(at, _)| at);
        let chosen = chosen.or_else(|| self.hubs.keys().copied().filter(is_fresh).min());
        let next = chosen.map(|at| (at, self.hubs[&at].epoch));
        let is_new = next != self.usage_source;
        self.usage_source = next;
        (chosen, is_new)
    }
}

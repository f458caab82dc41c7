use sequoiawing_link::{
    DemandBatch, GatewayReport, GatewayUsage, ModelDemand, NamedTunnelHost, QuarantineReport,
    TokenUse,
};
use sequoiawing_policy::serving::{TunnelCandidate, choose_tunnel_hosts};
use sequoiawing_types::{Name, Time};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// How long after its last report a gateway counts as missing; several reporting
/// intervals.
const MISSING_AFTER: Duration = Duration::from_millis(1_500);

/// How long a missing gateway still counts, since it may serve callers behind a
/// network partition. A crashed one is restarted or replaced within this time.
const REMOVED_AFTER: Duration = Duration::from_secs(20);

/// How long the counters of a gateway are reachable, so that usage before a long
/// partition is not counted again after it.
const RETENTION: Duration = Duration::from_mins(10);

/// The number of gateways that must have failed to reach an upstream before it
/// counts as unreachable; a single one may itself be disconnected.
const MIN_FAILED_GATEWAYS: usize = 2;

/// The last report of a gateway, to this hub or to another.
#[derive(Clone, Debug, Serialize)]
struct Gateway {
    incarnation: u64,
    /// When the last report was received, here or by another hub.
    #[serde(rename = "heard")]
    last_report: Time,
    leaving: bool,
    used: BTreeMap<Name, u64>,
    unreachable: Vec<Name>,
    reached: Vec<Name>,
    lost: Vec<Name>,
    tunnels: Option<SocketAddr>,
    #[serde(skip)]
    quarantine: QuarantineReport,
    #[serde(skip)]
    tokens: Vec<TokenUse>,
    /// The stamp of its last report to this hub; 0 if there was none.
    #[serde(rename = "reported")]
    report_stamp: u64,
    /// Whether this hub is its standby, and another one its primary.
    is_standby: bool,
}

impl Gateway {
    fn new(incarnation: u64, last_report: Time) -> Self {
        Self {
            incarnation,
            last_report,
            leaving: false,
            used: BTreeMap::new(),
            unreachable: Vec::new(),
            reached: Vec::new(),
            lost: Vec::new(),
            tunnels: None,
            quarantine: QuarantineReport::default(),
            tokens: Vec::new(),
            report_stamp: 0,
            is_standby: false,
        }
    }

    /// Returns how long the gateway still counts after its last report.
    fn presence_timeout(&self) -> Duration {
        if self.leaving {
            MISSING_AFTER
        } else {
            REMOVED_AFTER
        }
    }

    fn is_present(&self, now: Time) -> bool {
        now.since(self.last_report) <= self.presence_timeout()
    }
}

/// Aggregates the customers' usage over all gateways.
///
/// The totals are monotonic, also across restarts of gateways, so that a gateway
/// can derive the usage since its last report. Counters are merged by their
/// maximum: a gateway may report to several hubs, and hubs may forward reports
/// in any order and more than once.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UsageAggregator {
    gateways: BTreeMap<Name, Gateway>,
    totals: BTreeMap<Name, u64>,
    stamp: u64,
    /// Whether a gateway already had usage when it was first seen.
    is_rebuilt: bool,
}

impl UsageAggregator {
    /// Records the report of a gateway.
    pub fn record(&mut self, now: Time, report: &GatewayReport) {
        self.stamp += 1;
        let stamp = self.stamp;
        let usage = GatewayUsage {
            host: report.host.clone(),
            incarnation: report.incarnation,
            leaving: report.leaving,
            used: report.used.clone(),
            unreachable: report.unreachable.clone(),
            reached: report.reached.clone(),
            lost: report.lost.clone(),
            tunnels: report.tunnels,
            quarantine: report.quarantine.clone(),
            tokens: report.tokens.clone(),
            age: 0,
        };
        self.merge(now, &usage);
        if let Some(gateway) = self.gateways.get_mut(&report.host) {
            gateway.report_stamp = stamp;
            // A gateway that leaves reports once more to each hub.
            gateway.is_standby = report.skips_roster && !report.leaving;
        }
    }

    /// Merges the usage that a gateway reported to another hub.
    pub fn merge(&mut self, now: Time, usage: &GatewayUsage) {
        // A report from before this process's start counts as of its start.
        let last_report = Time::ZERO + now.since(Time::ZERO + Duration::from_millis(usage.age));
        if !self.gateways.contains_key(&usage.host) {
            self.is_rebuilt |= usage.used.iter().any(|(_, used)| *used > 0);
        }
        let gateway = self.gateways.entry(usage.host.clone());
        let gateway = gateway.or_insert_with(|| Gateway::new(usage.incarnation, last_report));
        if usage.incarnation < gateway.incarnation {
            return;
        }
        if usage.incarnation > gateway.incarnation {
            *gateway = Gateway::new(usage.incarnation, last_report);
        }
        if last_report >= gateway.last_report {
            gateway.last_report = last_report;
            gateway.leaving = usage.leaving;
            gateway.unreachable.clone_from(&usage.unreachable);
            gateway.reached.clone_from(&usage.reached);
            gateway.lost.clone_from(&usage.lost);
            gateway.tunnels = usage.tunnels;
            gateway.quarantine.clone_from(&usage.quarantine);
            gateway.tokens.clone_from(&usage.tokens);
        }
        for (customer, used) in &usage.used {
            let known = gateway.used.entry(customer.clone()).or_default();
            let increase = used.saturating_sub(*known);
            *known += increase;
            *self.totals.entry(customer.clone()).or_default() += increase;
        }
    }

    /// Returns the newest stamp, and the usage that gateways reported to this hub
    /// after `stamp`. Those whose primary is another hub are left out unless `wants_all`.
    pub fn changes_since(
        &self,
        now: Time,
        stamp: u64,
        wants_all: bool,
    ) -> (u64, Vec<GatewayUsage>) {
        // A stamp from before this hub's restart exceeds the current ones.
        let after = if stamp > self.stamp { 0 } else { stamp };
        let newer = self.gateways.iter().filter(|(_, g)| g.report_stamp > after);
        let newer = newer.filter(|(_, g)| wants_all || !g.is_standby);
        let usage = newer.map(|(host, g)| GatewayUsage {
            host: host.clone(),
            incarnation: g.incarnation,
            leaving: g.leaving,
            used: g.used.iter().map(|(n, u)| (n.clone(), *u)).collect(),
            unreachable: g.unreachable.clone(),
            reached: g.reached.clone(),
            lost: g.lost.clone(),
            tunnels: g.tunnels,
            quarantine: g.quarantine.clone(),
            tokens: g.tokens.clone(),
            age: u64::try_from(now.since(g.last_report).as_millis()).unwrap_or(u64::MAX),
        });
        (self.stamp, usage.collect())
    }

    /// Removes gateways whose last report is older than the retention period.
    pub fn expire(&mut self, now: Time) {
        self.gateways
            .retain(|_, g| now.since(g.last_report) <= RETENTION);
    }

    /// Returns the highest known incarnation of a gateway; 0 if the gateway is unknown.
    pub fn incarnation_of(&self, host: &Name) -> u64 {
        self.gateways.get(host).map_or(0, |g| g.incarnation)
    }

    /// Returns the total usage of each customer.
    pub fn totals(&self) -> Vec<(Name, u64)> {
        let totals = self.totals.iter();
        totals.map(|(name, used)| (name.clone(), *used)).collect()
    }

    /// Returns whether the totals started while gateways already had usage, as
    /// after a restart of the hub: they then grow by past usage.
    pub fn is_rebuilt(&self) -> bool {
        self.is_rebuilt
    }

    /// Returns the upstreams that recently could not be reached by more connected
    /// gateways than reached them, and by at least two if two are connected.
    ///
    /// Only gateways that recently tried an upstream count, since in a large
    /// deployment most have not.
    pub fn unreachable(&self, now: Time) -> BTreeSet<Name> {
        let is_connected = |g: &&Gateway| now.since(g.last_report) <= MISSING_AFTER;
        let connected: Vec<&Gateway> = self.gateways.values().filter(is_connected).collect();
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for gateway in &connected {
            for name in &gateway.unreachable {
                counts.entry(name).or_default().0 += 1;
            }
        }
        for gateway in &connected {
            for name in &gateway.reached {
                if let Some((_, reached)) = counts.get_mut(name) {
                    *reached += 1;
                }
            }
        }
        let required = connected.len().min(MIN_FAILED_GATEWAYS);
        let confirmed = counts.into_iter();
        let confirmed =
            confirmed.filter(|(_, (failed, reached))| *failed >= required && failed > reached);
        confirmed.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the gateways through which another one can reach the upstreams that it
    /// has lost.
    pub fn tunnel_hosts(&self, now: Time, requester: &Name, lost: &[Name]) -> Vec<NamedTunnelHost> {
        if lost.is_empty() {
            return Vec::new();
        }
        let is_usable = |g: &Gateway| now.since(g.last_report) <= MISSING_AFTER && !g.leaving;
        let usable = self.gateways.iter().filter(|(_, g)| is_usable(g));
        let (candidates, addresses): (Vec<_>, Vec<_>) = usable
            .filter_map(|(host, g)| {
                let (reached, lost) = (&g.reached, &g.lost);
                let candidate = TunnelCandidate {
                    host,
                    reached,
                    lost,
                };
                Some((candidate, g.tunnels?))
            })
            .unzip();
        let chosen = choose_tunnel_hosts(requester, lost, &candidates);
        let named = chosen
            .into_iter()
            .map(|(index, reachable)| NamedTunnelHost {
                host: candidates[index].host.clone(),
                address: addresses[index],
                reachable,
            });
        named.collect()
    }

    /// Returns the number of gateways, and how many of them are missing.
    pub fn count_gateways(&self, now: Time) -> (u32, u32) {
        let present: Vec<&Gateway> = self
            .gateways
            .values()
            .filter(|g| g.is_present(now))
            .collect();
        let is_missing = |g: &&&Gateway| now.since(g.last_report) > MISSING_AFTER;
        let missing = present.iter().filter(is_missing).count();
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        (count(present.len()), count(missing))
    }
}

/// Filters out demand that a gateway has reported before.
#[derive(Clone, Debug, Default)]
pub struct DemandDeduplicator {
    /// The incarnation and the last batch number of each gateway.
    gateways: BTreeMap<Name, (u64, u64)>,
}

impl DemandDeduplicator {
    /// Records a report and returns the demand of its new batches.
    pub fn accept(&mut self, report: &GatewayReport) -> Vec<ModelDemand> {
        let last = self.gateways.entry(report.host.clone()).or_default();
        let previous = *last;
        let is_new = |batch: &&DemandBatch| (report.incarnation, batch.number) > previous;
        let new_batches: Vec<&DemandBatch> = report.demand.iter().filter(is_new).collect();
        let newest = new_batches
            .iter()
            .map(|b| (report.incarnation, b.number))
            .max();
        *last = newest.unwrap_or(previous);
        let demand = new_batches
            .into_iter()
            .flat_map(|b| b.demand.iter().cloned());
        demand.collect()
    }

    /// Keeps only the gateways for which `is_kept` returns true.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.gateways.retain(|host, _| is_kept(host));
    }
}

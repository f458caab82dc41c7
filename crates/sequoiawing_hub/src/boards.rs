use sequoiawing_link::{DemandBatch, GatewayReport, GatewayUse, ModelDemand};
use sequoiawing_types::{Name, Time};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long a gateway may be silent before it counts as missing; several of
/// its reporting intervals.
const MISSING_AFTER: Duration = Duration::from_millis(1_500);

/// How long a missing gateway may still serve callers behind a partition; a
/// killed one is back or replaced by then.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// How long the counters of a gateway are kept, so that what it used before a
/// long partition is not counted again after it.
const KEPT_FOR: Duration = Duration::from_mins(10);

/// The gateways that must have failed to reach an upstream before it counts as
/// unreachable; one alone may be cut off.
const LEAST_WITNESSES: usize = 2;

/// What one gateway reported, here or to another hub.
#[derive(Clone, Debug, Serialize)]
struct Gateway {
    incarnation: u64,
    heard: Time,
    leaving: bool,
    used: BTreeMap<Name, u64>,
    unreachable: Vec<Name>,
    reached: Vec<Name>,
    /// The stamp of its last report to this hub; 0 without one.
    reported: u64,
}

impl Gateway {
    fn new(incarnation: u64, heard: Time) -> Self {
        Self {
            incarnation,
            heard,
            leaving: false,
            used: BTreeMap::new(),
            unreachable: Vec::new(),
            reached: Vec::new(),
            reported: 0,
        }
    }

    /// Returns how long it counts as a gateway without a report.
    fn patience(&self) -> Duration {
        if self.leaving {
            MISSING_AFTER
        } else {
            FORGOTTEN_AFTER
        }
    }

    fn is_present(&self, now: Time) -> bool {
        now.since(self.heard) <= self.patience()
    }
}

/// Adds up what customers used at all gateways.
///
/// The sums only grow, also when a gateway starts anew, so that a gateway that
/// follows them learns how much was used since it last asked. Counters are
/// merged by their maximum, so that a gateway may report to several hubs, and
/// hubs may pass reports on in any order and more than once.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UsageBoard {
    gateways: BTreeMap<Name, Gateway>,
    totals: BTreeMap<Name, u64>,
    stamp: u64,
    /// Whether a gateway had been used before it was first heard of.
    is_rebuilt: bool,
}

impl UsageBoard {
    /// Takes in a report.
    pub fn take(&mut self, now: Time, report: &GatewayReport) {
        self.stamp += 1;
        let stamp = self.stamp;
        let used = GatewayUse {
            host: report.host.clone(),
            incarnation: report.incarnation,
            leaving: report.leaving,
            used: report.used.clone(),
            unreachable: report.unreachable.clone(),
            reached: report.reached.clone(),
            age: 0,
        };
        self.merge(now, &used);
        if let Some(gateway) = self.gateways.get_mut(&report.host) {
            gateway.reported = stamp;
        }
    }

    /// Takes in what a gateway told another hub.
    pub fn merge(&mut self, now: Time, told: &GatewayUse) {
        // What was told before this process started counts from its start.
        let heard = Time::ZERO + now.since(Time::ZERO + Duration::from_millis(told.age));
        if !self.gateways.contains_key(&told.host) {
            self.is_rebuilt |= told.used.iter().any(|(_, used)| *used > 0);
        }
        let gateway = self.gateways.entry(told.host.clone());
        let gateway = gateway.or_insert_with(|| Gateway::new(told.incarnation, heard));
        if told.incarnation < gateway.incarnation {
            return;
        }
        if told.incarnation > gateway.incarnation {
            *gateway = Gateway::new(told.incarnation, heard);
        }
        if heard >= gateway.heard {
            gateway.heard = heard;
            gateway.leaving = told.leaving;
            gateway.unreachable.clone_from(&told.unreachable);
            gateway.reached.clone_from(&told.reached);
        }
        for (customer, used) in &told.used {
            let known = gateway.used.entry(customer.clone()).or_default();
            let fresh = used.saturating_sub(*known);
            *known += fresh;
            *self.totals.entry(customer.clone()).or_default() += fresh;
        }
    }

    /// Returns what gateways told this hub since a stamp, and the newest stamp.
    pub fn since(&self, now: Time, stamp: u64) -> (u64, Vec<GatewayUse>) {
        // A stamp of a former start of this hub is beyond the present ones.
        let after = if stamp > self.stamp { 0 } else { stamp };
        let newer = self.gateways.iter().filter(|(_, g)| g.reported > after);
        let told = newer.map(|(host, g)| GatewayUse {
            host: host.clone(),
            incarnation: g.incarnation,
            leaving: g.leaving,
            used: g.used.iter().map(|(n, u)| (n.clone(), *u)).collect(),
            unreachable: g.unreachable.clone(),
            reached: g.reached.clone(),
            age: u64::try_from(now.since(g.heard).as_millis()).unwrap_or(u64::MAX),
        });
        (self.stamp, told.collect())
    }

    /// Forgets gateways that left or were silent for very long.
    pub fn expire(&mut self, now: Time) {
        self.gateways.retain(|_, g| now.since(g.heard) <= KEPT_FOR);
    }

    /// Returns what each customer used in all.
    pub fn totals(&self) -> Vec<(Name, u64)> {
        let totals = self.totals.iter();
        totals.map(|(name, used)| (name.clone(), *used)).collect()
    }

    /// Reports whether the sums were begun while gateways were in use, as after
    /// a restart of the hub: they then grow by use that is long past.
    pub fn is_rebuilt(&self) -> bool {
        self.is_rebuilt
    }

    /// Returns the upstreams that gateways in touch could not reach just now:
    /// more of them than reached it, and two where there are as many.
    ///
    /// Most gateways of a large deployment have not tried a given upstream
    /// lately, so that only those that have are asked.
    pub fn unreachable(&self, now: Time) -> BTreeSet<Name> {
        let is_fresh = |g: &&Gateway| now.since(g.heard) <= MISSING_AFTER;
        let fresh: Vec<&Gateway> = self.gateways.values().filter(is_fresh).collect();
        let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for gateway in &fresh {
            for name in &gateway.unreachable {
                counts.entry(name).or_default().0 += 1;
            }
        }
        for gateway in &fresh {
            for name in &gateway.reached {
                if let Some((_, reached)) = counts.get_mut(name) {
                    *reached += 1;
                }
            }
        }
        let least = fresh.len().min(LEAST_WITNESSES);
        let agreed = counts.into_iter();
        let agreed = agreed.filter(|(_, (missed, reached))| *missed >= least && missed > reached);
        agreed.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of gateways, and of those that are missing.
    pub fn gateways(&self, now: Time) -> (u32, u32) {
        let present: Vec<&Gateway> = self
            .gateways
            .values()
            .filter(|g| g.is_present(now))
            .collect();
        let is_missing = |g: &&&Gateway| now.since(g.heard) > MISSING_AFTER;
        let missing = present.iter().filter(is_missing).count();
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        (count(present.len()), count(missing))
    }
}

/// Finds out what is new in the demand that gateways report.
#[derive(Clone, Debug, Default)]
pub struct DemandBoard {
    /// The incarnation and the last batch of each gateway.
    gateways: BTreeMap<Name, (u64, u64)>,
}

impl DemandBoard {
    /// Takes in a report and returns the demand of the batches that are new.
    pub fn take(&mut self, report: &GatewayReport) -> Vec<ModelDemand> {
        let known = self.gateways.entry(report.host.clone()).or_default();
        let former = *known;
        let is_new = |batch: &&DemandBatch| (report.incarnation, batch.number) > former;
        let fresh: Vec<&DemandBatch> = report.demand.iter().filter(is_new).collect();
        let newest = fresh.iter().map(|b| (report.incarnation, b.number)).max();
        *known = newest.unwrap_or(former);
        let demand = fresh.into_iter().flat_map(|b| b.demand.iter().cloned());
        demand.collect()
    }

    /// Forgets gateways that no longer report.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.gateways.retain(|host, _| is_kept(host));
    }
}

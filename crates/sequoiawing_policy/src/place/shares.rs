//! Maintains and releases the data centre's share of replicas.
//!
//! See [docs/design/replicas.md](../../../../docs/design/replicas.md).

use crate::{
    PlaceAction, Placer,
    place::allotments::{AllotmentState, Target},
};
use sequoiawing_tables::Pool;
use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// How long a data centre stays without a share that it was asked to release.
const RECALL_TIME: Duration = Duration::from_secs(10);

/// The data centre's shares, and the allotments to request once the cell has
/// recorded them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    centres: BTreeSet<Name>,
    /// The data centre's default share of each model, kept without any demand.
    defaults: BTreeMap<Target, u32>,
    /// The models recalled by other data centres, and when each recall ends.
    recalled: BTreeMap<Target, Time>,
    /// The allotment to request from the log once the record of the given
    /// number is stored, by model.
    pending: BTreeMap<Target, (u64, u32)>,
    recorded: BTreeMap<Target, u32>,
    last_record: u64,
    needs_record: bool,
}

impl Shares {
    /// Discards the state of an earlier term. The record numbers continue.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.recorded.clear();
        self.needs_record = false;
    }

    /// Divides the replicas of all models among the data centres.
    pub(crate) fn divide(&mut self, own: &Name, pools: &BTreeMap<Name, Pool>) {
        self.defaults.clear();
        for pool in pools.values() {
            let centres = self.centres.iter().filter(|c| pool.allows_centre(c));
            let centres: Vec<&Name> = centres.collect();
            for model in &pool.models {
                let target = (pool.name.clone(), model.name.clone());
                let count = default_share(&target, model.replicas, &centres, own);
                if count > 0 {
                    self.defaults.insert(target, count);
                }
            }
        }
    }
}

/// Returns the data centre's default share of a model's replicas.
///
/// All data centres compute the same shares from the same tables. If their
/// tables differ, the log refuses one of the requests.
fn default_share(target: &Target, replicas: u32, centres: &[&Name], own: &Name) -> u32 {
    let rank = |centre: &Name| {
        let mut hasher = DefaultHasher::new();
        (target, centre).hash(&mut hasher);
        (hasher.finish(), centre.clone())
    };
    if !centres.contains(&own) {
        return 0;
    }
    let count = u32::try_from(centres.len()).unwrap_or(u32::MAX);
    let before = centres.iter().filter(|c| rank(c) < rank(own)).count();
    let before = u32::try_from(before).unwrap_or(u32::MAX);
    replicas / count + u32::from(before < replicas % count)
}

impl Placer {
    pub(crate) fn set_centres(&mut self, centres: BTreeSet<Name>) {
        self.shares.centres = centres;
        self.shares.divide(&self.settings.centre, &self.pools);
    }

    /// Applies an earlier leader's record.
    pub(crate) fn inherit(&mut self, counts: &BTreeMap<Target, u32>) {
        if self.leadership.is_none() {
            return;
        }
        for (target, count) in counts {
            self.allotments.inherit(target, *count);
        }
        self.shares.needs_record = true;
    }

    /// Requests the data centre's allotment of a model, and returns whether the
    /// request was accepted.
    ///
    /// If the log may have a higher number, the cell first records that the
    /// surplus must not be used any more.
    pub(crate) fn request_allotment(
        &mut self,
        now: Time,
        target: &Target,
        want: u32,
        out: &mut Vec<PlaceAction>,
    ) -> bool {
        let known = self.allotments.known(target);
        if !self.allotments.request(now, target, want) {
            return false;
        }
        if known.is_some_and(|k| want >= k) {
            let (pool, model) = target.clone();
            out.push(PlaceAction::Allot { pool, model, want });
            return true;
        }
        let number = self.shares.last_record + 1;
        self.shares.pending.insert(target.clone(), (number, want));
        self.shares.needs_record = true;
        true
    }

    /// Applies the log's answer, and recalls the shares of other data centres
    /// if the log refused.
    pub(crate) fn handle_allotment(
        &mut self,
        now: Time,
        target: &Target,
        count: Option<u32>,
        out: &mut Vec<PlaceAction>,
    ) {
        let is_refused = self.allotments.confirm(target, count);
        let is_wanted = self.demands.has_waiting(now, target);
        if is_refused && is_wanted && self.allotments.recall(now, target) {
            let (pool, model) = target.clone();
            out.push(PlaceAction::Recall { pool, model });
        }
    }

    /// Releases the share of a model to another data centre for a while, unless
    /// it is needed here.
    pub(crate) fn recall(&mut self, now: Time, target: &Target) {
        let until = now + RECALL_TIME;
        self.shares.recalled.insert(target.clone(), until);
    }

    /// Returns the replicas that the data centre keeps without any demand.
    fn share(&self, target: &Target) -> u32 {
        let default = self.shares.defaults.get(target).copied().unwrap_or(0);
        let memory = self.model(target).map_or(0, |m| m.memory);
        let mut runners = self.runners.values().map(|r| &r.state);
        let fits_upstream =
            default > 0 && runners.any(|s| s.pool == target.0 && s.memory >= memory);
        if !fits_upstream || self.shares.recalled.contains_key(target) {
            return 0;
        }
        default
    }

    /// Claims the data centre's shares, and returns replicas that are neither
    /// held nor wanted nor part of its share, including allotments of an
    /// earlier leader.
    pub(crate) fn release_unused(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        self.shares.recalled.retain(|_, until| *until > now);
        for target in self.all_targets() {
            if self.demands.is_wanted(now, &target) || !self.is_pool_synced(now, &target.0) {
                continue;
            }
            let keep = self.replicas(&target).max(self.share(&target));
            let state = self.allotments.state(&target, keep);
            let is_due = match state {
                AllotmentState::Equal => false,
                AllotmentState::Above => true,
                AllotmentState::Below => self.allotments.may_claim(now, &target),
            };
            let is_requested = is_due && self.request_allotment(now, &target, keep, out);
            if is_requested && state == AllotmentState::Below {
                self.allotments.set_claimed(now, &target);
            }
        }
    }

    /// Records the allotments of the data centre in the cell if they changed.
    pub(crate) fn record(&mut self, out: &mut Vec<PlaceAction>) {
        if self.leadership.is_none() {
            return;
        }
        let counts = self.allotments.counts();
        if !self.shares.needs_record && counts == self.shares.recorded {
            return;
        }
        self.shares.needs_record = false;
        self.shares.recorded.clone_from(&counts);
        self.shares.last_record += 1;
        let number = self.shares.last_record;
        out.push(PlaceAction::Record { number, counts });
    }

    /// Sends the requests to the log whose record a majority of the cell has
    /// stored.
    pub(crate) fn recorded(&mut self, number: u64, out: &mut Vec<PlaceAction>) {
        let pending = std::mem::take(&mut self.shares.pending);
        for (target, (after, want)) in pending {
            if after > number {
                self.shares.pending.insert(target, (after, want));
                continue;
            }
            let (pool, model) = target;
            out.push(PlaceAction::Allot { pool, model, want });
        }
    }

    /// Returns the models of all pools and those with an allotment.
    fn all_targets(&self) -> BTreeSet<Target> {
        let pools = self.pools.values();
        let models = pools.flat_map(|p| p.models.iter().map(|m| (p.name.clone(), m.name.clone())));
        models.chain(self.allotments.targets()).collect()
    }
}

use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The version of a cell's record, ordered by the term of the leader that made
/// it, then by the leader's number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Version {
    /// The term of the leader.
    pub term: u64,
    /// The number that the leader gave the record.
    pub number: u64,
}

/// The replicas of one model that a data centre may hold.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShareCount {
    /// The pool.
    pub pool: Name,
    /// The model.
    pub model: Name,
    /// The number of replicas.
    pub count: u32,
}

/// The replicas that the data centre may hold, stored on a majority of cell
/// members. The next leader may use them without asking the log.
///
/// See [docs/design/replicas.md](../../../docs/design/replicas.md).
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ShareRecord {
    /// The epoch of the membership in which the record is valid.
    pub epoch: u64,
    /// The version of the record.
    pub version: Version,
    /// The replicas of each model. A model that is not listed has none.
    pub counts: Vec<ShareCount>,
}

/// A member's record and, while it leads, the records of other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Records {
    /// The newest record that this member has stored since its start.
    own: Option<ShareRecord>,
    /// The newest record reported by others. It is kept apart from `own` until
    /// a majority has reported: a restarted member has lost its records and
    /// must not confirm one that was only reported to it.
    reported: Option<ShareRecord>,
    /// The versions that members had when they last promised to this leader.
    versions: BTreeMap<Name, Version>,
    /// The members that promised to this leader, with or without a record.
    responders: BTreeSet<Name>,
    /// Whether `own` is at least as new as any record stored on a majority.
    pub(crate) is_current: bool,
    /// The record to store once it is known that it replaces nothing newer.
    pending: Option<(Version, Vec<ShareCount>)>,
}

impl Records {
    /// Discards everything reported to a candidate or leader.
    pub(crate) fn reset(&mut self) {
        self.versions.clear();
        self.responders.clear();
        self.reported = None;
        self.pending = None;
        self.is_current = false;
    }

    /// Returns the own record if it belongs to the epoch.
    pub(crate) fn get(&self, epoch: u64) -> Option<&ShareRecord> {
        self.own.as_ref().filter(|r| r.epoch == epoch)
    }

    /// Stores a record unless the own record is newer.
    pub(crate) fn store(&mut self, record: &ShareRecord) {
        replace_older(&mut self.own, record);
    }

    /// Moves a leader's record to a newer epoch.
    ///
    /// A record of any other member is valid only in its own epoch: the
    /// majority of an epoch two changes later need not overlap with the
    /// majority that stored a release.
    pub(crate) fn advance_epoch(&mut self, epoch: u64, is_leading: bool) {
        self.versions.clear();
        if !is_leading || !self.is_current {
            self.reset();
            return;
        }
        if let Some(own) = &mut self.own {
            own.epoch = epoch;
        }
    }

    /// Records what a member had when it promised.
    pub(crate) fn record_reply(
        &mut self,
        from: Name,
        has: Option<Version>,
        newer: Option<&ShareRecord>,
    ) {
        self.responders.insert(from.clone());
        if let Some(version) = has {
            self.versions.insert(from, version);
        }
        if let Some(record) = newer {
            replace_older(&mut self.reported, record);
        }
    }

    /// Adopts the newest reported record once a majority has reported its
    /// records.
    pub(crate) fn adopt_reported(&mut self, epoch: u64, majority: usize) {
        if self.is_current || self.versions.len() < majority {
            return;
        }
        if let Some(reported) = self.reported.take().filter(|r| r.epoch == epoch) {
            self.store(&reported);
        }
        self.is_current = self.get(epoch).is_some();
        self.pending = None;
    }

    /// Sets the record that the leader wants to store.
    pub(crate) fn propose(&mut self, version: Version, counts: Vec<ShareCount>) {
        self.pending = Some((version, counts));
    }

    /// Applies the pending record if allowed, and returns whether there was
    /// one.
    ///
    /// Older records can no longer be trusted afterwards. This therefore waits
    /// until a majority has reported its records, or until `may_replace` is
    /// set.
    pub(crate) fn apply_pending(&mut self, epoch: u64, may_replace: bool) -> bool {
        if !self.is_current && !may_replace {
            return false;
        }
        let Some((version, counts)) = self.pending.take() else {
            return false;
        };
        self.own = Some(ShareRecord {
            epoch,
            version,
            counts,
        });
        self.is_current = true;
        true
    }

    /// Returns the number of members that have replied.
    pub(crate) fn responses(&self) -> usize {
        self.responders.len()
    }

    /// Returns the leader's record if the member lacks it.
    pub(crate) fn missing(&self, epoch: u64, member: &Name) -> Option<ShareRecord> {
        let own = self.get(epoch).filter(|_| self.is_current)?;
        let has = self.versions.get(member);
        has.is_none_or(|v| *v < own.version).then(|| own.clone())
    }

    /// Returns the newest version that a majority has certainly stored.
    pub(crate) fn recorded(&self, majority: usize) -> Option<Version> {
        let mut versions: Vec<Version> = self.versions.values().copied().collect();
        versions.sort_unstable();
        let index = versions.len().checked_sub(majority)?;
        versions.get(index).copied().filter(|_| self.is_current)
    }
}

fn replace_older(kept: &mut Option<ShareRecord>, record: &ShareRecord) {
    let order = |r: &ShareRecord| (r.epoch, r.version);
    if kept.as_ref().is_none_or(|k| order(k) < order(record)) {
        *kept = Some(record.clone());
    }
}

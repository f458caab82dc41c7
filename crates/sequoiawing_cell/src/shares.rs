//! Stores records of the data centre's replicas among the members of a cell.

use crate::{Cell, CellRequest, RequestKind, ShareCount, ShareRecord, Version};
use sequoiawing_types::Time;

impl Cell {
    /// Returns the record of the replicas that the data centre may hold, if
    /// this host leads and a majority has reported its records.
    pub fn shares(&self, now: Time) -> Option<&ShareRecord> {
        self.lease(now)?;
        let record = self.records.get(self.epoch)?;
        self.records.is_current.then_some(record)
    }

    /// Returns the newest version that a majority has stored, if this host
    /// leads.
    pub fn recorded(&self, now: Time) -> Option<Version> {
        self.lease(now)?;
        self.records.recorded(self.majority())
    }

    pub(crate) fn record_version(&self, epoch: u64) -> Option<Version> {
        self.records.get(epoch).map(|r| r.version)
    }

    /// Returns the own record if the sender lacks it.
    pub(crate) fn newer_record(&self, request: &CellRequest) -> Option<ShareRecord> {
        let own = self.records.get(request.epoch)?;
        let is_wanted = request.kind == RequestKind::Promise && request.has < Some(own.version);
        is_wanted.then(|| own.clone())
    }

    /// Accepts a record from the leader of a term. The next tick sends it.
    pub(crate) fn propose_record(&mut self, now: Time, version: Version, counts: Vec<ShareCount>) {
        if self.lease(now).is_some_and(|l| l.term == version.term) {
            self.records.propose(version, counts);
        }
    }

    /// Applies the pending record, and returns whether there was one to apply.
    ///
    /// This cannot lose a record that could be trusted: either all members have
    /// replied, or a whole lease has passed, after which every reachable member
    /// replies.
    pub(crate) fn apply_pending(&mut self, now: Time) -> bool {
        let have_all = self.records.responses() >= self.members.len();
        let may_replace = have_all || now >= self.led_since + self.settings.lease;
        self.lease.is_some() && self.records.apply_pending(self.epoch, may_replace)
    }
}

use crate::{CellEpoch, Change, Outcome, RouterHost, Tables};
use sequoiawing_types::Name;

impl Tables {
    /// Returns the hosts of a data centre, sorted by name.
    pub fn members<'a>(&'a self, centre: &'a Name) -> impl Iterator<Item = &'a RouterHost> {
        self.hosts.values().filter(move |h| h.centre == *centre)
    }

    /// Returns the membership epoch of a data centre's cell.
    pub fn cell_epoch(&self, centre: &Name) -> CellEpoch {
        self.cells.get(centre).copied().unwrap_or_default()
    }

    /// Adds a host to its cell. Each membership change waits until the previous
    /// one has settled.
    ///
    /// A host whose data centre or address changed is first removed and then
    /// added.
    pub(crate) fn join(&mut self, joining: RouterHost) -> Outcome {
        let existing = self.hosts.get(&joining.host).cloned();
        if existing.as_ref() == Some(&joining) {
            return Outcome::Accepted(self.revision);
        }
        if let Some(previous) = existing {
            let removed = self.retire(&previous.host, false);
            return match removed {
                Outcome::Accepted(_) => Outcome::Unsettled(previous.centre),
                other => other,
            };
        }
        if self.is_settling(&joining.centre) {
            return Outcome::Unsettled(joining.centre);
        }
        self.commit(vec![Change::PutHost(joining)])
    }

    /// Removes a host from its cell.
    ///
    /// The last member of a cell, and any member while an earlier change has
    /// not settled, is removed only if the operator confirms that the host is
    /// `dead`: nothing else prevents a disconnected host from continuing as
    /// leader. Removing the last member releases the data centre's replicas to
    /// the others; the operator thereby confirms that its upstreams do not run
    /// either.
    pub(crate) fn retire(&mut self, host: &Name, dead: bool) -> Outcome {
        let Some(member) = self.hosts.get(host) else {
            return Outcome::Accepted(self.revision);
        };
        let centre = member.centre.clone();
        let is_last = self.members(&centre).count() == 1;
        if !dead && (is_last || self.is_settling(&centre)) {
            return Outcome::Unsettled(centre);
        }
        let outcome = self.commit(vec![Change::DeleteHost(host.clone())]);
        if is_last {
            self.revoke_allotments(&centre);
        }
        outcome
    }

    /// Records that a leader acquired its lease from a majority of the epoch.
    /// An epoch that is not the current one is ignored.
    pub(crate) fn settle_cell(&mut self, centre: Name, epoch: u64) -> Outcome {
        let cell = self.cell_epoch(&centre);
        if cell.settled || cell.epoch != epoch {
            return Outcome::Accepted(self.revision);
        }
        self.commit(vec![Change::SettleCell { centre, epoch }])
    }

    pub(crate) fn put_host(&mut self, host: RouterHost) {
        self.advance_epoch(&host.centre);
        self.hosts.insert(host.host.clone(), host);
    }

    pub(crate) fn delete_host(&mut self, host: &Name) -> bool {
        let Some(removed) = self.hosts.remove(host) else {
            return false;
        };
        self.advance_epoch(&removed.centre);
        true
    }

    pub(crate) fn mark_settled(&mut self, centre: Name, epoch: u64) {
        let settled = true;
        self.cells.insert(centre, CellEpoch { epoch, settled });
    }

    fn advance_epoch(&mut self, centre: &Name) {
        let cell = self.cells.entry(centre.clone()).or_default();
        cell.epoch += 1;
        cell.settled = false;
    }

    /// Returns whether the cell has members and its last membership change has
    /// not settled yet.
    fn is_settling(&self, centre: &Name) -> bool {
        let has_members = self.members(centre).next().is_some();
        has_members && !self.cell_epoch(centre).settled
    }
}

use crate::{CellEpoch, Change, Outcome, RouterHost, Tables};
use sequoiawing_types::Name;

impl Tables {
    /// Returns the hosts of a data centre in the order of names.
    pub fn members<'a>(&'a self, centre: &'a Name) -> impl Iterator<Item = &'a RouterHost> {
        self.hosts.values().filter(move |h| h.centre == *centre)
    }

    /// Returns how far the membership of a data centre's cell has come.
    pub fn cell_epoch(&self, centre: &Name) -> CellEpoch {
        self.cells.get(centre).copied().unwrap_or_default()
    }

    /// Adds a host to its cell, in steps that each wait for the former one.
    ///
    /// A host that moved is first removed and then added.
    pub(crate) fn join(&mut self, joining: RouterHost) -> Outcome {
        let known = self.hosts.get(&joining.host).cloned();
        if known.as_ref() == Some(&joining) {
            return Outcome::Accepted(self.revision);
        }
        if let Some(former) = known {
            let removed = self.retire(&former.host, false);
            return match removed {
                Outcome::Accepted(_) => Outcome::Unsettled(former.centre),
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
    /// not settled, is removed only when the operator vouches that the host is
    /// `dead`: nothing else keeps a cut-off host from leading on. With the last
    /// member the data centre's replicas go to the others; the operator vouches
    /// that its upstreams do not run either.
    pub(crate) fn retire(&mut self, host: &Name, dead: bool) -> Outcome {
        let Some(known) = self.hosts.get(host) else {
            return Outcome::Accepted(self.revision);
        };
        let centre = known.centre.clone();
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

    /// Notes that a leader held its lease by a majority of the epoch.
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

    /// Reports whether the cell has members whose last change has not settled.
    fn is_settling(&self, centre: &Name) -> bool {
        let has_members = self.members(centre).next().is_some();
        has_members && !self.cell_epoch(centre).settled
    }
}

use sequoiawing_fleet::DemandStatus;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The last demand for a target and its answer.
#[derive(Clone, Debug, Default)]
struct DemandState {
    due: Time,
    ready: Option<Time>,
    has_problem: bool,
    /// Whether a replica is loaded or being loaded, according to the last
    /// answer.
    is_decided: bool,
    /// Since when no decision has been made.
    undecided_since: Option<Time>,
    /// The number of data centres that were asked without success.
    failed_centres: usize,
}

/// How long a data centre may leave a demand undecided before the next one is
/// asked.
const DECISION_TIMEOUT: Duration = Duration::from_millis(500);

/// The demands sent to cell leaders and the state of their decisions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demands {
    targets: BTreeMap<Name, DemandState>,
}

impl Demands {
    /// Returns whether a demand for the target is due. If it is, schedules the
    /// next one.
    pub(crate) fn is_due(&mut self, now: Time, target: &Name, repeat: Duration) -> bool {
        let demand = self.targets.entry(target.clone()).or_default();
        if demand.due > now {
            return false;
        }
        demand.due = now + repeat;
        true
    }

    /// Returns how many data centres were asked for the target without success.
    /// Counts the current one if it has left the demand undecided too long.
    pub(crate) fn failed_centres(&mut self, now: Time, target: &Name) -> usize {
        let demand = self.targets.entry(target.clone()).or_default();
        if !demand.is_decided {
            let since = *demand.undecided_since.get_or_insert(now);
            if now >= since + DECISION_TIMEOUT {
                demand.failed_centres += 1;
                demand.undecided_since = Some(now);
            }
        }
        demand.failed_centres
    }

    /// Processes an answer. A problem is reported only after all of the
    /// `centres` data centres have reported one.
    pub(crate) fn process_answer(
        &mut self,
        now: Time,
        target: Name,
        status: &DemandStatus,
        centres: usize,
    ) {
        let demand = self.targets.entry(target).or_default();
        if status.problem.is_some() && demand.failed_centres < centres {
            demand.failed_centres += 1;
            demand.undecided_since = None;
            demand.due = now;
            return;
        }
        demand.is_decided = status.decided;
        if status.decided {
            // From now on the data centre that has the model ranks first.
            demand.undecided_since = None;
            demand.failed_centres = 0;
        }
        demand.has_problem = status.problem.is_some();
        let estimate = Duration::from_millis(status.estimate);
        demand.ready = (status.estimate > 0).then(|| now + estimate);
    }

    /// Returns when the target is expected to be loaded, if known.
    pub(crate) fn ready(&self, target: &Name) -> Option<Time> {
        self.targets.get(target).and_then(|d| d.ready)
    }

    /// Returns whether no data centre can load the target.
    pub(crate) fn has_problem(&self, target: &Name) -> bool {
        self.targets.get(target).is_some_and(|d| d.has_problem)
    }

    /// Drops targets that no request waits for and whose last demand and
    /// estimate have expired.
    pub(crate) fn retain<F>(&mut self, now: Time, is_wanted: F)
    where
        F: Fn(&Name) -> bool,
    {
        let is_fresh = |d: &DemandState| d.due > now || d.ready.is_some_and(|at| at > now);
        self.targets.retain(|t, d| is_wanted(t) || is_fresh(d));
    }
}

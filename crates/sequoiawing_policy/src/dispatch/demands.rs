use sequoiawing_fleet::OrderState;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// When a target was last asked for, and what the answer was.
#[derive(Clone, Debug, Default)]
struct Ask {
    next: Time,
    ready: Option<Time>,
    has_problem: bool,
    /// Whether a replica is loaded or being loaded, by the last answer.
    is_decided: bool,
    /// Since when nothing has been decided.
    undecided: Option<Time>,
    /// The data centres that were asked in vain.
    tries: usize,
}

/// How long a data centre may decide nothing before the next is asked.
const DECIDE_LIMIT: Duration = Duration::from_millis(500);

/// What the cell leader was asked for, and how its decisions stand.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asks {
    targets: BTreeMap<Name, Ask>,
}

impl Asks {
    /// Reports whether the target is to be asked for now, and notes that it is.
    pub(crate) fn is_due(&mut self, now: Time, target: &Name, repeat: Duration) -> bool {
        let ask = self.targets.entry(target.clone()).or_default();
        if ask.next > now {
            return false;
        }
        ask.next = now + repeat;
        true
    }

    /// Returns how many data centres were asked for the target in vain, and
    /// notes that one is asked now.
    pub(crate) fn tries(&mut self, now: Time, target: &Name) -> usize {
        let ask = self.targets.entry(target.clone()).or_default();
        if !ask.is_decided {
            let since = *ask.undecided.get_or_insert(now);
            if now >= since + DECIDE_LIMIT {
                ask.tries += 1;
                ask.undecided = Some(now);
            }
        }
        ask.tries
    }

    /// Takes in an answer. A problem counts only when all of the `centres` have
    /// told one.
    pub(crate) fn decide(&mut self, now: Time, target: Name, state: &OrderState, centres: usize) {
        let ask = self.targets.entry(target).or_default();
        if state.problem.is_some() && ask.tries < centres {
            ask.tries += 1;
            ask.undecided = None;
            ask.next = now;
            return;
        }
        ask.is_decided = state.decided;
        if state.decided {
            // From now on the data centre that has the model ranks first.
            ask.undecided = None;
            ask.tries = 0;
        }
        ask.has_problem = state.problem.is_some();
        let estimate = Duration::from_millis(state.estimate);
        ask.ready = (state.estimate > 0).then(|| now + estimate);
    }

    /// Returns when the target is expected to be loaded, if that is known.
    pub(crate) fn ready(&self, target: &Name) -> Option<Time> {
        self.targets.get(target).and_then(|a| a.ready)
    }

    /// Reports whether the target cannot be loaded at all.
    pub(crate) fn has_problem(&self, target: &Name) -> bool {
        self.targets.get(target).is_some_and(|a| a.has_problem)
    }

    /// Forgets the targets for which nobody waits and that are not due.
    pub(crate) fn retain<F>(&mut self, now: Time, is_wanted: F)
    where
        F: Fn(&Name) -> bool,
    {
        let is_fresh = |a: &Ask| a.next > now || a.ready.is_some_and(|at| at > now);
        self.targets.retain(|t, a| is_wanted(t) || is_fresh(a));
    }
}

use crate::LoadNeed;
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// Chooses the order in which replicas are loaded.
///
/// See [docs/design/cold-start.md](../../../docs/design/cold-start.md).
pub trait SequenceLoads: Send {
    /// Sorts the needs so that the first is loaded first.
    fn sort(&self, now: Time, needs: &mut Vec<LoadNeed>);

    /// Records that a load was ordered.
    fn started(&mut self, need: &LoadNeed);
}

/// Loads models in the order of their first request.
#[derive(Clone, Copy, Debug, Default)]
pub struct OldestFirst;

impl SequenceLoads for OldestFirst {
    fn sort(&self, _now: Time, needs: &mut Vec<LoadNeed>) {
        needs.sort_by_key(|n| n.since);
    }

    fn started(&mut self, _need: &LoadNeed) {}
}

/// Loads first for the customer with the lowest weighted load time so far, and
/// by earliest deadline within a customer.
///
/// Loads that cannot meet the deadline of any waiting request come last.
#[derive(Clone, Debug, Default)]
pub struct FairDeadline {
    virtual_now: f64,
    virtual_times: BTreeMap<Name, f64>,
}

impl FairDeadline {
    fn virtual_time(&self, times: &BTreeMap<Name, f64>, customer: &Name) -> f64 {
        times
            .get(customer)
            .map_or(self.virtual_now, |c| c.max(self.virtual_now))
    }

    /// Returns the lowest virtual time among the need's customers.
    fn rank(&self, times: &BTreeMap<Name, f64>, need: &LoadNeed) -> f64 {
        let ranks = need
            .shares
            .iter()
            .map(|s| self.virtual_time(times, &s.customer));
        ranks.reduce(f64::min).unwrap_or(f64::MAX)
    }

    /// Charges the load to the waiting customers in proportion to their tokens.
    fn charge(&self, times: &mut BTreeMap<Name, f64>, need: &LoadNeed) {
        let total: u64 = need.shares.iter().map(|s| s.tokens.max(1)).sum();
        for share in &need.shares {
            #[expect(clippy::cast_precision_loss, reason = "a share needs no exact count")]
            let part = share.tokens.max(1) as f64 / total.max(1) as f64;
            let cost = need.estimate.max(Duration::from_millis(1)).as_secs_f64();
            let cost = cost * part / f64::from(share.weight.max(1));
            let virtual_time = self.virtual_time(times, &share.customer);
            times.insert(share.customer.clone(), virtual_time + cost);
        }
    }
}

impl SequenceLoads for FairDeadline {
    fn sort(&self, now: Time, needs: &mut Vec<LoadNeed>) {
        let mut remaining = std::mem::take(needs);
        remaining.sort_by_key(|n| (n.misses_deadline(now), n.is_extra, n.deadline, n.since));
        let mut times = self.virtual_times.clone();
        while !remaining.is_empty() {
            let key = |n: &LoadNeed| ((n.misses_deadline(now), n.is_extra), self.rank(&times, n));
            let better = |a: &((bool, bool), f64), b: &((bool, bool), f64)| {
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).is_lt()
            };
            let mut best = 0;
            for i in 1..remaining.len() {
                if better(&key(&remaining[i]), &key(&remaining[best])) {
                    best = i;
                }
            }
            let need = remaining.remove(best);
            self.charge(&mut times, &need);
            needs.push(need);
        }
    }

    fn started(&mut self, need: &LoadNeed) {
        let rank = self.rank(&self.virtual_times, need);
        if rank < f64::MAX {
            self.virtual_now = self.virtual_now.max(rank);
        }
        let mut times = std::mem::take(&mut self.virtual_times);
        self.charge(&mut times, need);
        let now = self.virtual_now;
        times.retain(|_, virtual_time| *virtual_time > now);
        self.virtual_times = times;
    }
}

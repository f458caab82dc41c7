use crate::{ShareService, Work};
use sequoiawing_fleet::CustomerDemand;
use sequoiawing_types::{Name, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// The customers that a demand names at most.
const MAX_SHARES: usize = 8;

/// The first requests of one customer that are looked at for one that suits an
/// upstream.
const MAX_LOOK: usize = 8;

#[derive(Clone, Debug)]
struct Entry {
    work: Work,
    position: u64,
}

/// The requests that wait for one model, adapter or service.
#[derive(Clone, Debug, Default)]
struct Lane {
    customers: BTreeMap<Name, BTreeSet<(u64, u64)>>,
    count: usize,
    tokens: u64,
}

/// The waiting requests of one pool, by what they need and by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waiting {
    entries: HashMap<u64, Entry>,
    lanes: BTreeMap<Name, Lane>,
    deadlines: BTreeSet<(Time, u64)>,
    counts: BTreeMap<Name, usize>,
}

impl Waiting {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn insert(&mut self, work: Work, position: u64) {
        let lane = self.lanes.entry(work.target()).or_default();
        let queue = lane.customers.entry(work.customer.clone()).or_default();
        queue.insert((position, work.id));
        lane.count += 1;
        lane.tokens += work.tokens;
        self.deadlines.insert((work.deadline, work.id));
        *self.counts.entry(work.customer.clone()).or_default() += 1;
        self.entries.insert(work.id, Entry { work, position });
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<Work> {
        let Entry { work, position } = self.entries.remove(&id)?;
        self.deadlines.remove(&(work.deadline, id));
        self.uncount(&work.customer);
        let target = work.target();
        if let Some(lane) = self.lanes.get_mut(&target) {
            lane.remove(&work, position);
            if lane.count == 0 {
                self.lanes.remove(&target);
            }
        }
        Some(work)
    }

    fn uncount(&mut self, customer: &Name) {
        if let Some(count) = self.counts.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(customer);
            }
        }
    }

    /// Returns the targets for which requests wait.
    pub(crate) fn targets(&self) -> Vec<Name> {
        self.lanes.keys().cloned().collect()
    }

    pub(crate) fn has_target(&self, target: &Name) -> bool {
        self.lanes.contains_key(target)
    }

    /// Returns the waiting requests of a customer.
    pub(crate) fn count(&self, customer: &Name) -> usize {
        self.counts.get(customer).copied().unwrap_or(0)
    }

    /// Returns the customer with the most waiting requests.
    pub(crate) fn heaviest(&self) -> Option<(&Name, usize)> {
        let counts = self.counts.iter().map(|(name, count)| (name, *count));
        counts.max_by_key(|(_, count)| *count)
    }

    /// Returns the request of the customer that has the latest deadline.
    pub(crate) fn last(&self, customer: &Name) -> Option<u64> {
        let latest = self.deadlines.iter().rev().map(|(_, id)| *id);
        let mut own = latest.filter(|id| self.entries[id].work.customer == *customer);
        own.next()
    }

    /// Returns the requests whose deadline has come.
    pub(crate) fn expired(&self, now: Time) -> Vec<u64> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// Returns the requests for a target whose deadline is not after `until`.
    pub(crate) fn late(&self, target: &Name, until: Time) -> Vec<u64> {
        let Some(lane) = self.lanes.get(target) else {
            return Vec::new();
        };
        let ids = lane.customers.values().flatten().map(|(_, id)| *id);
        ids.filter(|id| self.entries[id].work.deadline <= until)
            .collect()
    }

    /// Returns the request that is next for an upstream that has `targets` and
    /// suits the request.
    pub(crate) fn next<F>(
        &self,
        share: &dyn ShareService,
        targets: &HashSet<Name>,
        suits: F,
    ) -> Option<u64>
    where
        F: Fn(&Work) -> bool,
    {
        let queues = self.lanes_among(targets).into_iter();
        let queues = queues.flat_map(|lane| &lane.customers);
        let first = queues.filter_map(|(customer, queue)| {
            let mut looked = queue.iter().take(MAX_LOOK);
            let (position, id) = looked.find(|(_, id)| suits(&self.entries[id].work))?;
            Some((share.rank(customer, *position), *position, *id))
        });
        first.min().map(|(_, _, id)| id)
    }

    /// Returns the lanes of the targets by walking the smaller collection.
    fn lanes_among(&self, targets: &HashSet<Name>) -> Vec<&Lane> {
        if targets.len() < self.lanes.len() {
            let lanes = targets.iter().filter_map(|t| self.lanes.get(t));
            return lanes.collect();
        }
        let lanes = self.lanes.iter().filter(|(t, _)| targets.contains(*t));
        lanes.map(|(_, lane)| lane).collect()
    }

    /// Returns how many requests for the target are served before one more of
    /// the customer, when customers take turns.
    pub(crate) fn ahead(&self, target: &Name, customer: &Name) -> usize {
        let Some(lane) = self.lanes.get(target) else {
            return 0;
        };
        let own = lane.customers.get(customer).map_or(0, BTreeSet::len);
        let others = lane.customers.iter().filter(|(name, _)| *name != customer);
        own + others
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// Returns the waiting requests for a target and their tokens.
    pub(crate) fn demand(&self, target: &Name) -> (usize, u64) {
        self.lanes
            .get(target)
            .map_or((0, 0), |l| (l.count, l.tokens))
    }

    /// Returns one request that waits for the target.
    pub(crate) fn sample(&self, target: &Name) -> Option<&Work> {
        let lane = self.lanes.get(target)?;
        let first = lane.customers.values().flatten().next()?;
        self.entries.get(&first.1).map(|e| &e.work)
    }

    /// Returns what each customer wants of a target, the earliest deadlines
    /// first.
    pub(crate) fn shares(&self, now: Time, target: &Name) -> Vec<CustomerDemand> {
        let Some(lane) = self.lanes.get(target) else {
            return Vec::new();
        };
        let queues = lane.customers.iter();
        let mut shares: Vec<CustomerDemand> = queues
            .filter_map(|(customer, queue)| self.share(now, customer, queue))
            .collect();
        shares.sort_by_key(|s| s.deadline);
        shares.truncate(MAX_SHARES);
        shares
    }

    fn share(
        &self,
        now: Time,
        customer: &Name,
        queue: &BTreeSet<(u64, u64)>,
    ) -> Option<CustomerDemand> {
        let works = || queue.iter().map(|(_, id)| &self.entries[id].work);
        let deadline = works().map(|w| w.deadline).min()?;
        Some(CustomerDemand {
            customer: customer.clone(),
            weight: works().next().map_or(1, |w| w.weight),
            tokens: works().map(|w| w.tokens).sum(),
            deadline: u64::try_from(deadline.since(now).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl Lane {
    fn remove(&mut self, work: &Work, position: u64) {
        self.count -= 1;
        self.tokens -= work.tokens;
        if let Some(queue) = self.customers.get_mut(&work.customer) {
            queue.remove(&(position, work.id));
            if queue.is_empty() {
                self.customers.remove(&work.customer);
            }
        }
    }
}

use crate::{DispatchRequest, QueueDiscipline};
use sequoiawing_fleet::CustomerDemand;
use sequoiawing_types::{Name, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// The maximum number of customers listed in a demand.
const MAX_CUSTOMERS: usize = 8;

/// The number of requests at the head of a customer's queue that are checked
/// for one that suits an upstream.
const MAX_SCANNED: usize = 8;

#[derive(Clone, Debug)]
struct QueuedRequest {
    request: DispatchRequest,
    position: u64,
}

/// The queued requests for one target.
#[derive(Clone, Debug, Default)]
struct TargetQueue {
    customers: BTreeMap<Name, BTreeSet<(u64, u64)>>,
    count: usize,
    tokens: u64,
}

/// The queued requests of one pool, by target and customer. A target is a
/// model, an adapter or a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    entries: HashMap<u64, QueuedRequest>,
    target_queues: BTreeMap<Name, TargetQueue>,
    deadlines: BTreeSet<(Time, u64)>,
    counts: BTreeMap<Name, usize>,
}

impl RequestQueue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn insert(&mut self, request: DispatchRequest, position: u64) {
        let target_queue = self.target_queues.entry(request.target()).or_default();
        let queue = target_queue
            .customers
            .entry(request.customer.clone())
            .or_default();
        queue.insert((position, request.id));
        target_queue.count += 1;
        target_queue.tokens += request.tokens;
        self.deadlines.insert((request.deadline, request.id));
        *self.counts.entry(request.customer.clone()).or_default() += 1;
        self.entries
            .insert(request.id, QueuedRequest { request, position });
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<DispatchRequest> {
        let QueuedRequest { request, position } = self.entries.remove(&id)?;
        self.deadlines.remove(&(request.deadline, id));
        self.decrement(&request.customer);
        let target = request.target();
        if let Some(target_queue) = self.target_queues.get_mut(&target) {
            target_queue.remove(&request, position);
            if target_queue.count == 0 {
                self.target_queues.remove(&target);
            }
        }
        Some(request)
    }

    fn decrement(&mut self, customer: &Name) {
        if let Some(count) = self.counts.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(customer);
            }
        }
    }

    /// Returns the targets of all queued requests.
    pub(crate) fn target_names(&self) -> Vec<Name> {
        self.target_queues.keys().cloned().collect()
    }

    pub(crate) fn has_target(&self, target: &Name) -> bool {
        self.target_queues.contains_key(target)
    }

    /// Returns the number of queued requests of a customer.
    pub(crate) fn count(&self, customer: &Name) -> usize {
        self.counts.get(customer).copied().unwrap_or(0)
    }

    /// Returns the customer with the most queued requests and their number.
    pub(crate) fn longest_queue(&self) -> Option<(&Name, usize)> {
        let counts = self.counts.iter().map(|(name, count)| (name, *count));
        counts.max_by_key(|(_, count)| *count)
    }

    /// Returns the request of the customer with the latest deadline.
    pub(crate) fn latest_deadline(&self, customer: &Name) -> Option<u64> {
        let latest = self.deadlines.iter().rev().map(|(_, id)| *id);
        let mut own = latest.filter(|id| self.entries[id].request.customer == *customer);
        own.next()
    }

    /// Returns the requests whose deadline has passed.
    pub(crate) fn expired(&self, now: Time) -> Vec<u64> {
        let due = self.deadlines.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// Returns the requests for a target whose deadline is not after `until`.
    pub(crate) fn due_until(&self, target: &Name, until: Time) -> Vec<u64> {
        let Some(target_queue) = self.target_queues.get(target) else {
            return Vec::new();
        };
        let ids = target_queue.customers.values().flatten().map(|(_, id)| *id);
        ids.filter(|id| self.entries[id].request.deadline <= until)
            .collect()
    }

    /// Returns the next request for an upstream that serves `targets`, among
    /// those that satisfy `suits`.
    pub(crate) fn next<F>(
        &self,
        discipline: &dyn QueueDiscipline,
        targets: &HashSet<Name>,
        suits: F,
    ) -> Option<u64>
    where
        F: Fn(&DispatchRequest) -> bool,
    {
        let queues = self.queues_of(targets).into_iter();
        let queues = queues.flat_map(|target_queue| &target_queue.customers);
        let first = queues.filter_map(|(customer, queue)| {
            let mut head = queue.iter().take(MAX_SCANNED);
            let (position, id) = head.find(|(_, id)| suits(&self.entries[id].request))?;
            Some((discipline.rank(customer, *position), *position, *id))
        });
        first.min().map(|(_, _, id)| id)
    }

    /// Returns the queues of the targets, iterating over the smaller
    /// collection.
    fn queues_of(&self, targets: &HashSet<Name>) -> Vec<&TargetQueue> {
        if targets.len() < self.target_queues.len() {
            let queues = targets.iter().filter_map(|t| self.target_queues.get(t));
            return queues.collect();
        }
        let queues = self
            .target_queues
            .iter()
            .filter(|(t, _)| targets.contains(*t));
        queues.map(|(_, queue)| queue).collect()
    }

    /// Returns how many requests for the target are served before one more
    /// request of the customer if customers are served in turn.
    pub(crate) fn ahead(&self, target: &Name, customer: &Name) -> usize {
        let Some(target_queue) = self.target_queues.get(target) else {
            return 0;
        };
        let own = target_queue
            .customers
            .get(customer)
            .map_or(0, BTreeSet::len);
        let others = target_queue
            .customers
            .iter()
            .filter(|(name, _)| *name != customer);
        own + others
            .map(|(_, queue)| queue.len().min(own + 1))
            .sum::<usize>()
    }

    /// Returns the number of queued requests for a target and their tokens.
    pub(crate) fn demand(&self, target: &Name) -> (usize, u64) {
        self.target_queues
            .get(target)
            .map_or((0, 0), |q| (q.count, q.tokens))
    }

    /// Returns any queued request for the target.
    pub(crate) fn sample(&self, target: &Name) -> Option<&DispatchRequest> {
        let target_queue = self.target_queues.get(target)?;
        let first = target_queue.customers.values().flatten().next()?;
        self.entries.get(&first.1).map(|e| &e.request)
    }

    /// Returns the demand of each customer for a target, the earliest deadlines
    /// first.
    pub(crate) fn shares(&self, now: Time, target: &Name) -> Vec<CustomerDemand> {
        let Some(target_queue) = self.target_queues.get(target) else {
            return Vec::new();
        };
        let queues = target_queue.customers.iter();
        let mut shares: Vec<CustomerDemand> = queues
            .filter_map(|(customer, queue)| self.customer_demand(now, customer, queue))
            .collect();
        shares.sort_by_key(|s| s.deadline);
        shares.truncate(MAX_CUSTOMERS);
        shares
    }

    fn customer_demand(
        &self,
        now: Time,
        customer: &Name,
        queue: &BTreeSet<(u64, u64)>,
    ) -> Option<CustomerDemand> {
        let requests = || queue.iter().map(|(_, id)| &self.entries[id].request);
        let deadline = requests().map(|r| r.deadline).min()?;
        Some(CustomerDemand {
            customer: customer.clone(),
            weight: requests().next().map_or(1, |r| r.weight),
            tokens: requests().map(|r| r.tokens).sum(),
            deadline: u64::try_from(deadline.since(now).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl TargetQueue {
    fn remove(&mut self, request: &DispatchRequest, position: u64) {
        self.count -= 1;
        self.tokens -= request.tokens;
        if let Some(queue) = self.customers.get_mut(&request.customer) {
            queue.remove(&(position, request.id));
            if queue.is_empty() {
                self.customers.remove(&request.customer);
            }
        }
    }
}

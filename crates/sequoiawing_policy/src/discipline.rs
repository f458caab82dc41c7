use crate::DispatchRequest;
use sequoiawing_types::Name;
use std::collections::BTreeMap;

/// Determines the order in which queued requests are served.
///
/// See [docs/design/fairness.md](../../../docs/design/fairness.md).
pub trait QueueDiscipline: Send {
    /// Returns the position of a request in the queue of its customer; the
    /// least is served first.
    fn position(&mut self, request: &DispatchRequest) -> u64;

    /// Returns the rank of a customer among all customers, given the position
    /// of its first request; the least is served first.
    fn rank(&self, customer: &Name, position: u64) -> u64;

    /// Accounts for a request that is assigned to an upstream.
    fn record_served(&mut self, request: &DispatchRequest);

    /// Returns the priority of a customer, from 0 for customers within their
    /// share to [`MAX_PRIORITY`].
    fn priority(&self, customer: &Name) -> u32;
}

/// The priority value of requests that engines serve last.
pub const MAX_PRIORITY: u32 = 7;

/// Serves requests in order of arrival, regardless of the customer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fifo {
    arrivals: u64,
}

impl QueueDiscipline for Fifo {
    fn position(&mut self, _request: &DispatchRequest) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    fn rank(&self, _customer: &Name, position: u64) -> u64 {
        position
    }

    fn record_served(&mut self, _request: &DispatchRequest) {}

    fn priority(&self, _customer: &Name) -> u32 {
        0
    }
}

/// The virtual time units per token at weight 1.
const TOKEN_SCALE: u64 = 1_024;

/// The excess over its share, in virtual time, at which the priority of a
/// customer first drops.
const PRIORITY_STEP: u64 = 4_096 * TOKEN_SCALE;

/// The maximum number of customers whose virtual time is kept. Beyond it,
/// customers that are not ahead of the current virtual time are dropped, which
/// does not affect their order.
const MAX_CUSTOMERS: usize = 4_096;

/// Divides service among customers by tokens and weight, and serves the
/// requests of each customer by deadline.
///
/// Implements start-time fair queueing: the virtual time of a customer advances
/// by the tokens that it is served, divided by its weight, and the customer
/// with the least virtual time is served next. A customer that was idle resumes
/// at the virtual time of the customer served last, so idle customers
/// accumulate no credit.
#[derive(Clone, Debug, Default)]
pub struct FairQueueing {
    virtual_now: u64,
    virtual_times: BTreeMap<Name, u64>,
}

impl FairQueueing {
    fn virtual_time(&self, customer: &Name) -> u64 {
        self.virtual_times
            .get(customer)
            .map_or(self.virtual_now, |t| *t.max(&self.virtual_now))
    }

    fn drop_idle(&mut self) {
        let virtual_now = self.virtual_now;
        if self.virtual_times.len() > MAX_CUSTOMERS {
            self.virtual_times
                .retain(|_, virtual_time| *virtual_time > virtual_now);
        }
    }
}

impl QueueDiscipline for FairQueueing {
    fn position(&mut self, request: &DispatchRequest) -> u64 {
        request.deadline.as_micros()
    }

    fn rank(&self, customer: &Name, _position: u64) -> u64 {
        self.virtual_times
            .get(customer)
            .copied()
            .unwrap_or(self.virtual_now)
            .max(self.virtual_now)
    }

    fn record_served(&mut self, request: &DispatchRequest) {
        let start = self.virtual_time(&request.customer);
        let weight = u64::from(request.weight.max(1));
        let cost = request.tokens.max(1).saturating_mul(TOKEN_SCALE) / weight;
        self.virtual_now = start;
        self.virtual_times
            .insert(request.customer.clone(), start + cost);
        self.drop_idle();
    }

    fn priority(&self, customer: &Name) -> u32 {
        let ahead = self.virtual_time(customer) - self.virtual_now;
        let steps = (ahead / PRIORITY_STEP + 1).ilog2();
        steps.min(MAX_PRIORITY)
    }
}

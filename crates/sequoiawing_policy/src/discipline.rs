use crate::Work;
use sequoiawing_types::Name;
use std::collections::BTreeMap;

/// Decides whose waiting request is served first.
///
/// See [docs/design/fairness.md](../../../docs/design/fairness.md).
pub trait ShareService: Send {
    /// Returns where a request stands in its customer's queue; the least stands
    /// first.
    fn position(&mut self, work: &Work) -> u64;

    /// Returns where a customer's first request stands beside the first ones of
    /// other customers; the least is served first.
    fn rank(&self, customer: &Name, position: u64) -> u64;

    /// Learns that a request is served.
    fn served(&mut self, work: &Work);

    /// Returns how far a customer is beyond its share: 0 for within, up to
    /// [`MAX_PRIORITY`].
    fn priority(&self, customer: &Name) -> u32;
}

/// The priority of requests that engines serve last.
pub const MAX_PRIORITY: u32 = 7;

/// Serves requests in the order in which they came, whoever sent them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome {
    arrivals: u64,
}

impl ShareService for FirstCome {
    fn position(&mut self, _work: &Work) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    fn rank(&self, _customer: &Name, position: u64) -> u64 {
        position
    }

    fn served(&mut self, _work: &Work) {}

    fn priority(&self, _customer: &Name) -> u32 {
        0
    }
}

/// The resolution of virtual time for each token.
const TOKEN_SCALE: u64 = 1_024;

/// The tokens beyond its share at which a customer's priority first drops.
const PRIORITY_STEP: u64 = 4_096 * TOKEN_SCALE;

/// The customers whose virtual time is kept at most; those behind are dropped,
/// which costs them nothing.
const MAX_CUSTOMERS: usize = 4_096;

/// Shares service between customers by tokens and weight, and serves each
/// customer's own requests by deadline.
///
/// Start-time fair queueing: a customer's clock advances by the tokens that it
/// is served, divided by its weight, and the customer whose clock is furthest
/// behind is next. A customer that was idle starts at the clock of the last one
/// served, so that nobody saves up service.
#[derive(Clone, Debug, Default)]
pub struct FairTokens {
    now: u64,
    clocks: BTreeMap<Name, u64>,
}

impl FairTokens {
    fn clock(&self, customer: &Name) -> u64 {
        self.clocks
            .get(customer)
            .map_or(self.now, |c| *c.max(&self.now))
    }

    fn forget_idle(&mut self) {
        let now = self.now;
        if self.clocks.len() > MAX_CUSTOMERS {
            self.clocks.retain(|_, clock| *clock > now);
        }
    }
}

impl ShareService for FairTokens {
    fn position(&mut self, work: &Work) -> u64 {
        work.deadline.as_micros()
    }

    fn rank(&self, customer: &Name, _position: u64) -> u64 {
        self.clocks
            .get(customer)
            .copied()
            .unwrap_or(self.now)
            .max(self.now)
    }

    fn served(&mut self, work: &Work) {
        let start = self.clock(&work.customer);
        let weight = u64::from(work.weight.max(1));
        let cost = work.tokens.max(1).saturating_mul(TOKEN_SCALE) / weight;
        self.now = start;
        self.clocks.insert(work.customer.clone(), start + cost);
        self.forget_idle();
    }

    fn priority(&self, customer: &Name) -> u32 {
        let ahead = self.clock(customer) - self.now;
        let steps = (ahead / PRIORITY_STEP + 1).ilog2();
        steps.min(MAX_PRIORITY)
    }
}

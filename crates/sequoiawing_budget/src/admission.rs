use crate::{BorrowRequest, Charge, ChargeError, Reply, RouterBudget};
use sequoiawing_types::Time;
use serde::Serialize;
use std::{collections::VecDeque, time::Duration};

/// The outcome of a request for credit.
pub type Decision = Result<Charge, Denial>;

/// Why a request was not charged, with the time after which to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The rate and burst are exhausted.
    Exhausted(Duration),
    /// No lender replied in time whether there is credit.
    Unavailable(Duration),
}

#[derive(Clone, Copy, Debug, Serialize)]
struct QueuedRequest {
    id: u64,
    tokens: u64,
    since: Time,
    /// When a lender first replied while the request was waiting.
    #[serde(rename = "answered")]
    first_reply: Option<Time>,
}

/// Admits the requests of one customer on one router.
///
/// Requests that exceed the local credit wait in a FIFO queue for the round
/// trip to the cell leader and the owner, for at most `max_wait`. If no lender
/// replies, they wait until the data centre lends autonomously.
#[derive(Clone, Debug, Serialize)]
pub struct Admission {
    #[serde(rename = "purse")]
    budget: RouterBudget,
    #[serde(rename = "patience")]
    max_wait: Duration,
    waiting: VecDeque<QueuedRequest>,
}

impl Admission {
    /// Returns an admission with an empty queue.
    pub fn new(budget: RouterBudget, max_wait: Duration) -> Self {
        Self {
            budget,
            max_wait,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the router's credit.
    pub fn budget(&self) -> &RouterBudget {
        &self.budget
    }

    /// Sets the credit to hold beyond what requests need.
    pub fn set_reserve(&mut self, reserve: u64) {
        self.budget.set_reserve(reserve);
    }

    /// Decides on a request, or queues it until [`Self::poll`] returns its
    /// `id`.
    pub fn request(&mut self, now: Time, id: u64, tokens: u64) -> Option<Decision> {
        if self.waiting.is_empty() {
            match self.budget.charge(now, tokens) {
                Ok(charge) => return Some(Ok(charge)),
                Err(ChargeError::Refused(retry)) => return Some(Err(Denial::Exhausted(retry))),
                Err(ChargeError::AskLender) => {}
            }
        }
        let since = now;
        self.waiting.push_back(QueuedRequest {
            id,
            tokens,
            since,
            first_reply: None,
        });
        self.update_need();
        None
    }

    /// Removes a request from the queue after its caller disconnected.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|w| w.id != id);
        self.update_need();
    }

    /// Appends to `out` the queued requests that can be decided now.
    pub fn poll(&mut self, now: Time, out: &mut Vec<(u64, Decision)>) {
        let answered = self.budget.last_answer();
        for queued in &mut self.waiting {
            if queued.first_reply.is_none() && answered >= queued.since {
                queued.first_reply = Some(answered);
            }
        }
        while let Some(first) = self.waiting.front() {
            let decision = match self.budget.charge(now, first.tokens) {
                Ok(charge) => Ok(charge),
                Err(ChargeError::Refused(retry)) => Err(Denial::Exhausted(retry)),
                Err(ChargeError::AskLender) if self.is_over(now, first) => Err(self.denial(first)),
                Err(ChargeError::AskLender) => break,
            };
            out.push((first.id, decision));
            self.waiting.pop_front();
        }
        self.update_need();
    }

    /// Returns whether a request has timed out: after `max_wait` if a lender
    /// has replied, otherwise when the data centre should have started to lend
    /// autonomously.
    fn is_over(&self, now: Time, queued: &QueuedRequest) -> bool {
        match queued.first_reply {
            Some(answered) => now >= answered + self.max_wait,
            None => now >= queued.since + self.max_wait.max(self.budget.max_silence()),
        }
    }

    /// Returns why a request that timed out was not charged.
    fn denial(&self, queued: &QueuedRequest) -> Denial {
        if self.budget.last_unmet() >= queued.since {
            Denial::Exhausted(self.max_wait)
        } else {
            Denial::Unavailable(self.max_wait)
        }
    }

    /// Refunds the credit that a request did not use.
    pub fn settle(&mut self, now: Time, charge: Charge, used: u64) {
        self.budget.settle(now, charge, used);
    }

    /// Advances the time to `now`.
    pub fn tick(&mut self, now: Time) {
        self.budget.tick(now);
    }

    /// Returns whether a request to the cell leader is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.budget.is_due(now)
    }

    /// Makes a request to the cell leader due at once.
    pub fn mark_due(&mut self) {
        self.budget.mark_due();
    }

    /// Returns whether requests are queued.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the next request to the cell leader.
    pub fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        self.budget.borrow_request(now)
    }

    /// Processes a reply from the cell leader.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.budget.handle_reply(now, reply);
    }

    fn update_need(&mut self) {
        let need = self.waiting.iter().map(|w| w.tokens).sum();
        let head_need = self.waiting.front().map_or(0, |w| w.tokens);
        self.budget.set_need(need, head_need);
    }
}

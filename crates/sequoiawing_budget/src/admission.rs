use crate::{BorrowRequest, Charge, ChargeError, Reply, RouterBudget};
use sequoiawing_types::Time;
use serde::Serialize;
use std::{collections::VecDeque, time::Duration};

/// What became of a request.
pub type Decision = Result<Charge, Denial>;

/// Why a request was not charged, and when asking again may help.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// The rate and burst are used up.
    Exhausted(Duration),
    /// No lender said in time whether there is credit.
    Unavailable(Duration),
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Waiting {
    id: u64,
    tokens: u64,
    since: Time,
    /// When a lender first answered while the request waited.
    answered: Option<Time>,
}

/// Admits the requests of one customer on one router.
///
/// Requests that the purse does not cover wait in order for the round trip to
/// the cell leader and the owner, for at most `patience`; when these do not
/// answer, until the data centre lends by itself.
#[derive(Clone, Debug, Serialize)]
pub struct Admission {
    #[serde(rename = "purse")]
    budget: RouterBudget,
    patience: Duration,
    waiting: VecDeque<Waiting>,
}

impl Admission {
    /// Returns an admission without waiting requests.
    pub fn new(budget: RouterBudget, patience: Duration) -> Self {
        Self {
            budget,
            patience,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the purse.
    pub fn budget(&self) -> &RouterBudget {
        &self.budget
    }

    /// Sets the credit that is held beyond what requests need.
    pub fn set_reserve(&mut self, reserve: u64) {
        self.budget.set_reserve(reserve);
    }

    /// Decides about a request, or keeps it waiting until [`Self::poll`]
    /// returns its `id`.
    pub fn request(&mut self, now: Time, id: u64, tokens: u64) -> Option<Decision> {
        if self.waiting.is_empty() {
            match self.budget.charge(now, tokens) {
                Ok(charge) => return Some(Ok(charge)),
                Err(ChargeError::Refused(retry)) => return Some(Err(Denial::Exhausted(retry))),
                Err(ChargeError::AskLender) => {}
            }
        }
        let since = now;
        self.waiting.push_back(Waiting {
            id,
            tokens,
            since,
            answered: None,
        });
        self.update_need();
        None
    }

    /// Forgets a request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|w| w.id != id);
        self.update_need();
    }

    /// Decides about the requests that waited.
    pub fn poll(&mut self, now: Time, out: &mut Vec<(u64, Decision)>) {
        let answered = self.budget.last_answer();
        for one in &mut self.waiting {
            if one.answered.is_none() && answered >= one.since {
                one.answered = Some(answered);
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

    /// Reports whether a request has waited long enough: for `patience` when
    /// lenders answer, or else until the data centre lends by itself.
    fn is_over(&self, now: Time, waiting: &Waiting) -> bool {
        match waiting.answered {
            Some(answered) => now >= answered + self.patience,
            None => now >= waiting.since + self.patience.max(self.budget.max_silence()),
        }
    }

    /// Tells why a request that has waited long enough was not charged.
    fn denial(&self, waiting: &Waiting) -> Denial {
        if self.budget.last_unmet() >= waiting.since {
            Denial::Exhausted(self.patience)
        } else {
            Denial::Unavailable(self.patience)
        }
    }

    /// Gives back what a request did not use.
    pub fn settle(&mut self, now: Time, charge: Charge, used: u64) {
        self.budget.settle(now, charge, used);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.budget.tick(now);
    }

    /// Reports whether the cell leader should be asked now.
    pub fn is_due(&self, now: Time) -> bool {
        self.budget.is_due(now)
    }

    /// Has the cell leader asked at once.
    pub fn mark_due(&mut self) {
        self.budget.mark_due();
    }

    /// Reports whether requests wait.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the message to the cell leader.
    pub fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        self.budget.borrow_request(now)
    }

    /// Takes in the cell leader's reply.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.budget.handle_reply(now, reply);
    }

    fn update_need(&mut self) {
        let need = self.waiting.iter().map(|w| w.tokens).sum();
        let head_need = self.waiting.front().map_or(0, |w| w.tokens);
        self.budget.set_need(need, head_need);
    }
}

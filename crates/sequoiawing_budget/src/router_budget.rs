use crate::{
    BorrowRequest, EntryKind, NeedStatus, Refill, Reply, Share, Tag, Timing,
    borrower::{Borrower, ReplyOutcome},
};
use sequoiawing_types::Time;
use serde::Serialize;
use std::time::Duration;

/// How long a refusal also applies to further requests.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(10);

/// The longest that the only waiting request waits for credit to accrue instead
/// of being refused.
const MAX_ACCRUAL_WAIT: Duration = Duration::from_millis(10);

/// The interval of requests to the cell leader while requests wait for credit.
const NEED_INTERVAL: Duration = Duration::from_millis(3);

/// The interval at which spending is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// The window over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_millis(100);

/// The number of demand windows for which a router holds credit in advance.
const DEMAND_WINDOWS_AHEAD: u64 = 2;

/// How long unused credit beyond the reserve is kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the unused reserve is kept.
const RESERVE_LIFETIME: Duration = Duration::from_mins(1);

/// How many times a holder renews its lease within one lease duration.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// The credit that a request was charged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Charge {
    /// The charged tokens or slots.
    pub tokens: u64,
    tag: Tag,
    session: u64,
}

/// Why a request could not be charged to the local credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeError {
    /// More credit has to be requested from the cell leader.
    AskLender,
    /// The credit is exhausted for this duration.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Refusal {
    at: Time,
    #[serde(rename = "head")]
    tokens: u64,
    retry: Duration,
}

/// An earlier session whose charges are leased until `until`.
#[derive(Clone, Copy, Debug, Serialize)]
struct PreviousSession {
    session: u64,
    until: Time,
}

/// The credit that one router may spend without a round trip.
#[derive(Clone, Debug, Serialize)]
pub struct RouterBudget {
    timing: Timing,
    refill: Refill,
    reserve: u64,
    #[serde(rename = "up")]
    borrower: Borrower,
    free: u64,
    held: u64,
    #[serde(rename = "former")]
    previous_sessions: Vec<PreviousSession>,
    need: u64,
    #[serde(rename = "head")]
    head_need: u64,
    /// When the need of the first waiting request was first reported.
    #[serde(rename = "told")]
    need_since: Option<Time>,
    /// When a cell leader that knew how much it may lend last replied.
    #[serde(rename = "answered")]
    last_answer: Time,
    /// When a lender last replied that credit has to accrue first.
    #[serde(rename = "unmet")]
    last_unmet: Time,
    refusal: Option<Refusal>,
    #[serde(rename = "asked")]
    last_request: Option<Time>,
    #[serde(rename = "used")]
    last_used: Time,
    #[serde(rename = "window")]
    window_start: Time,
    spent: u64,
    demand: u64,
    is_due: bool,
}

impl RouterBudget {
    /// Returns a budget without credit.
    ///
    /// `incarnation` must be higher than that of every earlier run of the
    /// router.
    pub fn new(now: Time, incarnation: u64, refill: Refill, timing: Timing) -> Self {
        Self {
            timing,
            refill,
            reserve: 0,
            borrower: Borrower::new(now, incarnation, timing),
            free: 0,
            held: 0,
            previous_sessions: Vec::new(),
            need: 0,
            head_need: 0,
            need_since: None,
            last_answer: Time::ZERO,
            last_unmet: Time::ZERO,
            refusal: None,
            last_request: None,
            last_used: now,
            window_start: now,
            spent: 0,
            demand: 0,
            is_due: false,
        }
    }

    /// Sets the credit to hold beyond what requests need, so that requests are
    /// admitted without delay while a new cell leader takes over.
    pub fn set_reserve(&mut self, reserve: u64) {
        self.reserve = reserve;
    }

    /// Returns the reserve that should be held now.
    fn reserve_now(&self, now: Time) -> u64 {
        let is_kept = now < self.last_used + RESERVE_LIFETIME;
        if is_kept { self.reserve } else { 0 }
    }

    /// Returns when a lender that knew how much it may lend last replied.
    pub(crate) fn last_answer(&self) -> Time {
        self.last_answer
    }

    /// Returns when a lender last replied that credit has to accrue first.
    pub(crate) fn last_unmet(&self) -> Time {
        self.last_unmet
    }

    /// Returns whether a lender that knew how much it may lend has ever
    /// replied.
    pub fn is_served(&self) -> bool {
        self.last_answer > Time::ZERO
    }

    /// Returns the longest time without a reply until the data centre has
    /// elected a leader that lends autonomously.
    pub(crate) fn max_silence(&self) -> Duration {
        self.timing.lease * 4
    }

    /// Returns the share that the data centre accrues when it is disconnected,
    /// as of the last reply.
    pub fn share(&self) -> Share {
        self.borrower.share
    }

    /// Returns the credit that may be spent at `now`.
    pub fn free(&self, now: Time) -> u64 {
        if self.borrower.may_use(now) {
            self.free
        } else {
            0
        }
    }

    /// Returns whether the lease of a charge is still valid. Slots that are
    /// held longer may be lent to others.
    pub fn is_leased(&self, now: Time, charge: &Charge) -> bool {
        if charge.session == self.borrower.session() {
            return self.borrower.may_use(now);
        }
        let mut previous_sessions = self.previous_sessions.iter();
        previous_sessions.any(|f| f.session == charge.session && now < f.until)
    }

    /// Charges a request to the local credit.
    ///
    /// # Errors
    ///
    /// Returns an error if the credit is too low: whether more has to be
    /// requested from the cell leader, or that the cell leader has just
    /// refused.
    pub fn charge(&mut self, now: Time, tokens: u64) -> Result<Charge, ChargeError> {
        self.tick(now);
        if tokens > self.free(now) {
            return Err(self.charge_error(now, tokens));
        }
        self.last_used = now;
        self.free -= tokens;
        self.spent += tokens;
        let tag = self.borrower.tag;
        match self.refill {
            Refill::OnReturn => self.held += tokens,
            Refill::PerSecond(_) => self.borrower.journal.push(EntryKind::Spent { tokens, tag }),
        }
        let session = self.borrower.session();
        Ok(Charge {
            tokens,
            tag,
            session,
        })
    }

    fn charge_error(&self, now: Time, tokens: u64) -> ChargeError {
        let missing = tokens - self.free(now);
        let refusal = self.refusal.filter(|r| now < r.at + REFUSAL_LIFETIME);
        match refusal.filter(|r| missing >= r.tokens) {
            Some(refusal) => ChargeError::Refused(refusal.retry),
            None => ChargeError::AskLender,
        }
    }

    /// Refunds the credit that a request did not use.
    pub fn settle(&mut self, now: Time, charge: Charge, used: u64) {
        self.tick(now);
        let unused = charge.tokens.saturating_sub(used);
        match self.refill {
            // Slots of an earlier session become free when its lease expires.
            Refill::OnReturn if charge.session != self.borrower.session() => {}
            Refill::OnReturn => {
                self.held = self.held.saturating_sub(charge.tokens);
                self.free += charge.tokens;
                self.last_used = now;
            }
            Refill::PerSecond(_) => self.borrower.journal.push(EntryKind::Refunded {
                charged: charge.tokens,
                unused,
                tag: charge.tag,
            }),
        }
    }

    /// Sets the tokens that all waiting requests need, and those that the first
    /// one needs.
    pub fn set_need(&mut self, need: u64, head_need: u64) {
        self.is_due |= need > self.need;
        if head_need != self.head_need {
            self.need_since = None;
        }
        self.need = need;
        self.head_need = head_need;
    }

    /// Makes a request to the cell leader due at once.
    pub fn mark_due(&mut self) {
        self.is_due = true;
    }

    /// Returns whether a request to the cell leader is due.
    pub fn is_due(&self, now: Time) -> bool {
        let since = |span: Duration| self.last_request.is_none_or(|a| now >= a + span);
        let reports = !self.borrower.journal.is_empty() && since(REPORT_INTERVAL);
        let holds = self.free + self.held + self.reserve_now(now) > 0;
        let renews =
            (holds || !self.is_served()) && since(self.timing.lease / HEARTBEATS_PER_LEASE);
        let waits = self.need > 0 && since(NEED_INTERVAL);
        self.is_due || reports || renews || waits
    }

    /// Returns the next request to the cell leader.
    pub fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        self.tick(now);
        self.is_due = false;
        self.last_request = Some(now);
        let free = self.free(now);
        let mut request = self.borrower.borrow_request(now);
        request.need = self.need.saturating_sub(free);
        request.head_need = self.head_need.saturating_sub(free);
        if request.head_need == 0 {
            request.need = 0;
        } else {
            request.need_since = *self.need_since.get_or_insert(now);
        }
        let demand = self.demand.max(self.spent) * DEMAND_WINDOWS_AHEAD;
        request.want = demand.max(self.reserve_now(now));
        request
    }

    /// Processes a reply from the cell leader.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.tick(now);
        match self.borrower.handle_reply(now, reply) {
            ReplyOutcome::Stale => {}
            ReplyOutcome::Invited => {
                self.free = 0;
                self.held = 0;
                self.previous_sessions.retain(|f| now < f.until);
                self.previous_sessions.push(PreviousSession {
                    session: self.borrower.session(),
                    until: self.borrower.lease,
                });
                self.borrower.start_session(0);
                self.is_due = true;
            }
            ReplyOutcome::Granted(tokens) => self.apply_grant(now, reply, tokens),
        }
    }

    fn apply_grant(&mut self, now: Time, reply: &Reply, tokens: u64) {
        if reply.joined && reply.ready {
            self.last_answer = now;
        }
        self.free += tokens;
        if reply.recall {
            let idle = self.free.saturating_sub(self.need);
            self.return_credit(idle);
        }
        let missing = self.head_need.saturating_sub(self.free(now));
        let is_answer = reply.joined && self.need_since.is_some_and(|t| t <= reply.sent);
        if missing == 0 || tokens > 0 {
            self.refusal = None;
        }
        if missing == 0 || !is_answer {
            return;
        }
        if reply.need == NeedStatus::Unmet {
            self.last_unmet = now;
        }
        match reply.need {
            NeedStatus::Pending => {}
            // No other request is queued behind it, so a short wait delays
            // nobody.
            NeedStatus::Unmet if reply.retry <= MAX_ACCRUAL_WAIT && self.need == self.head_need => {
            }
            NeedStatus::Unmet => {
                self.refusal = Some(Refusal {
                    at: now,
                    tokens: missing,
                    retry: reply.retry,
                });
            }
            NeedStatus::Met => {
                self.need_since = None;
                self.is_due = true;
            }
        }
    }

    fn return_credit(&mut self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        self.free -= tokens;
        self.borrower.return_credit(tokens);
        self.is_due = true;
    }

    /// Advances the time: measures demand and returns credit that is idle or
    /// whose lease has expired.
    pub fn tick(&mut self, now: Time) {
        if now >= self.window_start + DEMAND_WINDOW {
            let is_next = now < self.window_start + DEMAND_WINDOW * 2;
            self.demand = if is_next { self.spent } else { 0 };
            self.spent = 0;
            self.window_start = now;
        }
        let is_idle = self.need == 0 && now >= self.last_used + IDLE_TIMEOUT;
        if self.borrower.has_expired(now) {
            self.return_credit(self.free);
        } else if is_idle {
            self.return_credit(self.free.saturating_sub(self.reserve_now(now)));
        }
    }
}

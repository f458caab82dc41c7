use crate::{
    BorrowRequest, EntryKind, Lender, Limits, NeedStatus, Refill, Reply, Share, Timing,
    borrower::{Borrower, ReplyOutcome},
};
use sequoiawing_types::{Name, Time};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};

/// How long a refusal by the owner also applies to further requests of the data
/// centre.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(10);

/// The interval of requests to the owner while routers wait for credit.
const NEED_INTERVAL: Duration = Duration::from_millis(3);

/// How many requests are sent to the owner within one lease duration.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// The divisor of the burst that yields a data centre's reserve. The reserve
/// lasts until the data centre detects that it is disconnected.
const RESERVE_DIVISOR: u64 = 16;

/// How long a router's need is remembered after it was last reported.
const NEED_LIFETIME: Duration = Duration::from_millis(20);

/// The credit that one router lacks.
#[derive(Clone, Copy, Debug, Serialize)]
struct RouterNeed {
    at: Time,
    need: u64,
    #[serde(rename = "head")]
    head_need: u64,
}

/// A refusal by the owner.
#[derive(Clone, Copy, Debug, Serialize)]
struct Refusal {
    at: Time,
    #[serde(rename = "head")]
    tokens: u64,
    retry: Duration,
}

/// A data centre's part of one budget, run by the leader of its cell.
///
/// It borrows from the owner and lends to its routers. When the owner has not
/// replied for two leases, it accrues its own share autonomously.
#[derive(Clone, Debug, Serialize)]
pub struct CentreBudget {
    limits: Limits,
    timing: Timing,
    #[serde(rename = "up")]
    borrower: Borrower,
    #[serde(rename = "down")]
    lender: Lender,
    #[serde(rename = "is_alone")]
    is_autonomous: bool,
    needs: BTreeMap<Name, RouterNeed>,
    need: u64,
    #[serde(rename = "head")]
    head_need: u64,
    want: u64,
    /// When the need was first reported to the owner.
    #[serde(rename = "told")]
    need_since: Option<Time>,
    #[serde(rename = "asked")]
    last_request: Option<Time>,
    refusal: Option<Refusal>,
    is_due: bool,
}

impl CentreBudget {
    /// Returns the budget of a leader that was just elected for its cell's
    /// `term`.
    ///
    /// `share` is the last known share that the data centre accrues when it is
    /// disconnected.
    pub fn new(now: Time, term: u64, limits: Limits, timing: Timing, share: Share) -> Self {
        let mut borrower = Borrower::new(now, term, timing);
        borrower.share = share;
        // It is unknown whether a predecessor accrued credit.
        borrower.autonomous = true;
        Self {
            limits,
            timing,
            borrower,
            lender: Lender::for_cell(now, term, limits, timing),
            is_autonomous: false,
            needs: BTreeMap::new(),
            need: 0,
            head_need: 0,
            want: 0,
            need_since: None,
            last_request: None,
            refusal: None,
            is_due: true,
        }
    }

    /// Applies new limits.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.limits = limits;
        self.lender.set_limits(now, limits);
    }

    /// Returns the current limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the share that the data centre accrues when it is disconnected.
    pub fn share(&self) -> Share {
        self.borrower.share
    }

    /// Returns whether the data centre accrues its own share.
    pub fn is_autonomous(&self) -> bool {
        self.is_autonomous
    }

    /// Returns the routers from which credit is recalled.
    pub fn recalled(&self) -> impl Iterator<Item = &Name> {
        self.lender.recalled()
    }

    /// Processes a router's request and returns the reply.
    pub fn handle(&mut self, now: Time, router: &Name, request: &BorrowRequest) -> Reply {
        self.tick(now);
        let lease = if self.is_autonomous {
            self.timing.lease
        } else {
            self.borrower.lease.since(now).min(self.timing.lease)
        };
        let handled = self.lender.handle_request(now, router, request, lease);
        let mut reply = handled.reply;
        reply.share = self.borrower.share;
        reply.ready &= if self.is_autonomous {
            self.borrower.share > Share::NONE
        } else {
            self.borrower.ready
        };
        if !reply.ready && reply.need == NeedStatus::Unmet {
            reply.need = NeedStatus::Pending;
        }
        if !self.is_autonomous {
            self.forward_entries(handled.entries);
            self.want = self.want.max(request.want);
            self.needs.remove(router);
            if reply.need != NeedStatus::Met && request.need > 0 {
                self.record_need(now, router, request, &mut reply);
            }
            self.sum_needs(now);
        }
        reply
    }

    fn forward_entries(&mut self, entries: Vec<EntryKind>) {
        self.is_due |= !entries.is_empty();
        for kind in entries {
            self.borrower.journal.push(kind);
        }
    }

    /// Records a router's need, unless the owner has just refused as much.
    fn record_need(
        &mut self,
        now: Time,
        router: &Name,
        request: &BorrowRequest,
        reply: &mut Reply,
    ) {
        let (need, head_need) = (request.need, request.head_need);
        let refusal = self.refusal.filter(|r| now < r.at + REFUSAL_LIFETIME);
        let missing = head_need.saturating_sub(self.lender.balance());
        if let Some(refusal) = refusal.filter(|r| missing >= r.tokens) {
            reply.need = NeedStatus::Unmet;
            reply.retry = refusal.retry;
            return;
        }
        let at = now;
        self.needs.insert(
            router.clone(),
            RouterNeed {
                at,
                need,
                head_need,
            },
        );
        self.is_due = true;
        reply.need = NeedStatus::Pending;
    }

    /// Updates the total need of the routers.
    fn sum_needs(&mut self, now: Time) {
        self.needs.retain(|_, n| now < n.at + NEED_LIFETIME);
        let need = self.needs.values().map(|n| n.need).sum();
        let head_need = self.needs.values().map(|n| n.head_need).min().unwrap_or(0);
        if (need, head_need) != (self.need, self.head_need) {
            self.need_since = None;
        }
        self.need = need;
        self.head_need = head_need;
    }

    /// Makes a request to the owner due at once.
    pub fn mark_due(&mut self) {
        self.is_due = true;
    }

    /// Returns whether a request to the owner is due.
    pub fn is_due(&self, now: Time) -> bool {
        let pause = if self.need > 0 {
            NEED_INTERVAL
        } else {
            self.timing.lease / HEARTBEATS_PER_LEASE
        };
        self.is_due || self.last_request.is_none_or(|a| now >= a + pause)
    }

    /// Returns the next request to the owner.
    pub fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        self.tick(now);
        self.is_due = false;
        self.last_request = Some(now);
        let mut request = self.borrower.borrow_request(now);
        let balance = self.lender.balance();
        let head_need = self.head_need.saturating_sub(balance);
        if head_need > 0 {
            request.need_since = *self.need_since.get_or_insert(now);
            request.need = self.need - balance;
            request.head_need = head_need;
        }
        request.want = self.want.max(self.limits.burst / RESERVE_DIVISOR);
        request
    }

    /// Processes a reply from the owner.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.tick(now);
        match self.borrower.handle_reply(now, reply) {
            ReplyOutcome::Stale => {}
            ReplyOutcome::Invited => self.rejoin(now),
            ReplyOutcome::Granted(tokens) => self.apply_grant(now, reply, tokens),
        }
    }

    /// Stops accruing and reports the balance to the owner in a new session.
    fn rejoin(&mut self, now: Time) {
        if self.is_autonomous {
            self.lender.stop_accruing(now);
            self.is_autonomous = false;
            self.borrower.lease = self.borrower.lease.max(now + self.timing.lease);
        }
        self.lender.set_tag(self.borrower.tag);
        self.borrower.start_session(self.lender.total());
        self.is_due = true;
    }

    fn apply_grant(&mut self, now: Time, reply: &Reply, tokens: u64) {
        self.lender.deposit(tokens);
        self.lender.set_tag(self.borrower.tag);
        if reply.recall {
            self.return_idle();
            self.lender.recall_all();
        }
        if tokens > 0 {
            self.refusal = None;
        }
        let is_answer = reply.joined && self.need_since.is_some_and(|t| t <= reply.sent);
        let missing = self.head_need.saturating_sub(self.lender.balance());
        match reply.need {
            _ if !is_answer || self.need == 0 => {}
            NeedStatus::Pending => {}
            NeedStatus::Unmet if missing > 0 => {
                self.refusal = Some(Refusal {
                    at: now,
                    tokens: missing,
                    retry: reply.retry,
                });
                self.clear_need();
            }
            // Other routers may have borrowed the granted credit.
            _ if missing > 0 => {
                self.need_since = None;
                self.is_due = true;
            }
            _ => self.clear_need(),
        }
        self.want = 0;
    }

    fn clear_need(&mut self) {
        self.needs.clear();
        self.need = 0;
        self.head_need = 0;
        self.need_since = None;
    }

    /// Returns idle credit to the owner.
    fn return_idle(&mut self) {
        if self.need > 0 {
            return;
        }
        let idle = self.lender.withdraw();
        self.borrower.return_credit(idle);
        self.is_due |= idle > 0;
    }

    /// Advances the time: handles expired leases and a lost connection to the
    /// owner.
    pub fn tick(&mut self, now: Time) {
        self.lender.advance(now);
        if self.is_autonomous {
            return;
        }
        self.sum_needs(now);
        let lost = self.lender.take_lost();
        self.account_for_lost(lost);
        if self.borrower.has_expired(now) {
            self.trim_to_share();
        }
        if self.borrower.is_disconnected(now) {
            self.become_autonomous(now);
        }
    }

    /// Accounts for credit that was lent to routers whose lease has expired.
    fn account_for_lost(&mut self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        match self.limits.refill {
            Refill::OnReturn => self.lender.deposit(tokens),
            Refill::PerSecond(_) => {
                let tag = crate::Tag::default();
                self.forward_entries(vec![EntryKind::Spent { tokens, tag }]);
            }
        }
    }

    /// Reduces the balance to the share after every lease has expired.
    fn trim_to_share(&mut self) {
        let share = self.borrower.share.of(self.limits.burst);
        let balance = self.lender.balance();
        if balance <= share && self.lender.total() == balance {
            return;
        }
        let lost = self.lender.write_off();
        self.account_for_lost(lost);
        let balance = self.lender.withdraw();
        let kept = balance.min(share);
        self.lender.deposit(kept);
        self.borrower.return_credit(balance - kept);
    }

    /// Starts to accrue the data centre's share autonomously.
    fn become_autonomous(&mut self, now: Time) {
        self.borrower.disconnect();
        self.is_autonomous = true;
        self.clear_need();
        self.refusal = None;
        let generation = self.borrower.session();
        self.lender
            .start_accruing(now, generation, self.borrower.share);
    }
}

use crate::{
    BorrowRequest, Limits, NeedStatus, Reply, Share, Timing,
    borrower::{Borrower, ReplyOutcome},
};
use sequoiawing_types::Time;
use serde::Serialize;
use std::time::Duration;

/// How many requests are sent to the owner within one lease duration.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// How many times an unmet need is reported within one lease duration.
const RETRIES_PER_LEASE: u32 = 20;

/// A data centre's slots of one budget, held by the leader of its cell for
/// work that runs at upstreams.
///
/// The work continues when the leader is lost. A successor therefore first
/// determines what runs in the whole data centre and then confirms it to the
/// owner. The owner reserves unconfirmed slots until their lease and the
/// maximum overrun have passed. See
/// [docs/design/budgets.md](../../../docs/design/budgets.md).
#[derive(Clone, Debug, Serialize)]
pub struct CentreSlots {
    limits: Limits,
    timing: Timing,
    #[serde(rename = "up")]
    borrower: Borrower,
    held: u64,
    used: u64,
    want: u64,
    #[serde(rename = "is_vouched")]
    is_confirmed: bool,
    #[serde(rename = "is_alone")]
    is_autonomous: bool,
    #[serde(rename = "told")]
    need_since: Option<Time>,
    #[serde(rename = "asked")]
    last_request: Option<Time>,
    /// Until when the data centre is limited to its share, because others need
    /// the rest.
    #[serde(rename = "squeezed")]
    limited_until: Time,
    is_due: bool,
}

impl CentreSlots {
    /// Returns the slots of a leader that was just elected for its cell's
    /// `term`.
    ///
    /// `share` is the last known share that the data centre may use when it is
    /// disconnected.
    pub fn new(now: Time, term: u64, limits: Limits, timing: Timing, share: Share) -> Self {
        let mut borrower = Borrower::new(now, term, timing);
        borrower.share = share;
        borrower.autonomous = true;
        Self {
            limits,
            timing,
            borrower,
            held: 0,
            used: 0,
            want: 0,
            is_confirmed: false,
            is_autonomous: false,
            need_since: None,
            last_request: None,
            limited_until: Time::ZERO,
            is_due: true,
        }
    }

    /// Applies new limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets how long work that holds a slot may continue after the lease has
    /// expired.
    pub fn set_overrun(&mut self, overrun: Duration) {
        self.timing.overrun = overrun;
    }

    /// Returns the current limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the share that the data centre may use when it is disconnected.
    pub fn share(&self) -> Share {
        self.borrower.share
    }

    /// Returns whether the data centre uses its own share.
    pub fn is_autonomous(&self) -> bool {
        self.is_autonomous
    }

    /// Sets how many slots are used in the whole data centre, and how many it
    /// wants to use.
    ///
    /// The first call confirms the slots in use. The caller must make it only
    /// after it knows all the work that a predecessor started.
    pub fn set_use(&mut self, now: Time, used: u64, want: u64) {
        if !self.is_confirmed {
            self.is_confirmed = true;
            self.held = used;
        }
        if want.max(used) > self.held && want > self.want {
            self.is_due = true;
        }
        self.used = used;
        self.want = want.max(used);
        self.tick(now);
    }

    /// Returns the maximum number of slots that may be in use.
    pub fn limit(&self, now: Time) -> u64 {
        if !self.is_confirmed {
            return 0;
        }
        if self.borrower.may_use(now) {
            return self.held;
        }
        let share = self.share_slots();
        // The owner reserves the share even when it receives no requests.
        if self.is_autonomous {
            share
        } else {
            self.held.min(share)
        }
    }

    fn share_slots(&self) -> u64 {
        self.borrower.share.of(self.limits.burst)
    }

    /// Makes a request to the owner due at once.
    pub fn mark_due(&mut self) {
        self.is_due = true;
    }

    /// Returns whether a request to the owner is due.
    pub fn is_due(&self, now: Time) -> bool {
        let parts = if self.need(now) > 0 {
            RETRIES_PER_LEASE
        } else {
            HEARTBEATS_PER_LEASE
        };
        let pause = self.timing.lease / parts;
        let is_time = self.last_request.is_none_or(|a| now >= a + pause);
        self.is_confirmed && (self.is_due || is_time)
    }

    fn need(&self, now: Time) -> u64 {
        let most = if now < self.limited_until {
            self.share_slots()
        } else {
            self.limits.burst
        };
        self.want.min(most).saturating_sub(self.held)
    }

    /// Returns the next request to the owner.
    pub fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        self.tick(now);
        self.is_due = false;
        self.last_request = Some(now);
        let mut request = self.borrower.borrow_request(now);
        request.recent_takeover = false;
        request.need = self.need(now);
        if request.need > 0 {
            request.head_need = 1;
            request.need_since = *self.need_since.get_or_insert(now);
        }
        let is_limited = now < self.limited_until;
        request.want = if is_limited { 0 } else { self.share_slots() };
        request
    }

    /// Processes a reply from the owner.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.tick(now);
        match self.borrower.handle_reply(now, reply) {
            ReplyOutcome::Stale => {}
            ReplyOutcome::Invited => self.rejoin(now),
            ReplyOutcome::Granted(slots) => self.apply_grant(now, reply, slots),
        }
    }

    /// Starts a new session with the slots that the data centre holds.
    fn rejoin(&mut self, now: Time) {
        self.held = self.limit(now).max(self.used);
        self.is_autonomous = false;
        self.need_since = None;
        self.borrower.start_session(self.held);
        self.is_due = true;
    }

    fn apply_grant(&mut self, now: Time, reply: &Reply, slots: u64) {
        self.held += slots;
        let is_answer = reply.joined && self.need_since.is_some_and(|t| t <= reply.sent);
        if slots > 0 || is_answer && reply.need != NeedStatus::Pending {
            self.need_since = None;
        }
        if reply.recall {
            self.limited_until = now + self.timing.lease;
        }
        self.tick(now);
    }

    /// Returns the reply to a router, which has to know the share in case it
    /// becomes the next leader.
    pub fn router_reply(&self, now: Time, term: u64, request: &BorrowRequest) -> Reply {
        Reply {
            lender_term: term,
            invitation: request.invitation,
            session: request.session,
            joined: true,
            ready: true,
            stamp: now,
            sent: request.sent,
            share: self.borrower.share,
            ..Reply::default()
        }
    }

    /// Advances the time: returns idle slots and handles a lost connection to
    /// the owner.
    pub fn tick(&mut self, now: Time) {
        if !self.is_autonomous && self.is_disconnected(now) {
            self.borrower.disconnect();
            self.is_autonomous = true;
        }
        let idle = if now < self.limited_until {
            self.used.max(self.share_slots().min(self.want))
        } else {
            self.want.max(self.share_slots())
        };
        let surplus = self.held.saturating_sub(idle.max(self.used));
        if surplus > 0 && !self.is_autonomous {
            self.held -= surplus;
            self.borrower.return_credit(surplus);
            self.is_due = true;
        }
    }

    /// Returns whether the connection to the owner has been lost for so long
    /// that other data centres have ended all work on slots of this one's
    /// share.
    fn is_disconnected(&self, now: Time) -> bool {
        let ended_by = self.borrower.last_reply + self.timing.lease * 2 + self.timing.max_overrun();
        self.is_confirmed && self.borrower.has_expired(now) && now >= ended_by
    }
}

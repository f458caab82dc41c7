use crate::{
    BorrowRequest, Limits, NeedStatus, Reply, Share, Timing,
    borrower::{Borrower, ReplyOutcome},
};
use sequoiawing_types::Time;
use serde::Serialize;
use std::time::Duration;

/// The parts of a lease after which the owner hears from the data centre.
const HEARTBEATS_PER_LEASE: u32 = 4;

/// The parts of a lease after which an unmet need is told again.
const RETRIES_PER_LEASE: u32 = 20;

/// A data centre's slots of one budget, held by the leader of its cell for
/// work that runs at upstreams.
///
/// The work goes on when the leader is lost. So a successor first finds out
/// what runs in the whole data centre, and then vouches for it; what nobody
/// vouches for counts at the owner for the longest holding after its lease.
/// See [docs/design/budgets.md](../../../docs/design/budgets.md).
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
    /// Until when others need what is held beyond the share.
    #[serde(rename = "squeezed")]
    limited_until: Time,
    is_due: bool,
}

impl CentreSlots {
    /// Returns the part of a leader that has just won its cell's `term`.
    ///
    /// `share` is the last cut-off share that the data centre was given.
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

    /// Puts other limits in force.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets how long what was begun with a slot may go on after the lease.
    pub fn set_overrun(&mut self, overrun: Duration) {
        self.timing.overrun = overrun;
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the share that the data centre may use when it is cut off.
    pub fn share(&self) -> Share {
        self.borrower.share
    }

    /// Reports whether the data centre uses its own share.
    pub fn is_autonomous(&self) -> bool {
        self.is_autonomous
    }

    /// Sets how many slots are in use in the whole data centre, and how many
    /// could be.
    ///
    /// The first call vouches for the data centre: it must come only when all
    /// that a predecessor began is known.
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

    /// Returns how many slots may be in use.
    pub fn limit(&self, now: Time) -> u64 {
        if !self.is_confirmed {
            return 0;
        }
        if self.borrower.may_use(now) {
            return self.held;
        }
        let share = self.share_slots();
        // The owner sets the share aside whether or not it hears from here.
        if self.is_autonomous {
            share
        } else {
            self.held.min(share)
        }
    }

    fn share_slots(&self) -> u64 {
        self.borrower.share.of(self.limits.burst)
    }

    /// Has the owner asked at once.
    pub fn mark_due(&mut self) {
        self.is_due = true;
    }

    /// Reports whether the owner should be asked now.
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

    /// Returns the message to the owner.
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

    /// Takes in the owner's reply.
    pub fn handle_reply(&mut self, now: Time, reply: &Reply) {
        self.tick(now);
        match self.borrower.handle_reply(now, reply) {
            ReplyOutcome::Stale => {}
            ReplyOutcome::Invited => self.rejoin(now),
            ReplyOutcome::Granted(slots) => self.apply_grant(now, reply, slots),
        }
    }

    /// Tells the owner what the data centre holds.
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

    /// Answers a router, which has to know the share in case it leads next.
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

    /// Lets time pass: what is not needed goes back, and the data centre may be
    /// cut off.
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
        let back = self.held.saturating_sub(idle.max(self.used));
        if back > 0 && !self.is_autonomous {
            self.held -= back;
            self.borrower.return_credit(back);
            self.is_due = true;
        }
    }

    /// Reports whether the others have ended what they began with this data
    /// centre's share.
    fn is_disconnected(&self, now: Time) -> bool {
        let ended = self.borrower.last_reply + self.timing.lease * 2 + self.timing.max_overrun();
        self.is_confirmed && self.borrower.has_expired(now) && now >= ended
    }
}

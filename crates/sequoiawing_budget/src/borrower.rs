use crate::{BorrowRequest, Reply, Share, Tag, Timing, journal::Journal};
use sequoiawing_types::Time;
use serde::Serialize;

/// The number of low bits that count the sessions of one holder. The high bits
/// are the holder's incarnation, so a successor's session is always later.
pub(crate) const HOLDER_SHIFT: u32 = 20;

/// The effect of a reply on a borrower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyOutcome {
    /// The reply is outdated and was ignored.
    Stale,
    /// The borrower must settle the credit that it holds and start a new
    /// session with [`Borrower::start_session`].
    Invited,
    /// The lease is renewed and this much new credit was granted.
    Granted(u64),
}

/// The borrower's state in the protocol with a lender: sessions, leases and
/// counters.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Borrower {
    timing: Timing,
    started: Time,
    session: u64,
    #[serde(rename = "lender")]
    lender_term: u64,
    #[serde(rename = "join")]
    invitation: u64,
    #[serde(rename = "invitation")]
    pending_invitation: u64,
    stamp: Time,
    /// When the last reply arrived.
    #[serde(rename = "heard")]
    pub(crate) last_reply: Time,
    /// Whether the lender knew how much it may lend when it last replied.
    pub(crate) ready: bool,
    /// When the lease expires.
    pub(crate) lease: Time,
    balance: u64,
    /// Whether credit accrued autonomously since a lender last confirmed a
    /// session.
    #[serde(rename = "alone")]
    pub(crate) autonomous: bool,
    granted: u64,
    returned: u64,
    pub(crate) journal: Journal,
    pub(crate) tag: Tag,
    pub(crate) share: Share,
}

impl Borrower {
    /// Returns a borrower that is not yet known to any lender.
    ///
    /// `incarnation` must be higher than that of every earlier holder.
    pub(crate) fn new(now: Time, incarnation: u64, timing: Timing) -> Self {
        Self {
            timing,
            started: now,
            session: incarnation << HOLDER_SHIFT,
            lender_term: 0,
            invitation: 0,
            pending_invitation: 0,
            stamp: Time::ZERO,
            last_reply: now,
            ready: false,
            lease: Time::ZERO,
            balance: 0,
            autonomous: false,
            granted: 0,
            returned: 0,
            journal: Journal::default(),
            tag: Tag::default(),
            share: Share::NONE,
        }
    }

    /// Returns a request without needs.
    pub(crate) fn borrow_request(&mut self, now: Time) -> BorrowRequest {
        BorrowRequest {
            lender_term: self.lender_term,
            invitation: self.invitation,
            session: self.session,
            stamp: self.stamp,
            sent: now,
            balance: self.balance,
            autonomous: self.autonomous,
            recent_takeover: now < self.started + self.timing.max_lease(),
            entries: self.journal.send(),
            returned: self.returned,
            need_since: Time::ZERO,
            need: 0,
            head_need: 0,
            want: 0,
        }
    }

    /// Processes a reply.
    pub(crate) fn handle_reply(&mut self, now: Time, reply: &Reply) -> ReplyOutcome {
        let is_old = reply.lender_term == self.lender_term && reply.stamp <= self.stamp;
        if reply.lender_term < self.lender_term || is_old {
            return ReplyOutcome::Stale;
        }
        let is_invited =
            reply.lender_term != self.lender_term || reply.invitation != self.invitation;
        self.lender_term = reply.lender_term;
        self.stamp = reply.stamp;
        self.last_reply = now;
        self.share = reply.share;
        self.ready = reply.joined && reply.ready;
        if is_invited {
            self.pending_invitation = reply.invitation;
            self.tag = reply.tag;
            return ReplyOutcome::Invited;
        }
        if reply.session != self.session || !reply.joined {
            return ReplyOutcome::Granted(0);
        }
        self.tag = reply.tag;
        self.autonomous &= !reply.durable;
        self.lease = self.lease.max(reply.sent + reply.lease);
        self.journal.acknowledge(reply.applied);
        let new_credit = reply.granted.saturating_sub(self.granted);
        self.granted += new_credit;
        ReplyOutcome::Granted(new_credit)
    }

    /// Accepts the pending invitation and starts a session that holds
    /// `balance`.
    pub(crate) fn start_session(&mut self, balance: u64) {
        self.invitation = self.pending_invitation;
        self.session += 1;
        self.balance = balance;
        self.granted = 0;
        self.returned = 0;
        self.journal = Journal::default();
    }

    /// Returns unused credit to the lender with the next request.
    pub(crate) fn return_credit(&mut self, tokens: u64) {
        self.returned += tokens;
    }

    /// Leaves the lender until it invites the borrower again.
    pub(crate) fn disconnect(&mut self) {
        self.invitation = 0;
        self.autonomous = true;
    }

    /// Returns the ID of the current session, which never repeats.
    pub(crate) fn session(&self) -> u64 {
        self.session
    }

    /// Returns whether the lease is valid, so that credit may be used.
    pub(crate) fn may_use(&self, now: Time) -> bool {
        now < self.lease
    }

    /// Returns whether the lease has expired on every clock, including leases
    /// that were lent on.
    pub(crate) fn has_expired(&self, now: Time) -> bool {
        now >= self.lease + self.timing.max_lease().saturating_sub(self.timing.lease)
    }

    /// Returns whether no reply has arrived for two leases.
    ///
    /// The owner needs one lease to notice. The credit that others borrowed
    /// beyond their shares expires within the second.
    pub(crate) fn is_disconnected(&self, now: Time) -> bool {
        self.has_expired(now) && now >= self.last_reply + self.timing.lease * 2
    }
}

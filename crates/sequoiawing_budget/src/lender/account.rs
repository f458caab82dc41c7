use crate::{BorrowRequest, Share, Timing, borrower::HOLDER_SHIFT};
use sequoiawing_types::Time;
use serde::Serialize;
use std::time::Duration;

/// The state of a borrower's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum State {
    /// The borrower's session is active.
    Joined,
    /// The borrower was invited to a new session and cannot accrue autonomously
    /// yet.
    Joining,
    /// The borrower may accrue its own share.
    #[serde(rename = "apart")]
    Disconnected,
}

/// The credit of a replaced holder, which counts until its lease expires.
#[derive(Clone, Copy, Debug, Serialize)]
struct ReplacedLease {
    tokens: u64,
    until: Time,
}

/// A lender's account of one borrower.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Account {
    pub(super) state: State,
    /// Whether a previous lender may have lent to the borrower.
    #[serde(rename = "is_unknown")]
    pub(super) has_unknown_credit: bool,
    /// Whether the borrower accrued autonomously under a previous lender.
    #[serde(rename = "was_alone")]
    pub(super) was_autonomous: bool,
    /// The share that the borrower accrues when it is disconnected.
    pub(super) share: Share,
    /// The share that the current invitation offers.
    pub(super) offered: Share,
    /// The share that the borrower should have.
    pub(super) target: Share,
    #[serde(rename = "join")]
    pub(super) invitation: u64,
    pub(super) session: u64,
    pub(super) lent: u64,
    pub(super) granted: u64,
    pub(super) returned: u64,
    pub(super) applied: u64,
    /// The newest stamp that the borrower has acknowledged.
    #[serde(rename = "heard")]
    pub(super) acked_stamp: Time,
    /// When the borrower's lease has expired on every clock.
    #[serde(rename = "until")]
    pub(super) lease_end: Time,
    /// When the last processed request was sent, on the borrower's clock.
    #[serde(rename = "asked")]
    pub(super) last_sent: Time,
    /// The `need_since` of the last need that was met.
    #[serde(rename = "met")]
    pub(super) last_met: Time,
    pub(super) recall: bool,
    #[serde(rename = "told")]
    recall_stamp: Option<Time>,
    #[serde(rename = "left")]
    replaced: Vec<ReplacedLease>,
}

impl Account {
    pub(super) fn new(share: Share) -> Self {
        Self {
            state: State::Disconnected,
            has_unknown_credit: false,
            was_autonomous: false,
            share,
            offered: share,
            target: share,
            invitation: 1,
            session: 0,
            lent: 0,
            granted: 0,
            returned: 0,
            applied: 0,
            acked_stamp: Time::ZERO,
            lease_end: Time::ZERO,
            last_sent: Time::ZERO,
            last_met: Time::ZERO,
            recall: false,
            recall_stamp: None,
            replaced: Vec::new(),
        }
    }

    /// Returns whether the borrower has never sent a request, so that it cannot
    /// know of any share.
    pub(super) fn is_new(&self) -> bool {
        self.session == 0 && self.share == Share::NONE
    }

    /// Returns the share that must be reserved for the borrower.
    pub(super) fn held_share(&self) -> Share {
        self.share.max(self.offered)
    }

    /// Returns the credit that the borrower and its predecessors may hold.
    pub(super) fn reserved(&self, burst: u64) -> u64 {
        let share = self.held_share().of(burst);
        match self.state {
            // A successor accrues only after its predecessor's lease has
            // expired.
            State::Disconnected => self.lent.saturating_add(self.replaced_credit()).max(share),
            _ if self.was_autonomous => self.lent.max(share).saturating_add(self.replaced_credit()),
            _ => self.lent.saturating_add(self.replaced_credit()),
        }
    }

    /// Returns the credit that predecessors may still hold.
    pub(super) fn replaced_credit(&self) -> u64 {
        self.replaced.iter().map(|l| l.tokens).sum()
    }

    /// Records that a reply with this stamp asks the borrower to return credit.
    pub(super) fn note_recall_sent(&mut self, stamp: Time) {
        if self.recall {
            self.recall_stamp.get_or_insert(stamp);
        }
    }

    /// Ends the recall if the borrower has received it by this stamp.
    pub(super) fn acknowledge_recall(&mut self, stamp: Time) {
        if self.recall_stamp.is_some_and(|t| t <= stamp) {
            self.recall = false;
            self.recall_stamp = None;
        }
    }

    /// Invites the borrower to a new session.
    pub(super) fn invite(&mut self, state: State) {
        self.state = state;
        self.invitation += 1;
    }

    /// Returns whether the request comes from a later holder.
    pub(super) fn is_replaced(&self, request: &BorrowRequest) -> bool {
        self.session >> HOLDER_SHIFT < request.session >> HOLDER_SHIFT
    }

    /// Replaces the holder. The credit of the previous one counts until its
    /// lease expires.
    pub(super) fn replace(
        &mut self,
        now: Time,
        timing: &Timing,
        burst: u64,
        request: &BorrowRequest,
    ) {
        if self.session > 0 {
            let tokens = match self.state {
                State::Disconnected => self.lent.max(self.share.of(burst)),
                _ => self.lent,
            };
            let until = self.lease_end.max(now + timing.max_lease()) + timing.max_overrun();
            self.retain_lease(tokens, until);
        }
        self.lent = 0;
        self.session = request.session;
        let state = if self.state == State::Joined {
            State::Joining
        } else {
            self.state
        };
        self.invite(state);
    }

    /// Starts the borrower's new session with the credit that it kept, and
    /// returns the credit that it did not keep.
    pub(super) fn start(&mut self, request: &BorrowRequest, kept: u64, until: Time) -> u64 {
        let dropped = self.lent.saturating_sub(kept);
        self.was_autonomous = self.has_unknown_credit && request.autonomous;
        self.has_unknown_credit = false;
        self.state = State::Joined;
        self.share = self.offered;
        self.session = request.session;
        self.lent = kept;
        self.granted = 0;
        self.returned = 0;
        self.applied = 0;
        self.last_sent = Time::ZERO;
        self.last_met = Time::ZERO;
        self.acked_stamp = request.stamp;
        self.lease_end = until;
        dropped
    }

    /// Removes the credit of replaced holders, which the current holder now
    /// accounts for.
    pub(super) fn forget_replaced(&mut self) {
        self.replaced.clear();
    }

    /// Counts credit as held until its lease expires.
    pub(super) fn retain_lease(&mut self, tokens: u64, until: Time) {
        if tokens > 0 {
            self.replaced.push(ReplacedLease { tokens, until });
        }
    }

    /// Removes expired leases and returns the credit that was lent under them.
    pub(super) fn expire(&mut self, now: Time, overrun: Duration) -> u64 {
        let mut lost = 0;
        self.replaced.retain(|l| {
            let is_held = now < l.until;
            lost += if is_held { 0 } else { l.tokens };
            is_held
        });
        let is_over = now >= self.lease_end + overrun;
        if self.state == State::Disconnected && !self.has_unknown_credit && is_over {
            lost += std::mem::take(&mut self.lent);
        }
        lost
    }

    /// Removes all credit after every lease has expired, and returns its
    /// amount.
    pub(super) fn write_off(&mut self) -> u64 {
        self.invite(State::Disconnected);
        let lost = self.lent + self.replaced_credit();
        self.lent = 0;
        self.replaced.clear();
        lost
    }
}

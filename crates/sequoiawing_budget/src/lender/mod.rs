//! The owner's side of a budget, and a cell leader's towards its routers.

mod account;
mod borrowed;
mod proposals;
mod requests;
mod view;
mod watermark;

pub use view::{AccountView, LenderView};
pub use watermark::Watermark;

use crate::{BorrowRequest, EntryKind, Limits, Refill, Reply, Share, Timing, bucket::Bucket};
use account::{Account, State};
use sequoiawing_types::{Name, Time};
use serde::Serialize;
use std::{collections::BTreeMap, time::Duration};
use watermark::Watermarks;

/// Where a lender's credit comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Source {
    /// It accrues here, at this share of the rate and into this share of the
    /// burst.
    Accrued(Share),
    /// It is borrowed from another lender.
    Borrowed,
}

/// What became of a borrower's message.
#[derive(Debug)]
pub(crate) struct Handled {
    pub(crate) reply: Reply,
    /// What was done with borrowed credit, for the lender that it came from.
    pub(crate) entries: Vec<EntryKind>,
}

/// Lends credit of one total under leases and never more than the total.
#[derive(Clone, Debug, Serialize)]
pub struct Lender {
    term: u64,
    limits: Limits,
    timing: Timing,
    source: Source,
    bucket: Bucket,
    accounts: BTreeMap<Name, Account>,
    #[serde(rename = "marks")]
    watermarks: Option<Watermarks>,
    /// When every lease of a former lender has run out.
    #[serde(rename = "settled")]
    settling_until: Time,
    is_settling: bool,
    /// Whether a holder unknown to the borrowers that answer may have credit.
    must_wait: bool,
    stamp: Time,
    #[serde(rename = "short")]
    last_shortage: Option<Time>,
    unmet: u64,
    #[serde(rename = "raised")]
    floor_raised: Time,
    /// Borrowed credit whose lease ran out with its borrower's silence.
    lost: u64,
}

impl Lender {
    /// Returns the owner of a total, which starts where `mark` lets it.
    ///
    /// Without a mark nobody has ever borrowed, and the bucket is full.
    pub fn owner(
        now: Time,
        term: u64,
        limits: Limits,
        timing: Timing,
        watermark: Option<Watermark>,
    ) -> Self {
        let is_first = watermark.is_none();
        let watermark = watermark.unwrap_or(Watermark {
            floor: limits.burst,
            ..Watermark::default()
        });
        let source = Source::Accrued(Share::WHOLE);
        let mut lender = Self::new(now, term, limits, timing, source);
        lender.bucket = Bucket::new(now, term << 1, watermark.floor.min(limits.burst));
        for (centre, share) in &watermark.shares {
            let mut account = Account::new(*share);
            account.is_unknown = true;
            lender.accounts.insert(centre.clone(), account);
        }
        lender.is_settling = !is_first && !watermark.shares.is_empty();
        lender.watermarks = Some(Watermarks::new(watermark));
        lender
    }

    /// Returns a cell leader's lender, which has nothing yet.
    pub(crate) fn for_cell(now: Time, term: u64, limits: Limits, timing: Timing) -> Self {
        let mut lender = Self::new(now, term, limits, timing, Source::Borrowed);
        lender.must_wait = true;
        lender
    }

    fn new(now: Time, term: u64, limits: Limits, timing: Timing, source: Source) -> Self {
        Self {
            term,
            limits,
            timing,
            source,
            bucket: Bucket::new(now, 0, 0),
            accounts: BTreeMap::new(),
            watermarks: None,
            settling_until: now + timing.max_lease() + timing.max_overrun(),
            is_settling: false,
            must_wait: false,
            stamp: now,
            last_shortage: None,
            unmet: 0,
            floor_raised: now,
            lost: 0,
        }
    }

    /// Puts other limits in force.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.advance(now);
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

    /// Sets the share that each data centre should have when it is cut off.
    ///
    /// A share is lowered by a new session of that data centre, and raised
    /// only after others were lowered. Together they must be at most one.
    pub fn set_shares<I>(&mut self, now: Time, shares: I)
    where
        I: IntoIterator<Item = (Name, Share)>,
    {
        self.advance(now);
        for (centre, share) in shares {
            let account = self.accounts.entry(centre);
            account.or_insert_with(|| Account::new(Share::NONE)).target = share;
        }
    }

    /// Takes in a data centre's message and answers it.
    pub fn handle(&mut self, now: Time, from: &Name, request: &BorrowRequest) -> Reply {
        self.handle_request(now, from, request, self.timing.lease)
            .reply
    }

    /// Lets time pass and moves shares.
    pub fn tick(&mut self, now: Time) {
        self.advance(now);
        self.move_shares(now);
    }

    /// Returns the data centres that were told to return credit and have not
    /// asked since.
    pub fn recalled(&self) -> impl Iterator<Item = &Name> {
        let recalled = self.accounts.iter().filter(|(_, a)| a.recall);
        recalled.map(|(name, _)| name)
    }

    /// Returns the credit that nobody holds.
    pub fn balance(&self) -> u64 {
        self.bucket.balance()
    }

    /// Lets time pass: leases run out, shares part, credit accrues.
    pub(crate) fn advance(&mut self, now: Time) {
        let min_lease = self.timing.min_lease();
        let overrun = self.timing.max_overrun();
        for account in self.accounts.values_mut() {
            if account.state != State::Disconnected && now >= account.acked_stamp + min_lease {
                account.invite(State::Disconnected);
                account.recall = false;
            }
            let lost = account.expire(now, overrun);
            self.lost += lost;
        }
        self.end_settling(now);
        let Source::Accrued(share) = self.source else {
            return;
        };
        self.lost = 0;
        if self.is_settling {
            self.bucket
                .fill(now, &self.limits, Share::NONE, self.bucket.balance());
            return;
        }
        let apart = self
            .accounts
            .values()
            .filter(|a| a.state == State::Disconnected);
        let apart = apart.fold(Share::NONE, |s, a| s.saturating_add(a.held_share()));
        let cap = self.cap(share);
        self.bucket
            .fill(now, &self.limits, share.saturating_sub(apart), cap);
    }

    /// Ends the time in which a former lender's credit may be unknown.
    fn end_settling(&mut self, now: Time) {
        let is_over = now >= self.settling_until;
        let is_known = !self.accounts.values().any(|a| a.is_unknown);
        if !self.is_settling || !(is_over || (is_known && !self.must_wait)) {
            return;
        }
        self.is_settling = false;
        if let Source::Accrued(share) = self.source {
            self.bucket.trim(self.cap(share));
        }
        for account in self.accounts.values_mut() {
            account.is_unknown = false;
            account.was_autonomous = false;
        }
    }

    /// Returns the most that nobody may hold.
    fn cap(&self, share: Share) -> u64 {
        let burst = self.limits.burst;
        let reserved = self.accounts.values().map(|a| a.reserved(burst));
        let reserved = reserved.fold(0, u64::saturating_add);
        share.of(burst).saturating_sub(reserved)
    }
}

//! The lender's side of a budget: the owner towards the data centres, and a
//! cell leader towards its routers.

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
    /// It accrues in the lender, at this share of the rate and up to this share
    /// of the burst.
    Accrued(Share),
    /// It is borrowed from another lender.
    Borrowed,
}

/// The result of a borrower's request.
#[derive(Debug)]
pub(crate) struct Handled {
    pub(crate) reply: Reply,
    /// Uses of borrowed credit, to be forwarded to the lender that it came
    /// from.
    pub(crate) entries: Vec<EntryKind>,
}

/// Lends the credit of one total under leases, never more than the total.
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
    /// When every lease granted by a previous lender has expired.
    #[serde(rename = "settled")]
    settling_until: Time,
    is_settling: bool,
    /// Whether credit may be held by a holder that none of the connected
    /// borrowers knows of.
    must_wait: bool,
    stamp: Time,
    #[serde(rename = "short")]
    last_shortage: Option<Time>,
    #[serde(rename = "unmet")]
    unmet_need: u64,
    #[serde(rename = "raised")]
    floor_raised: Time,
    /// Borrowed credit whose lease expired because its borrower did not renew
    /// it.
    lost: u64,
}

impl Lender {
    /// Returns the owner of a total, which starts with the floor of the last
    /// committed watermark.
    ///
    /// Without a watermark nobody has borrowed yet, so the bucket is full.
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
            account.has_unknown_credit = true;
            lender.accounts.insert(centre.clone(), account);
        }
        lender.is_settling = !is_first && !watermark.shares.is_empty();
        lender.watermarks = Some(Watermarks::new(watermark));
        lender
    }

    /// Returns a cell leader's lender, without credit.
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
            unmet_need: 0,
            floor_raised: now,
            lost: 0,
        }
    }

    /// Applies new limits.
    pub fn set_limits(&mut self, now: Time, limits: Limits) {
        self.advance(now);
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

    /// Sets the share that each data centre may use when it is disconnected.
    ///
    /// Lowering a share requires a new session with that data centre. A share
    /// is raised only after others were lowered. The shares must sum up to at
    /// most one.
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

    /// Processes a data centre's request and returns the reply.
    pub fn handle(&mut self, now: Time, from: &Name, request: &BorrowRequest) -> Reply {
        self.handle_request(now, from, request, self.timing.lease)
            .reply
    }

    /// Advances the time and moves shares between data centres.
    pub fn tick(&mut self, now: Time) {
        self.advance(now);
        self.move_shares(now);
    }

    /// Returns the data centres from which credit is recalled and that have not
    /// acknowledged the recall yet.
    pub fn recalled(&self) -> impl Iterator<Item = &Name> {
        let recalled = self.accounts.iter().filter(|(_, a)| a.recall);
        recalled.map(|(name, _)| name)
    }

    /// Returns the credit that is not lent to anyone.
    pub fn balance(&self) -> u64 {
        self.bucket.balance()
    }

    /// Advances the time: expires leases, disconnects borrowers that did not
    /// renew them, and accrues credit.
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
        let disconnected = self
            .accounts
            .values()
            .filter(|a| a.state == State::Disconnected);
        let disconnected = disconnected.fold(Share::NONE, |s, a| s.saturating_add(a.held_share()));
        let cap = self.cap(share);
        self.bucket
            .fill(now, &self.limits, share.saturating_sub(disconnected), cap);
    }

    /// Ends the settling period if all credit that a previous lender lent is
    /// known or has expired.
    fn end_settling(&mut self, now: Time) {
        let is_over = now >= self.settling_until;
        let is_known = !self.accounts.values().any(|a| a.has_unknown_credit);
        if !self.is_settling || !(is_over || (is_known && !self.must_wait)) {
            return;
        }
        self.is_settling = false;
        if let Source::Accrued(share) = self.source {
            self.bucket.trim(self.cap(share));
        }
        for account in self.accounts.values_mut() {
            account.has_unknown_credit = false;
            account.was_autonomous = false;
        }
    }

    /// Returns the maximum balance: the share of the burst that is not reserved
    /// for borrowers.
    fn cap(&self, share: Share) -> u64 {
        let burst = self.limits.burst;
        let reserved = self.accounts.values().map(|a| a.reserved(burst));
        let reserved = reserved.fold(0, u64::saturating_add);
        share.of(burst).saturating_sub(reserved)
    }
}

use crate::{Entry, Share, Tag};
use sequoiawing_types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A message from a borrower to its lender: reports use and requests credit.
///
/// Messages may be lost, duplicated or reordered: counters only grow within a
/// session, and entries are numbered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct BorrowRequest {
    /// The term of the lender that the borrower follows.
    #[serde(rename = "lender")]
    pub lender_term: u64,
    /// The invitation to a session that the borrower has accepted; zero for
    /// none.
    #[serde(rename = "join")]
    pub invitation: u64,
    /// The borrower's session. A later session replaces an earlier one.
    pub session: u64,
    /// The newest stamp received from this lender, on the lender's clock.
    pub stamp: Time,
    /// When the message was sent, on the borrower's clock; echoed in the reply.
    pub sent: Time,
    /// The credit that the borrower held at the start of the session.
    pub balance: u64,
    /// Whether the borrower has accrued credit autonomously since a lender last
    /// confirmed a session.
    #[serde(rename = "alone")]
    pub autonomous: bool,
    /// Whether the borrower took over so recently that a lease of its
    /// predecessor may still be valid.
    #[serde(rename = "fresh")]
    pub recent_takeover: bool,
    /// Journal entries that the lender has not yet acknowledged.
    pub entries: Vec<Entry>,
    /// The total credit returned in this session.
    pub returned: u64,
    /// When the borrower first reported this need, on its own clock. It
    /// identifies the need, so that the lender grants it only once.
    #[serde(rename = "told")]
    pub need_since: Time,
    /// The tokens that all waiting requests together lack.
    pub need: u64,
    /// The tokens that the first waiting request lacks.
    #[serde(rename = "head")]
    pub head_need: u64,
    /// The credit that the borrower would like to hold in addition.
    pub want: u64,
}

/// The status of a borrower's need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NeedStatus {
    /// There was no need, or it was granted.
    #[default]
    Met,
    /// It may be granted within milliseconds, because other borrowers were told
    /// to return credit.
    Pending,
    /// The credit has to accrue first.
    Unmet,
}

/// A lender's reply to a [`BorrowRequest`].
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Reply {
    /// The lender's term. A borrower follows the lender with the highest one.
    #[serde(rename = "lender")]
    pub lender_term: u64,
    /// The invitation that the borrower must accept before it may hold credit.
    #[serde(rename = "join")]
    pub invitation: u64,
    /// The session that the counters below belong to.
    pub session: u64,
    /// Whether the lender has accepted that session.
    pub joined: bool,
    /// Whether the lender knows how much it may lend. A lender that has just
    /// taken over does not, so a missing grant does not mean that the customer
    /// is over its limit.
    pub ready: bool,
    /// Whether a successor of the lender would also account for the credit that
    /// the borrower accrued autonomously.
    #[serde(rename = "clean")]
    pub durable: bool,
    /// The time on the lender's clock; no two replies have the same stamp.
    pub stamp: Time,
    /// When the request was sent, on the borrower's clock.
    pub sent: Time,
    /// How long after `sent` the credit is valid.
    pub lease: Duration,
    /// The total credit granted in this session.
    pub granted: u64,
    /// The ID of the last journal entry that the lender has applied.
    pub applied: u64,
    /// The tag of charges from now on.
    pub tag: Tag,
    /// The share that the borrower accrues when it is disconnected.
    pub share: Share,
    /// Whether the borrower must return credit that it does not need.
    pub recall: bool,
    /// The status of the need.
    pub need: NeedStatus,
    /// How long until the first waiting request may be granted.
    pub retry: Duration,
}

use crate::{Entry, Share, Tag};
use sequoiawing_types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a borrower tells and asks its lender.
///
/// Lost, repeated and reordered messages do no harm: counters only grow within
/// a session, and entries are numbered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct BorrowRequest {
    /// The lender's term that the borrower follows.
    #[serde(rename = "lender")]
    pub lender_term: u64,
    /// The invitation that the borrower has accepted; zero for none.
    #[serde(rename = "join")]
    pub invitation: u64,
    /// The borrower's session; a later one replaces it.
    pub session: u64,
    /// The newest stamp heard from this lender, on the lender's clock.
    pub stamp: Time,
    /// When this was sent, on the borrower's clock; echoed.
    pub sent: Time,
    /// The credit that the borrower held when its session started.
    pub balance: u64,
    /// Whether the borrower has accrued credit by itself since a lender last
    /// confirmed a session.
    #[serde(rename = "alone")]
    pub autonomous: bool,
    /// Whether the borrower took over so recently that a predecessor's lease
    /// may still be running.
    #[serde(rename = "fresh")]
    pub recent_takeover: bool,
    /// What was done with credit and is not known to be applied.
    pub entries: Vec<Entry>,
    /// The credit returned in this session.
    pub returned: u64,
    /// When the lender was first told of this need, on the borrower's clock; a
    /// need is met once.
    #[serde(rename = "told")]
    pub need_since: Time,
    /// The tokens that waiting requests are short of.
    pub need: u64,
    /// The tokens that the first waiting request is short of.
    #[serde(rename = "head")]
    pub head_need: u64,
    /// The credit that the borrower would like to hold beyond that.
    pub want: u64,
}

/// What became of a borrower's need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NeedStatus {
    /// There was none, or it was granted.
    #[default]
    Met,
    /// It may be granted within milliseconds, because others were told to
    /// return credit.
    Pending,
    /// It has to accrue first.
    Unmet,
}

/// What a lender answers.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own about the session"
)]
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Reply {
    /// The lender's term; a borrower follows the highest.
    #[serde(rename = "lender")]
    pub lender_term: u64,
    /// The invitation that the borrower must have accepted to hold credit.
    #[serde(rename = "join")]
    pub invitation: u64,
    /// The session that the counters below belong to.
    pub session: u64,
    /// Whether the lender counts on that session.
    pub joined: bool,
    /// Whether the lender knows what it may lend. It does not yet when it has
    /// just taken over, so that its silence says nothing about the customer.
    pub ready: bool,
    /// Whether a successor of the lender would know what the lender knows of
    /// the time in which the borrower accrued by itself.
    #[serde(rename = "clean")]
    pub durable: bool,
    /// The lender's clock, which never shows the same stamp twice.
    pub stamp: Time,
    /// When the ask was sent, on the borrower's clock.
    pub sent: Time,
    /// How long after `sent` the credit may be used.
    pub lease: Duration,
    /// The credit granted in this session.
    pub granted: u64,
    /// The last entry that the lender has applied.
    pub applied: u64,
    /// What charges from now on carry.
    pub tag: Tag,
    /// The share that the borrower accrues when it is cut off.
    pub share: Share,
    /// Whether the borrower must return what it does not need.
    pub recall: bool,
    /// What became of the need.
    pub need: NeedStatus,
    /// When the first waiting request may be granted.
    pub retry: Duration,
}

use super::{Lender, State};
use crate::{Limits, Share};
use sequoiawing_types::{Name, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A budget as its owner knows it, for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LenderView {
    /// The total.
    pub limits: Limits,
    /// The credit that nobody holds.
    pub balance: u64,
    /// Whether the owner lends; it does not while it waits for former leases.
    pub lending: bool,
    /// What the data centres hold.
    pub centres: Vec<AccountView>,
}

/// What a data centre holds of a budget.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct AccountView {
    /// The data centre.
    pub centre: Name,
    /// Whether the owner hears from it; if not, it may use its cut-off share.
    pub connected: bool,
    /// The credit that is lent to it and not known to be spent.
    pub lent: u64,
    /// The share that it may use when it is cut off.
    pub share: Share,
    /// How long ago the last message that it acknowledged was sent, in
    /// milliseconds.
    pub heard: Option<u64>,
}

impl Lender {
    /// Returns what operators need to know.
    pub fn view(&self, now: Time) -> LenderView {
        let centres = self.accounts.iter().map(|(name, account)| AccountView {
            centre: name.clone(),
            connected: account.state == State::Joined,
            lent: account.lent + account.replaced_credit(),
            share: account.held_share(),
            heard: (account.acked_stamp > Time::ZERO)
                .then(|| millis(now.since(account.acked_stamp))),
        });
        LenderView {
            limits: self.limits,
            balance: self.bucket.balance(),
            lending: !self.is_settling,
            centres: centres.collect(),
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

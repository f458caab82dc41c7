use super::{Lender, State};
use crate::{Limits, Share};
use sequoiawing_types::{Name, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The state of a budget at its owner, for operators.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LenderView {
    /// The limits of the total.
    pub limits: Limits,
    /// The credit that is not lent to anyone.
    pub balance: u64,
    /// Whether the owner lends. It does not while it waits for leases of a
    /// previous owner to expire.
    pub lending: bool,
    /// The accounts of the data centres.
    pub centres: Vec<AccountView>,
}

/// A data centre's part of a budget.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct AccountView {
    /// The name of the data centre.
    pub centre: Name,
    /// Whether the data centre has an active session; if not, it may use its
    /// share.
    pub connected: bool,
    /// The credit that is lent to the data centre and not known to be spent.
    pub lent: u64,
    /// The share that the data centre may use when it is disconnected.
    pub share: Share,
    /// The age of the last reply that the data centre has acknowledged, in
    /// milliseconds.
    pub heard: Option<u64>,
}

impl Lender {
    /// Returns the state of the budget for operators.
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

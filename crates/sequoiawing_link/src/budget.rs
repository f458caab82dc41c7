use sequoiawing_budget::{BorrowRequest, Reply};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// A batch of requests from a borrower to one lender, for several budgets.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct BudgetBatch {
    /// The borrower: a host if sent to its cell leader, a data centre if sent to
    /// the owner of the budgets.
    pub borrower: Name,
    /// The requests by budget.
    pub asks: Vec<(Name, BorrowRequest)>,
}

/// The replies by budget, or `None` if the receiver is not the leader.
pub type BudgetReplies = Option<Vec<(Name, Reply)>>;

use sequoiawing_budget::{BorrowRequest, Reply};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// What a borrower asks of one lender, for several budgets at once.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct BudgetBatch {
    /// The borrower: a host to its cell leader, a data centre to the owner.
    pub borrower: Name,
    /// The messages by budget.
    pub asks: Vec<(Name, BorrowRequest)>,
}

/// The answers by budget; nothing when the process that was asked does not
/// lead.
pub type BudgetReplies = Option<Vec<(Name, Reply)>>;

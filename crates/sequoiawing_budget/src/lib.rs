//! Distributed quotas: limits on customer tokens, load starts and slots in
//! flight that all hosts together must not exceed.
//!
//! A [`Lender`] owns a total and lends credit under leases. The controller that
//! leads the log runs one lender per budget. The cell leader of a data centre
//! borrows from it and lends to its routers ([`CentreBudget`]), and each router
//! spends from a [`RouterBudget`]. All three are state machines without I/O:
//! the caller passes in the time and each message. See
//! [docs/design/budgets.md](../../../docs/design/budgets.md).

mod admission;
mod borrower;
mod bucket;
mod centre_budget;
mod centre_slots;
mod journal;
mod lender;
mod limits;
mod message;
mod router_budget;
mod share;

pub use admission::{Admission, Decision, Denial};
pub use bucket::Tag;
pub use centre_budget::CentreBudget;
pub use centre_slots::CentreSlots;
pub use journal::{Entry, EntryKind};
pub use lender::{AccountView, Lender, LenderView, Watermark};
pub use limits::{Limits, Refill, Timing};
pub use message::{BorrowRequest, NeedStatus, Reply};
pub use router_budget::{Charge, ChargeError, RouterBudget};
pub use share::Share;

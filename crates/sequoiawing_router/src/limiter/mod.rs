//! Limits customers to their rate and burst.

mod local;
mod shared;

pub use local::LocalLimiter;
pub(crate) use shared::SharedLimiter;

use sequoiawing_budget::{Charge, Denial};
use sequoiawing_tables::Customer;
use sequoiawing_types::{Name, Time};
use std::{future::Future, pin::Pin};

/// Tokens that are reserved for a request until its response has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// The customer.
    pub customer: Name,
    /// The reserved tokens.
    pub tokens: u64,
    /// The charge to the shared budget, if the limiter uses one.
    pub charge: Option<Charge>,
}

/// The future of a reservation or of its denial.
pub type ReserveFuture<'a> = Pin<Box<dyn Future<Output = Result<Reservation, Denial>> + Send + 'a>>;

/// Limits customers to their rate and burst.
pub trait Limiter: Send + Sync {
    /// Reserves tokens for a request.
    fn reserve<'a>(&'a self, now: Time, customer: &'a Customer, tokens: u64) -> ReserveFuture<'a>;

    /// Refunds the reserved tokens that a request did not use.
    fn settle(&self, now: Time, reservation: Reservation, used: u64);
}

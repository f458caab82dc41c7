//! Keeps the requests of all hosts within the rate that an upstream names.
//!
//! A host sends a request to a limited upstream only with a token. One issuer, at the
//! leader, hands out tokens at the named rate to the hosts that have requests, and takes
//! back what they do not use. See
//! [docs/design/upstream-limits.md](../../../../../docs/design/upstream-limits.md).

mod holder;
mod issuer;
mod named_limit;
mod rate;

pub use holder::{TokenHolder, TokenReport};
pub use issuer::{GrantedTokens, LimitReport, LimitedUpstream, NamedRate, TokenIssuer};
pub use named_limit::NamedLimit;
pub use rate::RequestRate;

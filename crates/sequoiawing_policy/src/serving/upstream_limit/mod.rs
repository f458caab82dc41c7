//! Keeps the requests of all hosts within the rate that an upstream names.
//!
//! A host sends a request to a limited upstream only with a token. One issuer, at the
//! leader, hands out tokens at the named rate to the hosts that have requests, and takes
//! back what they do not use. See
//! [docs/design/upstream-limits.md](../../../../../docs/design/upstream-limits.md).

mod holder;
mod host_limit;
mod issuer;
mod named_limit;
mod rate;

pub use holder::{TokenHolder, TokenReport};
pub(super) use host_limit::HostLimit;
pub use host_limit::{HostLimitReport, ToldLimit};
pub use issuer::{GrantedTokens, LimitReport, LimitedUpstream, TokenIssuer};
pub use named_limit::{NamedLimit, NamedRate};

//! Versioned configurations that operators replace as a whole.
//!
//! A [`Catalog`] holds the data needed to serve requests and place models:
//! routes, pools with their models, and customers with their keys. The highest
//! version is in force. The crate performs no I/O; see
//! [docs/design/platform.md](../../../docs/design/platform.md).

mod catalog;
mod check;
mod customer;
mod index;
mod pool;
mod route;

pub use catalog::{CallerLimits, Catalog, Document};
pub use customer::{CatalogCustomer, RateUnit};
pub use index::CatalogIndex;
pub use pool::{CatalogPool, ColdPhase, Engine, ModelSpec};
pub use route::{CatalogRoute, RetryPolicy, Target};

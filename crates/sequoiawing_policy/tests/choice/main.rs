//! How dispatchers choose upstreams from late, missing and stale reports, and
//! what they send to upstreams that fail.

mod failures;
mod fleet;
mod reports;

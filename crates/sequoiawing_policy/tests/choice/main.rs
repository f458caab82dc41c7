//! Tests how dispatchers choose upstreams from late, missing and stale reports,
//! and how they treat failing upstreams.

mod failures;
mod fleet;
mod reports;

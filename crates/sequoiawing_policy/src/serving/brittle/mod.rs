//! Keeps upstreams from falling over that can reject only a few requests a second.
//!
//! A brittle upstream names its tolerance in its answers. A host sends a request there
//! only with a place, which the leader's hub gives out for all hosts. See
//! [docs/design/brittle-upstreams.md](../../../../../docs/design/brittle-upstreams.md).

mod balance;
mod place_holder;
mod place_keeper;
mod recent_count;
mod room;

pub use place_holder::{EndedPlace, PlaceHolder};
pub use place_keeper::{HeldPlace, PlaceKeeper, PlaceSettings};

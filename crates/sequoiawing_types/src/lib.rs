//! Basic types that all `sequoiawing` crates share, such as names and times.
//!
//! The crate performs no I/O, so that the decision logic built on it can run in
//! virtual time. See [docs/ARCHITECTURE.md](../../../docs/ARCHITECTURE.md).

mod crash_cause;
mod findings;
mod name;
mod ran;
mod request_id;
mod request_rate;
mod time;

pub use crash_cause::{CauseKind, CrashCause};
pub use findings::{Finding, Findings};
pub use name::Name;
pub use ran::Ran;
pub use request_id::RequestId;
pub use request_rate::RequestRate;
pub use time::Time;

/// The types that most crates import.
pub mod prelude {
    pub use crate::{Finding, Findings, Name, Ran, RequestId, Time};
}

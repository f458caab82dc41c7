//! The checks that CI and contributors share.
//!
//! See [CONTRIBUTING.md](../../../CONTRIBUTING.md).

mod known_failures;
mod lines;
mod test_run;

pub use known_failures::{KnownFailure, KnownFailures};
pub use lines::{LineCount, LineCounts};
pub use test_run::{TestRun, Verdict};

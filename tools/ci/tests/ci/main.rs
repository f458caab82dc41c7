//! Tests of the checks that CI and contributors share.

mod known_failures;
mod lines;
mod verdict;

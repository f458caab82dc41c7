//! Injected faults, each of which the checker must detect.

mod harness;

use harness::{
    Fault,
    random_faults::{run_lease_faults, run_random_faults, run_term_faults},
};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The maximum number of seeds to try until the fault is detected.
const SEEDS: u64 = 200;

/// Runs seeds with an injected fault, and returns `true` if the checker fails with
/// one of the expected messages.
fn is_reported<T>(run_seed: T, fault: Fault, reports: &[&str]) -> bool
where
    T: Fn(u64, Fault),
{
    (0..SEEDS).any(|seed| {
        let run = catch_unwind(AssertUnwindSafe(|| run_seed(seed, fault)));
        let Err(problem) = run else {
            return false;
        };
        let text = problem.downcast_ref::<String>().cloned();
        let text = text.unwrap_or_default();
        println!("seed {seed}: {text}");
        reports.iter().any(|report| text.contains(report))
    })
}

macro_rules! injected_faults {
    ($($name:ident: $run:expr, $fault:expr, $reports:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(is_reported($run, $fault, &$reports), "the checker must detect the fault");
        }
    )*};
}

injected_faults! {
    a_vote_that_was_not_synced: run_random_faults, Fault::VoteNotSynced, ["one leader in term"];
    a_lease_that_was_not_waited_out: run_lease_faults, Fault::LeaseNotWaited, ["leases overlap"];
    a_commit_of_an_older_term: run_term_faults, Fault::OlderTermCommitted,
        ["leader completeness", "committed entries are never lost"];
    a_lost_disk_that_votes: run_random_faults, Fault::LostDiskVotes,
        ["leader completeness", "committed entries are never lost"];
}

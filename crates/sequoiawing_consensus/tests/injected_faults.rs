//! Planted faults, each of which the checker must report.

mod harness;

use harness::{
    Fault,
    random_faults::{run_lease_faults, run_random_faults, run_term_faults},
};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// How many seeds may pass before the fault is seen.
const SEEDS: u64 = 200;

/// Runs with a planted fault until the checker reports it in one of these words.
fn is_reported<T>(run_random_faults: T, fault: Fault, reports: &[&str]) -> bool
where
    T: Fn(u64, Fault),
{
    (0..SEEDS).any(|seed| {
        let run = catch_unwind(AssertUnwindSafe(|| run_random_faults(seed, fault)));
        let Err(problem) = run else {
            return false;
        };
        let text = problem.downcast_ref::<String>().cloned();
        let text = text.unwrap_or_default();
        println!("seed {seed}: {text}");
        reports.iter().any(|report| text.contains(report))
    })
}

macro_rules! plants {
    ($($name:ident: $run_random_faults:expr, $fault:expr, $reports:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(is_reported($run_random_faults, $fault, &$reports), "the checker misses the fault");
        }
    )*};
}

plants! {
    a_vote_that_was_not_synced: run_random_faults, Fault::VoteNotSynced, ["one leader in term"];
    a_lease_that_was_not_waited_out: run_lease_faults, Fault::LeaseNotWaited, ["leases overlap"];
    a_commit_of_an_older_term: run_term_faults, Fault::OlderTermCommitted,
        ["leader completeness", "committed entries are never lost"];
    a_lost_disk_that_votes: run_random_faults, Fault::LostDiskVotes,
        ["leader completeness", "committed entries are never lost"];
}

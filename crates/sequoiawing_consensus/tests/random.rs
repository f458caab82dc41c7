//! Random faults with fixed seeds; the safety properties are checked at each step.

mod harness;

use harness::{
    Fault,
    random_faults::{run_lease_faults, run_random_faults, run_term_faults},
};
use std::panic::{AssertUnwindSafe, catch_unwind};

macro_rules! seeds {
    ($($name:ident: $run:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                let run = catch_unwind(AssertUnwindSafe(|| $run(seed, Fault::None)));
                assert!(run.is_ok(), "seed {seed} failed");
            }
        }
    )*};
}

seeds! {
    all_faults_1: run_random_faults, 0..75;
    all_faults_2: run_random_faults, 75..150;
    all_faults_3: run_random_faults, 150..225;
    all_faults_4: run_random_faults, 225..300;
    cut_leaders_and_restarts: run_lease_faults, 0..40;
    competing_terms: run_term_faults, 0..40;
}

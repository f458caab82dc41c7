//! Tests of the verdicts on test runs.

use ci::{KnownFailures, TestRun, Verdict};

const LISTED: &str = "cell::cut | cargo test -p x, seed 7 | two leaders | 4";

const ALL_PASS: &str = "
     Running tests/cell.rs (target/debug/deps/cell-0123456789abcdef)
test cut ... ok
test result: ok. 1 passed; 0 failed
";

const LISTED_FAILS: &str = "
     Running tests/cell.rs (target/debug/deps/cell-0123456789abcdef)
test cut ... FAILED
test other ... ok
test result: FAILED. 1 passed; 1 failed
error: test failed, to rerun pass `-p x --test cell`
";

const ANOTHER_FAILS_TOO: &str = "
     Running tests/cell.rs (target/debug/deps/cell-0123456789abcdef)
test cut ... FAILED
test other ... FAILED
test result: FAILED. 0 passed; 2 failed
";

const SAME_NAME_IN_ANOTHER_TARGET: &str = "
     Running unittests src/lib.rs (target/debug/deps/sequoiawing_cell-0123456789abcdef)
test cut ... FAILED
test result: FAILED. 0 passed; 1 failed
";

const NO_RESULT: &str = "
     Running tests/cell.rs (target/debug/deps/cell-0123456789abcdef)
test cut ... FAILED
error: test failed, to rerun pass `-p x --test cell`
     Running tests/link.rs (target/debug/deps/link-0123456789abcdef)
test result: ok. 0 passed; 0 failed
";

const COMPILER_ERROR: &str = "
error[E0308]: mismatched types
error: could not compile `x` (lib) due to 1 previous error
";

const DOC_TEST_FAILS: &str = "
   Doc-tests sequoiawing_types
test crates/x/src/name.rs - name::Name (line 9) ... FAILED
test result: FAILED. 0 passed; 1 failed
";

/// Generates a test per output of cargo of the verdict, given whether cargo
/// succeeded.
macro_rules! verdicts {
    ($($name:ident: $output:expr, $succeeded:expr => $verdict:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let known = KnownFailures::parse(LISTED).expect("the list is valid");
                let mut run = TestRun::default();
                $output.lines().for_each(|line| run.read_line(line));
                run.finish();
                assert_eq!(run.evaluate($succeeded, &known), $verdict);
            }
        )*
    };
}

fn failed(cause: &str) -> Verdict {
    Verdict::Failed(vec![cause.to_owned()])
}

verdicts! {
    all_tests_pass: ALL_PASS, true => Verdict::Passed;
    a_listed_test_fails: LISTED_FAILS, false =>
        Verdict::KnownFailuresOnly(vec!["cell::cut".to_owned()]);
    another_test_fails_too: ANOTHER_FAILS_TOO, false => failed("cell::other");
    the_same_name_in_another_target: SAME_NAME_IN_ANOTHER_TARGET, false =>
        failed("sequoiawing_cell::cut");
    a_target_without_a_result: NO_RESULT, false => failed("cell printed no test result");
    a_compiler_error: COMPILER_ERROR, false => failed("cargo failed without a failed test");
    a_doc_test: DOC_TEST_FAILS, false =>
        failed("doc-sequoiawing_types::crates/x/src/name.rs - name::Name (line 9)");
}

#[test]
fn a_listed_test_that_passes_is_reported_as_fixed() {
    let known = KnownFailures::parse(LISTED).expect("the list is valid");
    let mut run = TestRun::default();
    ALL_PASS.lines().for_each(|line| run.read_line(line));
    assert_eq!(run.fixed(&known), ["cell::cut"]);
}

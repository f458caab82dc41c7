//! Tests of the distinction between lines of code and lines of tests.

use ci::{LineCount, LineCounts};

#[test]
fn tests_are_distinguished_from_code_by_path() {
    let mut counts = LineCounts::default();
    counts.add_file("crates/a/src/lib.rs", 10);
    counts.add_file("crates/a/src/part/tests.rs", 3);
    counts.add_file("crates/a/tests/a/main.rs", 4);
    counts.add_file("tests/support/mod.rs", 5);
    counts.add_file("src/demo.rs", 6);
    counts.add_file("tools/ci/src/main.rs", 7);
    let count_of = |name: &str| counts.0[name];
    assert_eq!(count_of("a"), LineCount { code: 10, tests: 7 });
    assert_eq!(count_of("sequoiawing"), LineCount { code: 6, tests: 5 });
    assert_eq!(count_of("ci"), LineCount { code: 7, tests: 0 });
    assert_eq!(
        counts.total(),
        LineCount {
            code: 23,
            tests: 12
        }
    );
}

//! Tests of parsing the list of known failures.

use ci::KnownFailures;

#[test]
fn an_entry_has_four_columns() {
    let text =
        "# a comment\n\ncell::scripted::cut | cargo test -p x -- cut, seed 7 | two leaders | 4\n";
    let known = KnownFailures::parse(text).expect("the list is valid");
    assert!(known.contains("cell::scripted::cut"));
    assert_eq!(
        known.entries[0].to_string(),
        "cell::scripted::cut (4): two leaders; cargo test -p x -- cut, seed 7"
    );
}

/// Generates a test per line that must be rejected.
macro_rules! invalid_lines {
    ($($name:ident: $line:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let findings = KnownFailures::parse($line).expect_err("the line is invalid");
                assert!(findings[0].starts_with("KNOWN-RED.txt:1: "), "{findings:?}");
            }
        )*
    };
}

invalid_lines! {
    only_a_test: "cell::scripted::cut";
    an_empty_column: "cell::scripted::cut | | two leaders | 4";
    a_target_without_a_test: "cell | cargo test -p cell | two leaders | 4";
    too_many_columns: "a::b | c | d | 4 | more";
}

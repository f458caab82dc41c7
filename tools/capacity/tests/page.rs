//! Checks docs/CAPACITY.md against the output of this tool.

use capacity::{CapacityInputs, input_table, replace_section};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// Only the fixed inputs are compared, because measured figures differ between
/// runs.
#[test]
fn the_page_has_the_inputs_of_the_tool() {
    let written = replace_section(PAGE, "inputs", &input_table(&CapacityInputs::default()));
    assert_eq!(
        written.as_deref(),
        Some(PAGE),
        "run `cargo run --release -p capacity -- --write docs/CAPACITY.md`"
    );
}

#[test]
fn the_page_has_every_measured_section() {
    for section in ["slopes", "summary", "built", "planned", "spread"] {
        let begin = format!("<!-- {section}: begin -->\n|");
        let table = format!("<!-- {section}: begin -->\n**");
        assert!(
            PAGE.contains(&begin) || PAGE.contains(&table),
            "the section '{section}' is missing or empty"
        );
    }
}

#[test]
fn a_page_without_markers_is_not_written() {
    assert_eq!(replace_section("# Capacity\n", "inputs", "text\n"), None);
}

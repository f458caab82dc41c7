//! Tests of the changes that apply shows and the findings that it reports.

use sequoiawing_ctl::{Report, TableFile, read_tables};
use sequoiawing_settings::parse;
use sequoiawing_tables::{Change, Command, Tables};
use sequoiawing_types::RequestId;

const BEFORE: &str = r#"{
    "customers": [{ "name": "daily", "rate": 1000 }, { "name": "weekly" }],
    "pools": [{ "name": "captions", "models": [
        { "name": "caption", "memory": 8000, "adapters": ["oshiwambo", "afrikaans"] }
    ] }],
    "routes": [{ "name": "captions", "prefix": "/v1", "pool": "captions",
        "access": { "customers": ["daily"] } }]
}"#;

const AFTER: &str = r#"{
    "customers": [{ "name": "daily", "rate": 2000 }, { "name": "monthly" }],
    "pools": [{ "name": "captions", "models": [
        { "name": "caption", "memory": 8000, "adapters": ["oshiwambo", "damara"] },
        { "name": "translate", "memory": 9000 }
    ] }],
    "routes": [{ "name": "captions", "prefix": "/v1", "pool": "captions",
        "access": "open" }]
}"#;

fn file(text: &str) -> TableFile {
    parse("tables.json", text).expect("the table file is valid")
}

fn tables(text: &str) -> Tables {
    let mut tables = Tables::default();
    let changes: Vec<Change> = file(text).changes_from(&tables, false);
    tables.apply(Command::Edit {
        request: RequestId::from("first"),
        base: None,
        changes,
    });
    tables
}

fn lines(prune: bool) -> String {
    let differences = file(AFTER).differences_from(&tables(BEFORE), prune);
    let differences = differences.expect("the tables can be compared");
    let lines: Vec<String> = differences.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn each_field_that_differs_is_shown() {
    insta::assert_snapshot!(lines(false));
}

#[test]
fn deletions_are_shown_only_with_prune() {
    let pruned = lines(true);
    assert!(pruned.contains("- customers.weekly"), "{pruned}");
    assert!(!lines(false).contains("weekly"));
}

#[test]
fn an_unchanged_file_has_no_differences() {
    let tables = tables(BEFORE);
    let differences = TableFile::from_tables(&tables).differences_from(&tables, true);
    assert_eq!(differences.expect("the tables can be compared"), []);
    assert_eq!(
        TableFile::from_tables(&tables).changes_from(&tables, true),
        []
    );
}

#[test]
fn every_finding_has_its_place() {
    let text = r#"{
        "customers": [{ "name": "daily" }, { "name": "daily" }],
        "pools": [{ "name": "captions", "models": [{ "name": "caption", "memory": 0 }] }],
        "routes": [{ "name": "captions", "prefix": "v1", "pool": "captoins",
            "access": { "customers": ["dayly"] } }]
    }"#;
    insta::assert_snapshot!(file(text).check("tables.json").to_string());
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let error = read_tables("no-such-file.json".as_ref()).expect_err("the file is missing");
    assert!(
        error.to_string().starts_with("no-such-file.json: "),
        "{error}"
    );
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn an_empty_change_reports_the_current_revision() {
    let report = sequoiawing_ctl::ApplyReport {
        base: sequoiawing_tables::Revision(4),
        accepted: None,
        changes: Vec::new(),
    };
    assert_eq!(report.text(), "nothing to change; r4 is in force");
}

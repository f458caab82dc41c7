//! The table at the end of a run.

use crate::judge::{Promise, Verdict};
use comfy_table::Table;

/// The findings of a promise that are printed.
const PRINTED: usize = 5;

/// Prints promises, checks and findings.
pub(crate) fn print(seed: u64, verdict: &Verdict) {
    let mut table = Table::new();
    table.set_header(["promise", "checks", "findings"]);
    let promises = [
        Promise::Budget,
        Promise::Order,
        Promise::Mixed,
        Promise::Refused,
        Promise::Twice,
        Promise::Limit,
        Promise::Lost,
        Promise::Drain,
    ];
    for promise in promises {
        let checks = verdict.checks.get(&promise).copied().unwrap_or_default();
        let findings: Vec<_> = verdict
            .findings
            .iter()
            .filter(|f| f.promise == promise)
            .collect();
        table.add_row([
            promise.to_string(),
            checks.to_string(),
            findings.len().to_string(),
        ]);
        for finding in findings.iter().take(PRINTED) {
            println!("{promise}: {}", finding.what);
        }
    }
    println!("seed {seed}\n{table}");
}

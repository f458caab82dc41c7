//! Reads settings from JSON and reports every finding with its place in the text.
//!
//! Unknown fields are errors: a misspelt field would otherwise silently keep its
//! default.

mod parse;

pub use parse::parse;

use parse::parse_all;
use sequoiawing_types::Findings;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Validation of settings after they were parsed.
pub trait Check {
    /// Adds a finding for each invalid value.
    fn check(&self, findings: &mut Findings);
}

/// Reads and validates settings from a JSON file.
///
/// # Errors
///
/// Returns all findings, each with a place that starts with the path of the file:
/// a failure to read the file, syntax and type errors, unknown fields, and the
/// findings of [`Check::check`].
pub fn read_file<S>(path: &Path) -> Result<S, Findings>
where
    S: Check + DeserializeOwned,
{
    let place = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| single_finding(&place, &e.to_string()))?;
    let (settings, mut findings) = parse_all::<S>(&place, &text);
    let Some(settings) = settings else {
        return Err(findings);
    };
    let mut checked = Findings::default();
    settings.check(&mut checked);
    for finding in &checked {
        findings.push(format!("{place}: {}", finding.place), &finding.problem);
    }
    findings.into_result()?;
    Ok(settings)
}

fn single_finding(place: &str, problem: &str) -> Findings {
    let mut findings = Findings::default();
    findings.push(place, problem);
    findings
}

use crate::{CtlError, Difference, OperatorClient, Report, TableFile, diff::diff};
use sequoiawing_tables::{Change, Command, Outcome, Revision, Tables};
use sequoiawing_types::{Findings, RequestId};
use serde::Serialize;
use std::path::Path;

/// The changes that an apply made, or would make.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ApplyReport {
    /// The revision that the changes are based on.
    pub base: Revision,
    /// The new revision; `None` if nothing was changed.
    pub accepted: Option<Revision>,
    /// The fields that differ.
    pub changes: Vec<Difference>,
}

impl Report for ApplyReport {
    fn text(&self) -> String {
        let mut lines: Vec<String> = self.changes.iter().map(ToString::to_string).collect();
        lines.push(match self.accepted {
            Some(revision) => format!("accepted as {revision}"),
            None if self.changes.is_empty() => {
                format!("nothing to change; {} is in force", self.base)
            }
            None => format!("not applied; {} is in force", self.base),
        });
        lines.join("\n")
    }
}

/// Options for applying a file.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ApplyOptions {
    /// Whether to delete entries that are missing in the file.
    pub prune: bool,
    /// Whether to show the changes without making them.
    pub dry_run: bool,
    /// The revision that the file is based on; the current revision if it is
    /// `None`.
    pub base: Option<Revision>,
}

/// Reads and parses a table file.
///
/// # Errors
///
/// Returns all findings, each with the path to the invalid value.
pub fn read_tables(file: &Path) -> Result<TableFile, CtlError> {
    let place = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| read_error(&place, &e.to_string()))?;
    let desired: TableFile = sequoiawing_settings::parse(&place, &text)?;
    desired.check_unique_names(&place).into_result()?;
    Ok(desired)
}

/// Changes the tables to match a file.
///
/// The edit carries the revision that the changes were computed from, so that
/// concurrent changes of another operator are not overwritten.
pub(crate) async fn apply(
    operator: &OperatorClient,
    desired: &TableFile,
    options: ApplyOptions,
) -> Result<ApplyReport, CtlError> {
    let tables = operator.read().await?;
    apply_from(operator, &tables, desired, options).await
}

/// Changes the tables to match a file, starting from tables that were read before.
pub(crate) async fn apply_from(
    operator: &OperatorClient,
    tables: &Tables,
    desired: &TableFile,
    options: ApplyOptions,
) -> Result<ApplyReport, CtlError> {
    let changes = desired.changes_from(tables, options.prune);
    let mut report = ApplyReport {
        base: options.base.unwrap_or(tables.revision),
        accepted: None,
        changes: desired.differences_from(tables, options.prune)?,
    };
    validate_changes(tables, &changes)?;
    if changes.is_empty() || options.dry_run {
        return Ok(report);
    }
    report.accepted = Some(match options.base {
        Some(base) => operator.edit(Some(base), changes).await?,
        None => edit_with_rebase(operator, tables, changes).await?,
    });
    Ok(report)
}

/// Commits changes to tables that were read before, also if a newer revision
/// exists that does not come from an operator's edit.
///
/// Joining hosts and granted keys create new revisions too, many of them a day.
/// They must not be reported to the operator as a conflict.
async fn edit_with_rebase(
    operator: &OperatorClient,
    initial: &Tables,
    changes: Vec<Change>,
) -> Result<Revision, CtlError> {
    let mut base = initial.revision;
    for _ in 0..MAX_REBASES {
        let edited = operator.edit(Some(base), changes.clone()).await;
        let Err(CtlError::Conflict { .. }) = edited else {
            return edited;
        };
        let current = operator.read().await?;
        if operator.has_request_id()
            || TableFile::from_tables(&current) != TableFile::from_tables(initial)
        {
            return edited;
        }
        base = current.revision;
    }
    operator.edit(Some(base), changes).await
}

/// The number of times that an edit is rebased onto a newer revision in which
/// nothing that operators edit has changed.
const MAX_REBASES: u32 = 5;

/// Validates the tables that would result from the changes, so that a dry run
/// reports the same findings as the controllers.
fn validate_changes(tables: &Tables, changes: &[Change]) -> Result<(), CtlError> {
    let mut next = tables.published();
    let edit = Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: changes.to_vec(),
    };
    match next.apply(edit) {
        Outcome::Invalid(findings) => Err(CtlError::Invalid(findings)),
        _ => Ok(()),
    }
}

/// The result of checking a file without a deployment.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CheckReport {
    file: String,
    sound: bool,
}

impl Report for CheckReport {
    fn text(&self) -> String {
        format!("{}: the tables are sound", self.file)
    }
}

/// Checks a file that contains all tables.
pub(crate) fn check(file: &Path) -> Result<CheckReport, CtlError> {
    let desired = read_tables(file)?;
    let file = file.display().to_string();
    desired.check(&file).into_result()?;
    let sound = true;
    Ok(CheckReport { file, sound })
}

/// The tables in the format of a table file.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct TableReport(pub(crate) TableFile);

impl Report for TableReport {
    fn text(&self) -> String {
        serde_json::to_string_pretty(&self.0).unwrap_or_default()
    }
}

impl TableFile {
    /// Returns the fields that differ between `tables` and the file.
    ///
    /// Without `prune`, entries that are missing in the file are not reported.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry cannot be serialized to JSON.
    pub fn differences_from(
        &self,
        tables: &Tables,
        prune: bool,
    ) -> Result<Vec<Difference>, CtlError> {
        let json = |file: &Self| {
            serde_json::to_value(file).map_err(|e| CtlError::Unexpected(e.to_string()))
        };
        let old = json(&Self::from_tables(tables))?;
        let mut desired = self.clone();
        desired.store.get_or_insert_with(|| tables.store.clone());
        let new = json(&desired)?;
        let mut differences = diff("", Some(&old), Some(&new));
        if !prune {
            let is_whole_entry = |d: &Difference| d.place.matches('.').count() == 1;
            differences.retain(|d| d.new.is_some() || !is_whole_entry(d));
        }
        Ok(differences)
    }
}

fn read_error(place: &str, problem: &str) -> CtlError {
    let mut findings = Findings::default();
    findings.push(place, problem);
    CtlError::Invalid(findings)
}

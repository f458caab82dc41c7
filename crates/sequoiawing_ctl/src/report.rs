use crate::CtlError;
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;

/// The format of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Human-readable tables and text.
    #[default]
    Table,
    /// JSON, for use in scripts.
    Json,
}

/// The result of a command, printed as text or as JSON.
pub trait Report: Serialize {
    /// Returns the human-readable text, without a trailing newline.
    fn text(&self) -> String;
}

/// Renders a report in the given format.
///
/// # Errors
///
/// Returns an error if the report cannot be serialized to JSON.
pub fn render<R>(report: &R, format: OutputFormat) -> Result<String, CtlError>
where
    R: Report,
{
    match format {
        OutputFormat::Table => Ok(report.text()),
        OutputFormat::Json => {
            serde_json::to_string_pretty(report).map_err(|e| CtlError::Unexpected(e.to_string()))
        }
    }
}

/// Formats rows as a table with a header.
pub(crate) fn format_table<H, R>(header: H, rows: R) -> String
where
    H: IntoIterator<Item = &'static str>,
    R: IntoIterator<Item = Vec<String>>,
{
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header.into_iter().collect::<Vec<_>>());
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

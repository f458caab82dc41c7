use crate::{
    ApplyOptions, ApplyReport, CtlError, OperatorClient, TableFile,
    apply::{apply_from, read_tables},
};
use std::{fs, path::Path, process::Command};

/// The editor that is used when neither `VISUAL` nor `EDITOR` is set.
const DEFAULT_EDITOR: &str = "vi";

/// Opens the tables in the operator's editor and applies the saved file.
///
/// The file is kept if its changes are not accepted, so that no work is lost.
pub(crate) async fn edit(operator: &OperatorClient, prune: bool) -> Result<ApplyReport, CtlError> {
    let tables = operator.read().await?;
    let name = format!(
        "sequoiawing-{}-{}.json",
        tables.revision,
        std::process::id()
    );
    let file = std::env::temp_dir().join(name);
    let text = serde_json::to_string_pretty(&TableFile::from_tables(&tables));
    let text = text.map_err(|e| CtlError::Unexpected(e.to_string()))?;
    fs::write(&file, text).map_err(|e| CtlError::Editor(e.to_string()))?;
    let result = async {
        open_editor(&file)?;
        let desired = read_tables(&file)?;
        let options = ApplyOptions {
            prune,
            ..ApplyOptions::default()
        };
        apply_from(operator, &tables, &desired, options).await
    };
    match result.await {
        Ok(report) => {
            fs::remove_file(&file).ok();
            Ok(report)
        }
        Err(error) => {
            eprintln!("sequoiactl: your edit is kept in {}", file.display());
            Err(error)
        }
    }
}

fn open_editor(file: &Path) -> Result<(), CtlError> {
    let configured = std::env::var("VISUAL").or_else(|_| std::env::var("EDITOR"));
    let editor = configured.unwrap_or_else(|_| DEFAULT_EDITOR.to_owned());
    let mut words = editor.split_whitespace();
    let program = words.next().unwrap_or(DEFAULT_EDITOR);
    let status = Command::new(program).args(words).arg(file).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(CtlError::Editor(format!("{program} ended with {status}"))),
        Err(error) => Err(CtlError::Editor(format!("{program}: {error}"))),
    }
}

//! A log of the calls of a simulated service, in a file that outlives the
//! process.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    path::{Path, PathBuf},
    time::{SystemTime, UNIX_EPOCH},
};

/// A file of lines, each with the Unix time in milliseconds and an event.
#[derive(Debug)]
pub(crate) struct Journal(Option<PathBuf>);

impl Journal {
    pub(crate) fn new(file: Option<PathBuf>) -> Self {
        Self(file)
    }

    /// Appends an event, if a file is set.
    pub(crate) fn append(&self, event: &str) {
        let Some(file) = &self.0 else {
            return;
        };
        if let Err(error) = append_line(file, event) {
            let file = file.display();
            log::error!(target: "service", "Failed to append to the journal {file}: {error}.");
        }
    }
}

/// Appends the line in one write, so that killing the process leaves no partial
/// line.
fn append_line(file: &Path, event: &str) -> io::Result<()> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |s| s.as_millis());
    let line = format!("{millis} {event}\n");
    let mut file = OpenOptions::new().create(true).append(true).open(file)?;
    file.write_all(line.as_bytes())
}

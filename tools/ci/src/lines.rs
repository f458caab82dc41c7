use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    fs, io,
    path::Path,
};

/// The number of lines of Rust.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LineCount {
    /// The number of lines of code.
    pub code: usize,
    /// The number of lines of tests.
    pub tests: usize,
}

/// The line counts of each crate; files of the workspace's root package count as
/// `sequoiawing`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LineCounts(pub BTreeMap<String, LineCount>);

/// Folders whose files are not counted.
const SKIPPED_FOLDERS: [&str; 4] = ["target", ".git", "data", "examples"];

impl LineCounts {
    /// Counts the lines of all Rust files in a folder and its subfolders.
    ///
    /// # Errors
    ///
    /// Returns an error if a file or folder cannot be read.
    pub fn count_in(root: &Path) -> io::Result<Self> {
        let mut counts = Self::default();
        counts.count_folder(root, root)?;
        Ok(counts)
    }

    /// Adds the lines of a file, given its path relative to the root.
    pub fn add_file(&mut self, path: &str, lines: usize) {
        let parts: Vec<&str> = path.split('/').collect();
        let name = match parts[..] {
            ["crates" | "tools", name, ..] => name,
            _ => "sequoiawing",
        };
        let is_test = parts.contains(&"tests") || path.ends_with("/tests.rs");
        let count = self.0.entry(name.to_owned()).or_default();
        if is_test {
            count.tests += lines;
        } else {
            count.code += lines;
        }
    }

    /// Returns the sum over all crates.
    pub fn total(&self) -> LineCount {
        let mut total = LineCount::default();
        for count in self.0.values() {
            total.code += count.code;
            total.tests += count.tests;
        }
        total
    }

    fn count_folder(&mut self, root: &Path, folder: &Path) -> io::Result<()> {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            if path.is_dir() {
                if !SKIPPED_FOLDERS.contains(&name.as_ref()) {
                    self.count_folder(root, &path)?;
                }
            } else if path.extension().is_some_and(|e| e == "rs") {
                let lines = fs::read_to_string(&path)?.lines().count();
                let relative = path.strip_prefix(root).unwrap_or(&path);
                self.add_file(&relative.to_string_lossy(), lines);
            }
        }
        Ok(())
    }
}

impl fmt::Display for LineCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total = self.total();
        let rows = self.0.iter().map(|(name, count)| (name.as_str(), *count));
        let mut text = String::new();
        writeln!(text, "{:<26}{:>8}{:>8}", "lines of", "code", "tests")?;
        for (name, count) in rows.chain([("all", total)]) {
            writeln!(text, "{name:<26}{:>8}{:>8}", count.code, count.tests)?;
        }
        let percent = total.tests * 100 / total.code.max(1);
        write!(
            f,
            "{text}tests are {percent} % of the code; a third is the limit"
        )
    }
}

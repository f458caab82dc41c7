use crate::KnownFailures;

/// The results of a test run, parsed from the output of `cargo test`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TestRun {
    /// The tests that failed, as `target::test`.
    pub failed: Vec<String>,
    /// The tests that passed, as `target::test`.
    pub passed: Vec<String>,
    /// The targets that started but printed no result, for example after an abort.
    pub incomplete: Vec<String>,
    target: Option<String>,
}

/// The verdict of CI on a test run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// All tests passed.
    Passed,
    /// Only tests that are listed as known failures failed.
    KnownFailuresOnly(Vec<String>),
    /// Another failure occurred; lists the causes.
    Failed(Vec<String>),
}

impl TestRun {
    /// Parses one line of the output.
    pub fn read_line(&mut self, line: &str) {
        let line = line.trim();
        if let Some(target) = started_target(line) {
            self.finish();
            self.target = Some(target);
        } else if line.starts_with("test result:") {
            self.target = None;
        } else if let Some((name, result)) = finished_test(line) {
            let target = self.target.as_deref().unwrap_or("unknown");
            let test = format!("{target}::{name}");
            match result {
                "ok" => self.passed.push(test),
                "FAILED" => self.failed.push(test),
                _ => {}
            }
        }
    }

    /// Marks the end of the output.
    ///
    /// A target that is still running at this point is incomplete.
    pub fn finish(&mut self) {
        self.incomplete.extend(self.target.take());
    }

    /// Returns the verdict on the run.
    ///
    /// A run that failed without a failed test, for example because of a compiler
    /// error, counts as failed, and so does a run with an incomplete target.
    pub fn evaluate(&self, succeeded: bool, known: &KnownFailures) -> Verdict {
        let is_unlisted = |test: &&String| !known.contains(test);
        let mut causes: Vec<String> = self.failed.iter().filter(is_unlisted).cloned().collect();
        causes.extend(
            self.incomplete
                .iter()
                .map(|t| format!("{t} printed no test result")),
        );
        if !succeeded && causes.is_empty() && self.failed.is_empty() {
            causes.push("cargo failed without a failed test".to_owned());
        }
        if !causes.is_empty() {
            Verdict::Failed(causes)
        } else if self.failed.is_empty() {
            Verdict::Passed
        } else {
            Verdict::KnownFailuresOnly(self.failed.clone())
        }
    }

    /// Returns the listed tests that passed, whose entries may be obsolete.
    pub fn fixed<'k>(&self, known: &'k KnownFailures) -> Vec<&'k str> {
        let entries = known.entries.iter().map(|e| e.test.as_str());
        entries
            .filter(|t| self.passed.iter().any(|p| p == t))
            .collect()
    }
}

/// Returns the name of the target if the line announces its start.
fn started_target(line: &str) -> Option<String> {
    if let Some(name) = line.strip_prefix("Doc-tests ") {
        return Some(format!("doc-{name}"));
    }
    let rest = line.strip_prefix("Running ")?;
    let (_, path) = rest.split_once('(')?;
    let file = path.trim_end_matches(')').rsplit('/').next()?;
    let (name, _) = file.rsplit_once('-')?;
    Some(name.to_owned())
}

/// Returns the name and result of a test if the line reports its end.
fn finished_test(line: &str) -> Option<(&str, &str)> {
    let (name, result) = line.strip_prefix("test ")?.rsplit_once(" ... ")?;
    let name = name.strip_suffix(" - should panic").unwrap_or(name);
    Some((name, result.split(',').next().unwrap_or(result).trim()))
}

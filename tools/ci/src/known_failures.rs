use std::fmt;

/// A test that fails because of a known fault.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownFailure {
    /// The path of the test, as `target::test`.
    pub test: String,
    /// The command and the seed that reproduce the failure.
    pub command: String,
    /// The observed failure.
    pub observed: String,
    /// The issue that tracks the fault.
    pub issue: String,
}

impl fmt::Display for KnownFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            test,
            command,
            observed,
            issue,
        } = self;
        write!(f, "{test} ({issue}): {observed}; {command}")
    }
}

/// The tests whose failures CI ignores, read from `KNOWN-RED.txt`.
///
/// Each line is an entry with four columns separated by ` | `: test, command and
/// seed, observed failure, issue. Empty lines and lines that begin with `#` are
/// skipped.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KnownFailures {
    /// The entries in the order of the file.
    pub entries: Vec<KnownFailure>,
}

impl KnownFailures {
    /// Parses the file.
    ///
    /// # Errors
    ///
    /// Returns one finding per line that is not a complete entry, so that CI ignores
    /// no failure because of such a line.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let mut entries = Vec::new();
        let mut findings = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match parse_entry(line) {
                Some(entry) => entries.push(entry),
                None => findings.push(format!(
                    "KNOWN-RED.txt:{}: expected 'target::test | command and seed | observed \
                     failure | issue'",
                    i + 1
                )),
            }
        }
        if findings.is_empty() {
            Ok(Self { entries })
        } else {
            Err(findings)
        }
    }

    /// Returns whether the test is listed.
    pub fn contains(&self, test: &str) -> bool {
        self.entries.iter().any(|e| e.test == test)
    }
}

fn parse_entry(line: &str) -> Option<KnownFailure> {
    let columns: Vec<&str> = line.split(" | ").map(str::trim).collect();
    let [test, command, observed, issue] = columns[..] else {
        return None;
    };
    let is_complete = test.contains("::") && columns.iter().all(|p| !p.is_empty());
    is_complete.then(|| KnownFailure {
        test: test.to_owned(),
        command: command.to_owned(),
        observed: observed.to_owned(),
        issue: issue.to_owned(),
    })
}

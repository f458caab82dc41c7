use serde::{Deserialize, Serialize};
use std::fmt;

/// A problem in an input and its location.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Finding {
    /// The path to the invalid value, such as `pools.captions.models`.
    pub place: String,
    /// The description of the problem, without a trailing period.
    pub problem: String,
}

/// All problems in an input, reported together so that an operator can fix them
/// in one pass.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push<P, T>(&mut self, place: P, problem: T)
    where
        P: Into<String>,
        T: Into<String>,
    {
        let place = place.into();
        let problem = problem.into();
        self.0.push(Finding { place, problem });
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the findings in the order in which they were added.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Appends all findings of `other`.
    pub fn extend(&mut self, other: Self) {
        self.0.extend(other.0);
    }

    /// Converts the findings into a result.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
    pub fn into_result(self) -> Result<(), Self> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

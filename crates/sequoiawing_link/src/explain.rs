use sequoiawing_tables::{KeyId, Revision};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// A request of which an operator wants to know what would become.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ExplainRequest {
    /// The public part of the key that would come with it.
    pub key: Option<KeyId>,
    /// The customer, when no key is given.
    pub customer: Option<Name>,
    /// The `Host` header.
    pub host: String,
    /// The path.
    pub path: String,
    /// The model, or `model:adapter`.
    pub model: Option<Name>,
    /// The tokens of prompt and answer together.
    pub tokens: u64,
}

/// What one step of the way decides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request goes on.
    #[default]
    Passes,
    /// The request waits, as for a load.
    Waits,
    /// The request is refused.
    Refused,
}

/// One step of the way of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Step {
    /// The filter or part that decides.
    pub part: String,
    /// What it decides.
    pub verdict: Verdict,
    /// Why.
    pub reason: String,
}

/// What would become of a request on one host, as things stand.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Explanation {
    /// The host that answers.
    pub host: Name,
    /// The revision in force there.
    pub revision: Revision,
    /// The steps in order; the last one decides.
    pub steps: Vec<Step>,
}

impl Explanation {
    /// Adds a step and reports whether the request goes on.
    pub fn step<T>(&mut self, part: &str, verdict: Verdict, reason: T) -> bool
    where
        T: Into<String>,
    {
        self.steps.push(Step {
            part: part.to_owned(),
            verdict,
            reason: reason.into(),
        });
        verdict != Verdict::Refused
    }
}

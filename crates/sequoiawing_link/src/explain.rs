use sequoiawing_tables::{KeyId, Revision};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// A hypothetical request whose processing an operator wants explained.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ExplainRequest {
    /// The public part of the key that the request would carry.
    pub key: Option<KeyId>,
    /// The customer, if no key is given.
    pub customer: Option<Name>,
    /// The `Host` header.
    pub host: String,
    /// The path.
    pub path: String,
    /// The model, or `model:adapter`.
    pub model: Option<Name>,
    /// The total number of prompt and completion tokens.
    pub tokens: u64,
}

/// The decision of one processing step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request proceeds.
    #[default]
    Passes,
    /// The request waits, for example for a model load.
    Waits,
    /// The request is refused.
    Refused,
}

/// One step in the processing of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Step {
    /// The filter or component that decides.
    pub part: String,
    /// The decision.
    pub verdict: Verdict,
    /// The reason for the decision.
    pub reason: String,
}

/// The steps that a request would take on one host in its current state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Explanation {
    /// The host that gives the explanation.
    pub host: Name,
    /// The active revision of that host.
    pub revision: Revision,
    /// The steps in order; the last one decides.
    pub steps: Vec<Step>,
}

impl Explanation {
    /// Adds a step and returns whether the request proceeds.
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

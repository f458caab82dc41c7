use serde::{Deserialize, Serialize};
use std::fmt;

/// What the requests that crash upstreams have in common.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(default)]
pub struct CrashCause {
    /// What the ID identifies.
    pub kind: CauseKind,
    /// The ID, unique within its kind.
    pub id: u64,
}

/// What a [`CrashCause`] identifies.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum CauseKind {
    /// A part of the prompts of several requests.
    #[default]
    PromptPart,
    /// A request that is repeated.
    Request,
}

impl CrashCause {
    /// Returns the cause for a prompt part.
    pub const fn part(id: u64) -> Self {
        let kind = CauseKind::PromptPart;
        Self { kind, id }
    }

    /// Returns the cause for a request, given a digest of its content.
    pub const fn request(id: u64) -> Self {
        let kind = CauseKind::Request;
        Self { kind, id }
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            CauseKind::PromptPart => write!(f, "part {:x}", self.id),
            CauseKind::Request => write!(f, "request {:016x}", self.id),
        }
    }
}

use serde::{Deserialize, Serialize};

/// Whether a request ran on an upstream, as reported to its caller.
///
/// Callers can safely retry a request only after [`Ran::No`]. That value is
/// therefore used only if no byte that could start the request has reached an
/// upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing of the request reached an upstream.
    #[default]
    No,
    /// An upstream may have run the request.
    Unknown,
    /// An upstream answered the request.
    Yes,
}

impl Ran {
    /// Returns the value of the `sequoiawing-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

use sequoiawing_types::{Name, Ran};
use serde::{Deserialize, Serialize};

/// Identifies a non-idempotent call across resends.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ClaimId {
    /// The customer that the call's key belongs to.
    pub customer: Name,
    /// The route that the call matches.
    pub route: Name,
    /// The value of the caller's `Idempotency-Key` header.
    pub key: String,
}

/// The recorded response that a resend of the call receives.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header.
    pub content: String,
    /// The body, as text.
    pub body: String,
}

/// The state of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have sent the call and has not recorded its outcome.
    Open,
    /// The call completed with this response.
    Answered(StoredAnswer),
    /// The call ended without a complete response.
    Ended(Ran),
}

/// A claim on a call that runs at most once.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Claim {
    /// The attempt that holds the claim. No other attempt runs the call.
    pub attempt: String,
    /// The SHA-256 digest of the request. A key reused for a different request
    /// is refused.
    pub digest: String,
    /// The state of the call.
    pub state: ClaimState,
    /// The time until which the holder may still record a response, in seconds
    /// of wall-clock time. The holder of an open claim past this time has
    /// crashed.
    #[serde(default)]
    pub until: u64,
    /// The time when the claim may be removed, in seconds of the log's clock.
    pub expiry: u64,
}

use serde::{Deserialize, Serialize};

/// A fault that a simulated upstream injects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Accepts requests and never responds.
    Freeze,
    /// Starts each response and then stops sending.
    #[serde(rename = "fall_silent")]
    Stall,
    /// Aborts each response half-way.
    #[serde(rename = "break_off")]
    Abort,
    /// Ends each stream half-way as if it were complete.
    #[serde(rename = "cut_short")]
    Truncate,
    /// Names another attempt in its responses.
    #[serde(rename = "cross")]
    WrongAttempt,
    /// Responds with an internal server error.
    Fail,
    /// Refuses requests and states that they did not run.
    Refuse,
    /// Responds with bytes that are not HTTP.
    #[serde(rename = "rubbish")]
    InvalidHttp,
    /// Sends headers until the connection is closed.
    EndlessHead,
    /// Sends a body in chunks until the connection is closed.
    EndlessBody,
    /// Sends a second response after each requested one.
    #[serde(rename = "stray_answer")]
    ExtraResponse,
    /// Sends truncated responses without a length.
    Unframed,
    /// Closes each connection when a second request arrives on it.
    CloseIdle,
    /// Responds before it has read the request body.
    #[serde(rename = "answer_early")]
    EarlyResponse,
    /// Reads a request and closes the connection without a response.
    #[serde(rename = "hang_up")]
    Disconnect,
    /// A service ends when it runs a call, within its response.
    Crash,
    /// Fails to load models.
    FailLoads,
}

impl Fault {
    /// Returns whether the fault violates HTTP, so that connections are served
    /// without `hyper`.
    pub(crate) fn is_raw(self) -> bool {
        matches!(
            self,
            Self::InvalidHttp
                | Self::EndlessHead
                | Self::EndlessBody
                | Self::ExtraResponse
                | Self::Unframed
                | Self::CloseIdle
                | Self::EarlyResponse
                | Self::Disconnect
        )
    }
}

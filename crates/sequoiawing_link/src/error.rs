use std::io;
use thiserror::Error;

/// An error of a call to another process.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be established or was lost.
    #[error("connection to {address} failed: {source}")]
    Connection {
        /// The address of the other process.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The peer did not prove that it knows the deployment's secret.
    #[error("the peer did not prove that it knows the deployment's secret")]
    Unauthenticated,
    /// No reply arrived within the time limit.
    #[error("call to {address} was not answered within {millis} ms")]
    Timeout {
        /// The address of the other process.
        address: String,
        /// The time limit, in milliseconds.
        millis: u128,
    },
    /// The call failed.
    #[error("call to {address} failed: {problem}")]
    Call {
        /// The address of the other process.
        address: String,
        /// The cause.
        problem: String,
    },
}

use sequoiawing_link::{ControlError, LinkError};
use sequoiawing_tables::Revision;
use sequoiawing_types::{Findings, Name, RequestId};
use thiserror::Error;

/// The reason that an operator command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// A file is invalid, or the change would make the tables invalid.
    #[error("{0}")]
    Invalid(#[from] Findings),
    /// Another operator changed the tables concurrently.
    #[error("conflict: the change was made from {base}, but {current} is in force")]
    Conflict {
        /// The revision that the change is based on.
        base: Revision,
        /// The current revision.
        current: Revision,
    },
    /// No controller could be reached.
    #[error("no controller answered; the last one said: {0}")]
    Unreachable(LinkError),
    /// The controllers could not execute the command.
    #[error("the controllers refused: {0}")]
    Refused(ControlError),
    /// It is unknown whether the change was committed.
    #[error("whether the change was made is not known: {cause}")]
    Uncertain {
        /// The request ID with which the same change can be sent again.
        request: RequestId,
        /// The last error that a controller returned.
        cause: String,
    },
    /// The deployment file lists no controller.
    #[error("the deployment names no controller")]
    NoController,
    /// No host has this name.
    #[error("no host '{0}' is known")]
    UnknownHost(Name),
    /// An earlier membership change of the data centre has not settled yet.
    #[error("the cell of '{0}' is still settling from an earlier change")]
    Unsettled(Name),
    /// A reply has an unexpected type, or a value could not be converted to or from
    /// JSON.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
    /// Some hosts did not confirm the command.
    #[error("not confirmed by: {0}")]
    Unconfirmed(String),
    /// The editor could not be run.
    #[error("the editor failed: {0}")]
    Editor(String),
    /// `status --check` found this number of errors in the deployment.
    #[error("{0} problems")]
    ProblemsFound(usize),
}

impl CtlError {
    /// Returns the exit code of the process.
    ///
    /// The exit codes are listed in [docs/OPERATORS.md](../../../docs/OPERATORS.md).
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Unexpected(_) | Self::Editor(_) => 1,
            Self::Invalid(_) | Self::UnknownHost(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable(_) | Self::Refused(_) | Self::NoController | Self::Unsettled(_) => 4,
            Self::Unconfirmed(_) => 5,
            Self::ProblemsFound(_) => 6,
            Self::Uncertain { .. } => 7,
        }
    }

    /// Returns a hint on how to resolve the error.
    pub fn hint(&self) -> Option<String> {
        let hint = match self {
            Self::Conflict { current, .. } => {
                format!("run the command again to make the change from {current}")
            }
            Self::Unreachable(_) => {
                "check the addresses and the secret in the deployment file, and that a \
                 controller runs; routers go on serving without one"
                    .to_owned()
            }
            Self::Refused(ControlError::NotLeader { .. }) => {
                "a majority of the controllers is needed; see `sequoiactl status`".to_owned()
            }
            Self::Refused(ControlError::Unsuitable) => {
                "see `sequoiactl controllers list`; a seat is taken away only while a majority of \
                 the others is there"
                    .to_owned()
            }
            Self::Refused(ControlError::Storage(_)) => {
                "the controller's disk is full or broken; see docs/OPERATORS.md, lost disk"
                    .to_owned()
            }
            Self::Uncertain { request, .. } => format!(
                "send the same change again with --request-id {request}; it is made once at most"
            ),
            Self::Unsettled(_) => {
                "wait for its leader to hold a lease, or give --dead for a host that runs no more"
                    .to_owned()
            }
            Self::Unconfirmed(_) => {
                "run the command again once the hosts are reachable; it may be repeated".to_owned()
            }
            Self::UnknownHost(_) => "`sequoiactl hosts list` names the hosts".to_owned(),
            _ => return None,
        };
        Some(hint)
    }

    /// Returns whether the change may have been committed despite the error.
    pub(crate) fn is_uncertain(&self) -> bool {
        match self {
            Self::Refused(error) => *error == ControlError::Uncertain,
            Self::Unreachable(error) => !matches!(
                error,
                LinkError::Connection { .. } | LinkError::Unauthenticated
            ),
            _ => false,
        }
    }

    /// Returns the later error, unless the change may have been committed despite
    /// this one: a later error that rules a commit out must not hide that.
    pub(crate) fn or_later(self, later: Self) -> Self {
        if self.is_uncertain() { self } else { later }
    }
}

use sequoiawing_fleet::UpstreamState;
use sequoiawing_types::Name;
use std::fmt;

/// The version of the software of an upstream.
///
/// What two versions write does not fit together, so that a stream goes on only at
/// upstreams of the version that began it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum SoftwareVersion {
    /// The version that the upstream announces, empty if it names none.
    Announced(Name),
    /// A version that this host has not learned. Only the same start of the same upstream
    /// is certain to have it.
    Unknown {
        /// The upstream.
        upstream: Name,
        /// Identifies the start of the upstream.
        epoch: u64,
    },
}

impl SoftwareVersion {
    /// Returns the software version of an upstream.
    pub fn of(state: &UpstreamState) -> Self {
        match &state.software {
            Some(software) => Self::Announced(software.clone()),
            None => Self::Unknown {
                upstream: state.name.clone(),
                epoch: state.epoch,
            },
        }
    }

    /// Returns whether an upstream is certain to have this version.
    pub fn is_of(&self, state: &UpstreamState) -> bool {
        match self {
            Self::Announced(software) => state.software.as_ref() == Some(software),
            Self::Unknown { upstream, epoch } => state.name == *upstream && state.epoch == *epoch,
        }
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Announced(software) => software.fmt(f),
            Self::Unknown { upstream, epoch } => write!(f, "unknown, of {upstream} at {epoch}"),
        }
    }
}

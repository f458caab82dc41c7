use serde::{Deserialize, Serialize};
use std::fmt;

/// The identity of a replica, generated when its data folder is created.
///
/// It identifies the disk rather than the host: a host that lost its disk also
/// lost the record of its votes, so it must not vote under the same identity.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of a deployment, drawn when it is bootstrapped.
///
/// It is part of the members, and so of the log and of snapshots. Replicas refuse the
/// messages of other deployments.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct DeploymentId(pub u64);

impl fmt::Display for DeploymentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

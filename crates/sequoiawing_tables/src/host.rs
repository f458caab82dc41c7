use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A host that runs a router and is a member of its data centre's cell.
///
/// Host and address together identify the member. A process that restarts at
/// the same address is the same member, since two processes cannot bind one
/// address. The same host at another address is a replacement.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RouterHost {
    /// The host.
    pub host: Name,
    /// Its data centre.
    pub centre: Name,
    /// The address where its router accepts calls from other processes.
    pub address: SocketAddr,
}

/// The membership epoch of a data centre's cell.
///
/// See [docs/design/cells.md](../../../docs/design/cells.md).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CellEpoch {
    /// The number of membership changes so far.
    pub epoch: u64,
    /// Whether a leader has acquired its lease from a majority of this epoch.
    /// The members do not change again before that, so that the majorities of
    /// any two epochs in use at the same time overlap.
    pub settled: bool,
}

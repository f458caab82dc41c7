use crate::{Membership, Position};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state after applying all entries up to a position.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// The last entry that the state contains.
    pub position: Position,
    /// The members as of that entry.
    pub members: Arc<Membership>,
    /// The state as serialized by the state machine; empty before the first
    /// entry.
    pub data: Arc<str>,
}

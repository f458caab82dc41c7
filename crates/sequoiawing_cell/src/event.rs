use crate::{CellReply, CellRequest, ShareCount, Version};
use sequoiawing_types::{Name, Time};
use std::collections::BTreeSet;

/// An input to a member of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellEvent {
    /// The membership of an epoch was read from the tables.
    Members {
        /// The epoch.
        epoch: u64,
        /// The hosts.
        members: BTreeSet<Name>,
    },
    /// A fencing token was seen in an announcement or in the log.
    Fence(u64),
    /// Another member sent a request.
    Request(CellRequest),
    /// Another member replied.
    Reply(CellReply),
    /// The leader of a term wants a majority to store what the data centre may
    /// hold.
    Record {
        /// The term and the leader's record number. Each version is used once.
        version: Version,
        /// The replicas of each model.
        counts: Vec<ShareCount>,
    },
    /// The host shuts down and releases its lease.
    Resign,
    /// Time has passed.
    Tick,
}

/// An output of a member, to be carried out by the driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CellAction {
    /// Sends a request to a member. Its reply is passed back as an event.
    Send {
        /// The member.
        to: Name,
        /// The request.
        request: CellRequest,
    },
    /// Replies to the request that was just handled.
    Reply(CellReply),
    /// This host acquired the lease and leads in the term.
    LeaseAcquired {
        /// The term.
        term: u64,
    },
    /// This host lost the lease and no longer leads.
    LeaseLost,
    /// A majority of the epoch has promised, so the log may change the
    /// membership again.
    Settled {
        /// The epoch.
        epoch: u64,
    },
}

/// A lease that is currently held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// The term, which is the fencing token of every order.
    pub term: u64,
    /// When the lease expires unless it is renewed.
    pub until: Time,
}

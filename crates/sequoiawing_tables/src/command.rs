use crate::{Change, Claim, ClaimId, ClaimState, Departure, Revision, RouterHost};
use sequoiawing_budget::Watermark;
use sequoiawing_catalog::Document;
use sequoiawing_types::{Findings, Name, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command in the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Edits the tables.
    Edit {
        /// Identifies the edit. Resends of the same edit carry the same value.
        request: RequestId,
        /// The revision that the edit is based on, or `None` for changes that
        /// cannot conflict, such as withdrawing a key.
        base: Option<Revision>,
        /// The changes, applied atomically.
        changes: Vec<Change>,
    },
    /// Adds a host's router to its data centre's cell.
    Join(RouterHost),
    /// Removes a host's router from its cell.
    Retire {
        /// The host.
        host: Name,
        /// Whether the operator confirms that the host no longer runs.
        dead: bool,
    },
    /// Records that a leader acquired its lease from a majority of the cell's
    /// members in this epoch.
    SettleCell {
        /// The data centre.
        centre: Name,
        /// The epoch.
        epoch: u64,
    },
    /// Sets how many replicas of a model a data centre may hold.
    ///
    /// The number is raised before a load is ordered, and lowered only after the
    /// upstream has reported that the model is unloaded.
    Allot {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The data centre.
        centre: Name,
        /// The cell's term. A command from an older term changes nothing.
        term: u64,
        /// The leader's sequence number within the term. A command that arrives
        /// after a later one changes nothing.
        serial: u64,
        /// The total number of replicas that the data centre requests.
        want: u32,
    },
    /// Sets the limits on what the owner of the budgets may lend until the next
    /// such command.
    MarkBudgets {
        /// The owner's term. A command from an older term changes nothing.
        term: u64,
        /// The watermarks by budget.
        marks: BTreeMap<Name, Watermark>,
    },
    /// Replaces the whole configuration, unless the current version is the same
    /// or newer.
    Replace(Document),
    /// Begins or ends the evacuation of a data centre, unless it is evacuated already or
    /// not at all.
    Evacuate {
        /// The data centre.
        centre: Name,
        /// Whether the evacuation begins.
        begin: bool,
    },
    /// Records that an upstream leaves or has left, unless a later departure or start of
    /// it is recorded.
    Depart {
        /// The upstream.
        upstream: Name,
        /// From when on it wants no new requests.
        departure: Departure,
        /// The wall-clock time in seconds. The log's leader replaces it by its own.
        now: u64,
    },
    /// Claims a non-idempotent call before it is sent.
    Claim {
        /// The call.
        id: ClaimId,
        /// The claim to record if the call is not claimed yet.
        claim: Claim,
        /// The wall-clock time in seconds that the claim's times are based on.
        /// The log's leader replaces it by its own. The log's clock only moves
        /// forward.
        now: u64,
    },
    /// Records the outcome of a claimed call.
    Settle {
        /// The call.
        id: ClaimId,
        /// The attempt that holds the claim.
        attempt: String,
        /// The outcome.
        state: ClaimState,
    },
}

impl Command {
    /// Replaces the proposer's clock by the clock of the log's leader, in
    /// seconds, and shifts the times that are based on it.
    ///
    /// Otherwise a router with a fast clock would let the claims of others
    /// expire early, and one with a slow clock its own.
    #[must_use]
    pub fn with_leader_clock(mut self, clock: u64) -> Self {
        match &mut self {
            Self::Claim { claim, now, .. } => {
                let shift = |time: u64| clock.saturating_add(time.saturating_sub(*now));
                claim.until = shift(claim.until);
                claim.expiry = shift(claim.expiry);
                *now = clock;
            }
            Self::Depart { now, .. } => *now = clock,
            _ => {}
        }
        self
    }
}

/// The result of applying a command.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit is applied as of this revision.
    Accepted(Revision),
    /// The tables have changed since the revision that the edit is based on.
    Conflict {
        /// The revision that the edit is based on.
        base: Revision,
        /// The current revision of the tables.
        current: Revision,
    },
    /// The tables would be invalid after the edit.
    Invalid(Findings),
    /// The members of this data centre's cell cannot change yet. The command may
    /// be retried later.
    Unsettled(Name),
    /// The number of replicas that the data centre may hold, which may be less
    /// than requested.
    Allotted(u32),
    /// Whether the watermarks were set. They are not if a later owner has set
    /// its own.
    Marked(bool),
    /// The version of the active configuration, which may be newer than the one
    /// in the command.
    Replaced(u64),
    /// The order is in force as of this revision of the evacuated data centres.
    Evacuated(u64),
    /// The departure, or a later one of the same upstream, is recorded as of this revision
    /// of the departures.
    Departed(u64),
    /// The caller holds the claim and may send the call once.
    Claimed,
    /// Another attempt has already claimed the call.
    Taken(Claim),
    /// The outcome of the call is recorded.
    Settled,
}

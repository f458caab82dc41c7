use crate::{Change, Claim, ClaimId, ClaimState, Revision, RouterHost};
use sequoiawing_budget::Watermark;
use sequoiawing_catalog::Document;
use sequoiawing_types::{Findings, Name, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the tables.
    Edit {
        /// Repeated with every resend of the same edit.
        request: RequestId,
        /// The revision that the edit was made from; `None` for changes that
        /// cannot conflict, such as a withdrawn key.
        base: Option<Revision>,
        /// All of them are made, or none.
        changes: Vec<Change>,
    },
    /// Adds a host's router to its data centre's cell.
    Join(RouterHost),
    /// Removes a host's router from its cell.
    Retire {
        /// The host.
        host: Name,
        /// Whether the operator vouches that the host does not run any more.
        dead: bool,
    },
    /// Notes that a leader held its lease by a majority of a cell's epoch.
    SettleCell {
        /// The data centre.
        centre: Name,
        /// The epoch.
        epoch: u64,
    },
    /// Sets how many replicas of a model a data centre may hold.
    ///
    /// Raised before a load is ordered, and lowered only after the upstream
    /// reported that the model is gone.
    Allot {
        /// The pool.
        pool: Name,
        /// The model.
        model: Name,
        /// The data centre.
        centre: Name,
        /// The term of the cell that asks; an older term changes nothing.
        term: u64,
        /// Numbers what the leader asks in the term, so that a command which was
        /// overtaken by a later one changes nothing.
        serial: u64,
        /// The replicas that the data centre wants to hold in all.
        want: u32,
    },
    /// Bounds what the owner of budgets may lend before the next such command.
    MarkBudgets {
        /// The owner's term; an older one changes nothing.
        term: u64,
        /// The watermarks by budget.
        marks: BTreeMap<Name, Watermark>,
    },
    /// Puts a whole configuration in force, unless the present one is as new.
    Replace(Document),
    /// Claims a non-repeatable call before it is sent.
    Claim {
        /// The call.
        id: ClaimId,
        /// The claim that stands if the call was not claimed before.
        claim: Claim,
        /// The wall clock in seconds by which the claim's times were set; the
        /// log's leader puts its own. Only ever moves the log's clock forward.
        now: u64,
    },
    /// Records how a claimed call ended.
    Settle {
        /// The call.
        id: ClaimId,
        /// The attempt that held the claim.
        attempt: String,
        /// How the call ended.
        state: ClaimState,
    },
}

impl Command {
    /// Puts the clock of the log's leader, in seconds, in place of that of the
    /// proposer, and moves the times that were set by it: a router whose clock
    /// is ahead must not let the claims of others expire, nor one that is behind
    /// its own.
    #[must_use]
    pub fn with_leader_clock(mut self, clock: u64) -> Self {
        if let Self::Claim { claim, now, .. } = &mut self {
            let shift = |time: u64| clock.saturating_add(time.saturating_sub(*now));
            claim.until = shift(claim.until);
            claim.expiry = shift(claim.expiry);
            *now = clock;
        }
        self
    }
}

/// What the log answers to a command.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The edit is in the tables from this revision on.
    Accepted(Revision),
    /// The tables changed since the edit was made.
    Conflict {
        /// The revision that the edit was made from.
        base: Revision,
        /// The revision that the tables had reached.
        current: Revision,
    },
    /// The tables would not be sound after the edit.
    Invalid(Findings),
    /// The members of the data centre's cell cannot change yet; asking again
    /// later helps.
    Unsettled(Name),
    /// The data centre may hold so many replicas, which may be fewer than it
    /// wanted.
    Allotted(u32),
    /// The watermarks stand, unless a later owner has set its own.
    Marked(bool),
    /// The whole configuration of this version is in force, which may be newer
    /// than the one that was sent.
    Replaced(u64),
    /// The caller holds the claim and may send the call once.
    Claimed,
    /// The call was claimed before.
    Taken(Claim),
    /// The end of the call is recorded.
    Settled,
}

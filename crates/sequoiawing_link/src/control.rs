use crate::{BudgetBatch, BudgetReplies};
use sequoiawing_budget::LenderView;
use sequoiawing_consensus::{Envelope, Member, MemberChange};
use sequoiawing_tables::{Command, Outcome, Revision, Tables, Update};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use thiserror::Error;

/// Why a controller did not carry out a command.
#[derive(Clone, Debug, Eq, Error, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlError {
    /// Another controller leads; the command was not proposed.
    #[error("not the leader")]
    NotLeader {
        /// The leader's address, when known.
        leader: Option<SocketAddr>,
    },
    /// The command was proposed, and whether it was committed is not known.
    #[error("whether the command was committed is not known")]
    Uncertain,
    /// Too many commands wait; nothing was proposed.
    #[error("too many commands wait; try again in {0} ms")]
    Busy(u64),
    /// The change of members does not fit the members, or is not safe while
    /// other members are away.
    #[error("the change does not fit the members or is not safe now")]
    Unsuitable,
    /// The controller cannot write its log.
    #[error("storage failed: {0}")]
    Storage(String),
}

/// A question for tables that are newer than what the asker holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FollowRequest {
    /// The host that asks.
    pub host: Name,
    /// The revision that the host has in force.
    pub revision: Revision,
    /// How long the answer may wait for a newer revision, in milliseconds.
    pub wait: u64,
}

/// The tables as routers need them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FollowReply {
    /// The revision that the controller has applied.
    pub revision: Revision,
    /// What leads the asker to that revision, unless it has it.
    pub update: Option<Update>,
    /// The time since the tables were known to be the newest, in milliseconds;
    /// grows at a relay that is cut off from the controllers.
    pub age: u64,
}

/// What a controller reports of itself and of the hosts that follow it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ControlStatus {
    /// The controller's host.
    pub host: Name,
    /// Its part in the consensus: `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// The consensus term.
    pub term: u64,
    /// The highest committed log position.
    pub commit: u64,
    /// The revision that the controller has applied.
    pub revision: Revision,
    /// The address of the leader, when known.
    pub leader: Option<SocketAddr>,
    /// The voters and learners.
    pub members: Vec<Member>,
    /// The state of the disk: `sound`, `slow`, or the error that keeps the
    /// controller out of voting.
    pub disk: String,
    /// What keeps the first set of voters from being formed, if anything.
    pub obstacles: Vec<String>,
}

/// The calls that a controller answers.
#[tarpc::service]
pub trait Control {
    /// Lends credit of budgets to a data centre.
    async fn lend(batch: BudgetBatch) -> BudgetReplies;
    /// Waits until the borrower has to return credit, for at most so many
    /// milliseconds, and returns the budgets.
    async fn recalled(borrower: Name, wait: u64) -> Vec<Name>;
    /// Proposes a command and waits until it is committed and applied.
    async fn propose(command: Command) -> Result<Outcome, ControlError>;
    /// Returns the tables when they are newer than the asker's.
    async fn follow(question: FollowRequest) -> FollowReply;
    /// Returns the tables as of a moment after the call was made.
    async fn read() -> Result<Tables, ControlError>;
    /// Changes the members and waits until the change is committed.
    async fn change_members(change: MemberChange) -> Result<(), ControlError>;
    /// Takes in messages of the replicated log from another controller.
    async fn deliver(messages: Vec<Envelope>);
    /// Returns the budgets; nothing when the controller does not lead.
    async fn budgets() -> Option<BTreeMap<Name, LenderView>>;
    /// Returns what the controller reports of itself.
    async fn status() -> ControlStatus;
    /// Returns the whole state of the process as JSON, without secrets.
    async fn dump() -> String;
}

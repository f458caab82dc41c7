use crate::{BudgetBatch, BudgetReplies};
use sequoiawing_budget::LenderView;
use sequoiawing_consensus::{Envelope, Member, MemberChange};
use sequoiawing_tables::{Command, Outcome, Revision, Tables, Update};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use thiserror::Error;

/// An error of a controller that did not execute a command.
#[derive(Clone, Debug, Eq, Error, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlError {
    /// Another controller is the leader. The command was not proposed.
    #[error("not the leader")]
    NotLeader {
        /// The leader's address, if known.
        leader: Option<SocketAddr>,
    },
    /// The command was proposed, but it is unknown whether it was committed.
    #[error("the command may or may not have been committed")]
    Uncertain,
    /// Too many commands are pending. The command was not proposed. Holds the
    /// time after which to retry, in milliseconds.
    #[error("too many pending commands; retry in {0} ms")]
    Busy(u64),
    /// The membership change does not apply to the current members, or is unsafe
    /// while other members are unreachable.
    #[error("the membership change does not apply to the current members or is currently unsafe")]
    Unsuitable,
    /// The controller cannot write its log. Holds the cause.
    #[error("storage failed: {0}")]
    Storage(String),
}

/// A request for tables that are newer than those of the sender.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FollowRequest {
    /// The requesting host.
    pub host: Name,
    /// The active revision of the requesting host.
    pub revision: Revision,
    /// The maximum time to wait for a newer revision, in milliseconds.
    pub wait: u64,
}

/// The reply to a [`FollowRequest`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FollowReply {
    /// The revision that the controller has applied.
    pub revision: Revision,
    /// The update to that revision, unless the requesting host already has it.
    pub update: Option<Update>,
    /// The time since the tables were last confirmed to be current, in
    /// milliseconds. It grows at a relay that is disconnected from the
    /// controllers.
    pub age: u64,
}

/// The status of a controller.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ControlStatus {
    /// The controller's host.
    pub host: Name,
    /// Its role in the consensus: `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// The consensus term.
    pub term: u64,
    /// The highest committed log position.
    pub commit: u64,
    /// The revision that the controller has applied.
    pub revision: Revision,
    /// The address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// The voters and learners.
    pub members: Vec<Member>,
    /// The state of the disk: `sound`, `slow`, or the error that prevents the
    /// controller from voting.
    pub disk: String,
    /// The obstacles to forming the initial set of voters, if any.
    pub obstacles: Vec<String>,
}

/// The RPC interface of a controller.
#[tarpc::service]
pub trait Control {
    /// Lends credit of budgets to a data centre.
    async fn lend(batch: BudgetBatch) -> BudgetReplies;
    /// Waits for at most `wait` milliseconds until the borrower has to return
    /// credit, and returns the affected budgets.
    async fn recalled(borrower: Name, wait: u64) -> Vec<Name>;
    /// Proposes a command and waits until it is committed and applied.
    async fn propose(command: Command) -> Result<Outcome, ControlError>;
    /// Returns the tables if they are newer than those of the requesting host.
    async fn follow(question: FollowRequest) -> FollowReply;
    /// Returns the tables as of a time after the call was made (a linearizable
    /// read).
    async fn read() -> Result<Tables, ControlError>;
    /// Changes the members and waits until the change is committed.
    async fn change_members(change: MemberChange) -> Result<(), ControlError>;
    /// Delivers consensus messages from another controller.
    async fn deliver(messages: Vec<Envelope>);
    /// Returns the lent budgets, or `None` if the controller is not the leader.
    async fn budgets() -> Option<BTreeMap<Name, LenderView>>;
    /// Returns the status of the controller.
    async fn status() -> ControlStatus;
    /// Returns the whole state of the process as JSON, without secrets.
    async fn dump() -> String;
}

use crate::{BudgetBatch, BudgetReplies, ExplainRequest, Explanation, FollowReply, FollowRequest};
use sequoiawing_cell::{CellReply, CellRequest};
use sequoiawing_fleet::{Demand, LoadDelta, OrderState, Relayed, Source, Summary, UpstreamState};
use sequoiawing_tables::{KeyId, Revision};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// What one router tells another of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct UpstreamBatch {
    /// The sender.
    pub source: Source,
    /// The upstreams that announced themselves to the sender, of which
    /// something changed.
    pub states: Vec<Relayed>,
    /// The loads of the others.
    pub loads: Vec<LoadDelta>,
    /// What other data centres tell the receiver's.
    pub summaries: Vec<Summary>,
    /// Whether the receiver passes the summaries on within its data centre,
    /// because they came from another one.
    pub spread: bool,
}

/// What the receiver of an [`UpstreamBatch`] could not use.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ExchangeReply {
    /// The indexes of loads whose upstream is not known in that version.
    pub indexes: Vec<u64>,
    /// The data centres of which the whole summary is needed.
    pub centres: Vec<Name>,
}

impl ExchangeReply {
    /// Reports whether everything could be used.
    pub fn is_empty(&self) -> bool {
        self.indexes.is_empty() && self.centres.is_empty()
    }
}

/// What a router reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RouterStatus {
    /// The router's host.
    pub host: Name,
    /// Its data centre.
    pub centre: Name,
    /// The revision in force.
    pub revision: Revision,
    /// The host that leads the data centre's cell, if known.
    pub leader: Option<Name>,
    /// The cell's term.
    pub term: u64,
    /// The requests that are being served.
    pub open: usize,
    /// The requests that wait.
    pub waiting: usize,
    /// The upstreams that are alive.
    pub upstreams: usize,
    /// Whether the router is shutting down.
    pub draining: bool,
}

/// The calls that a router answers to other routers and to operators.
#[tarpc::service]
pub trait Peer {
    /// Lends credit of budgets to a router of the data centre.
    async fn lend(batch: BudgetBatch) -> BudgetReplies;
    /// Waits until the borrower has to return credit, for at most so many
    /// milliseconds, and returns the budgets.
    async fn recalled(borrower: Name, wait: u64) -> Vec<Name>;
    /// Takes in what another router learnt of upstreams, and returns what must
    /// be sent whole.
    async fn exchange(batch: UpstreamBatch) -> ExchangeReply;
    /// Asks the cell leader for a model.
    async fn demand(demands: Vec<Demand>) -> Vec<OrderState>;
    /// Answers another member of the data centre's cell.
    async fn cell(request: CellRequest) -> Option<CellReply>;
    /// Returns the tables when they are newer than the asker's; routers relay
    /// them, so that not all ask the controllers.
    async fn follow(question: FollowRequest) -> FollowReply;
    /// Withdraws keys at once, without waiting for the log, and returns the
    /// withdrawn keys that the router knows in all.
    async fn withdraw(keys: Vec<KeyId>) -> usize;
    /// Returns the newest announcement of each upstream that is alive.
    async fn upstreams() -> Vec<UpstreamState>;
    /// Returns what would become of a request, without sending one.
    async fn explain(question: ExplainRequest) -> Explanation;
    /// Makes the health check fail, so that the platform's balancer sends no
    /// more callers, or succeed again; requests are still served.
    async fn drain(draining: bool) -> RouterStatus;
    /// Returns what the router reports of itself.
    async fn status() -> RouterStatus;
    /// Returns the whole state of the process as JSON, without secrets.
    async fn dump() -> String;
}

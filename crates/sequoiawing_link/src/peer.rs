use crate::{BudgetBatch, BudgetReplies, ExplainRequest, Explanation, FollowReply, FollowRequest};
use sequoiawing_cell::{CellReply, CellRequest};
use sequoiawing_fleet::{
    Demand, DemandStatus, LoadDelta, RelayedState, Source, Summary, UpstreamState,
};
use sequoiawing_tables::{KeyId, Revision};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// A batch of upstream changes, sent from one router to another.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct UpstreamBatch {
    /// The sender.
    pub source: Source,
    /// The changed states of upstreams that announced themselves to the sender.
    pub states: Vec<RelayedState>,
    /// The loads of the other upstreams that announced themselves to the sender.
    pub loads: Vec<LoadDelta>,
    /// The summaries of other data centres for the receiver's data centre.
    pub summaries: Vec<Summary>,
    /// Whether the receiver forwards the summaries within its data centre,
    /// because the sender is in another one.
    pub spread: bool,
}

/// The parts of an [`UpstreamBatch`] that the receiver could not apply.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ExchangeReply {
    /// The indexes of loads whose upstream the receiver does not know in that
    /// version.
    pub indexes: Vec<u64>,
    /// The data centres whose full summary is needed.
    pub centres: Vec<Name>,
}

impl ExchangeReply {
    /// Returns whether the whole batch was applied.
    pub fn is_empty(&self) -> bool {
        self.indexes.is_empty() && self.centres.is_empty()
    }
}

/// The status of a router.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RouterStatus {
    /// The router's host.
    pub host: Name,
    /// Its data centre.
    pub centre: Name,
    /// The active revision.
    pub revision: Revision,
    /// The leader of the data centre's cell, if known.
    pub leader: Option<Name>,
    /// The cell's term.
    pub term: u64,
    /// The number of requests being served.
    pub open: usize,
    /// The number of queued requests.
    pub waiting: usize,
    /// The number of upstreams that are alive.
    pub upstreams: usize,
    /// Whether the router is draining.
    pub draining: bool,
}

/// The RPC interface of a router for other routers and operators.
#[tarpc::service]
pub trait Peer {
    /// Lends credit of budgets to a router of the data centre.
    async fn lend(batch: BudgetBatch) -> BudgetReplies;
    /// Waits for at most `wait` milliseconds until the borrower has to return
    /// credit, and returns the affected budgets.
    async fn recalled(borrower: Name, wait: u64) -> Vec<Name>;
    /// Applies the upstream changes of another router, and returns what must be
    /// sent in full.
    async fn exchange(batch: UpstreamBatch) -> ExchangeReply;
    /// Sends demands for models to the cell leader, and returns their status.
    async fn demand(demands: Vec<Demand>) -> Vec<DemandStatus>;
    /// Handles a request of another member of the data centre's cell.
    async fn cell(request: CellRequest) -> Option<CellReply>;
    /// Returns the tables if they are newer than those of the requesting host.
    /// Routers relay the tables to each other to reduce the load on the
    /// controllers.
    async fn follow(question: FollowRequest) -> FollowReply;
    /// Withdraws keys immediately, without waiting for the log, and returns the
    /// total number of withdrawn keys that the router knows.
    async fn withdraw(keys: Vec<KeyId>) -> usize;
    /// Returns the latest announcement of each upstream that is alive.
    async fn upstreams() -> Vec<UpstreamState>;
    /// Explains how a request would be processed, without sending it.
    async fn explain(question: ExplainRequest) -> Explanation;
    /// Sets whether the health check fails, so that the platform's load balancer
    /// sends no new callers. Requests are still served.
    async fn drain(draining: bool) -> RouterStatus;
    /// Returns the status of the router.
    async fn status() -> RouterStatus;
    /// Returns the whole state of the process as JSON, without secrets.
    async fn dump() -> String;
}

use crate::ControlError;
use sequoiawing_catalog::{Catalog, Document};
use sequoiawing_fleet::{Cursor, RosterNews};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, sync::Arc};

/// What one gateway was asked for of a model or adapter since the batch before.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ModelDemand {
    /// The pool.
    pub pool: Name,
    /// The model.
    pub model: Name,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The requests.
    pub asked: u64,
    /// The tokens that they declared.
    pub tokens: u64,
    /// The requests that found no upstream with it.
    pub missed: u64,
    /// The requests that found all upstreams with it full.
    pub crowded: u64,
}

impl ModelDemand {
    /// Adds what was asked of the same model or adapter.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.tokens += other.tokens;
        self.missed += other.missed;
        self.crowded += other.crowded;
    }
}

/// Demand that a gateway reports together until a hub has taken it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct DemandBatch {
    /// Counts the batches of one start of the gateway from 1 on.
    pub number: u64,
    /// The demand.
    pub demand: Vec<ModelDemand>,
}

/// What a gateway tells a hub.
///
/// The counters of use run from the start of the gateway, and demand comes in
/// numbered batches, so that lost and repeated reports do no harm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayReport {
    /// The gateway's host.
    pub host: Name,
    /// Names its start; a later one is higher.
    pub incarnation: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The version of the configuration that it has.
    pub version: u64,
    /// How far it has the hub's roster.
    pub cursor: Cursor,
    /// The units that each customer used here.
    pub used: Vec<(Name, u64)>,
    /// The demand that no hub is known to have taken; told to one hub only.
    pub demand: Vec<DemandBatch>,
    /// The upstreams that could not be reached just now.
    pub unreachable: Vec<Name>,
    /// The upstreams that answered just now.
    pub reached: Vec<Name>,
    /// What the hub counted when it last answered.
    pub seen: u64,
    /// How long the answer may wait until something is new, in milliseconds.
    pub wait: u64,
}

/// A load that is under way.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlannedLoad {
    /// The pool.
    pub pool: Name,
    /// The model, or adapter as `model:adapter`.
    pub model: Name,
    /// The upstream that loads it.
    pub upstream: Name,
    /// When it should be done, in milliseconds from now.
    pub ready: u64,
    /// How long ago it should have been done, in milliseconds.
    pub late: u64,
}

/// What one gateway last told of itself, as hubs pass it on to each other.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayUsage {
    /// The gateway's host.
    pub host: Name,
    /// Names its start; a later one is higher.
    pub incarnation: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The units that each customer used there.
    pub used: Vec<(Name, u64)>,
    /// The upstreams that it could not reach.
    pub unreachable: Vec<Name>,
    /// The upstreams that answered it.
    pub reached: Vec<Name>,
    /// How long ago it told, in milliseconds.
    pub age: u64,
}

/// The loads and evictions that a leader has ordered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OrderedLoads {
    /// The leader's term; plans of a lower one are out of date.
    pub term: u64,
    /// The loads under way.
    pub loads: Vec<PlannedLoad>,
    /// The models that upstreams were told to give up, with the upstreams.
    pub evicted: Vec<(Name, Name)>,
}

/// What a hub is, as far as it helps gateways to choose among hubs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct HubInfo {
    /// Its data centre.
    pub centre: Name,
    /// The hosts of all hubs.
    pub hubs: Vec<IpAddr>,
    /// Whether its controller leads the log.
    pub leads: bool,
    /// How long ago its controller was in touch with the log's majority, in
    /// milliseconds.
    pub age: u64,
    /// How long ago it gave its last order, or else its start, in milliseconds.
    pub order_age: u64,
}

/// What a hub answers to a gateway.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct SyncReply {
    /// Names the start of the hub.
    pub epoch: u64,
    /// What the hub is.
    pub facts: HubInfo,
    /// The configuration, if it is newer than the gateway's.
    pub catalog: Option<Arc<Catalog>>,
    /// What is new in the roster.
    pub roster: RosterNews,
    /// The upstreams that have been silent for long.
    pub silent: Vec<Name>,
    /// The units that each customer used at all gateways.
    pub used: Vec<(Name, u64)>,
    /// Whether the sums are whole: a hub that starts while gateways are in use
    /// hears of them one after the other.
    pub settled: bool,
    /// The gateways.
    pub gateways: u32,
    /// Those among them that stopped to report without saying that they leave.
    pub missing: u32,
    /// What the leader has ordered, as far as the hub knows.
    pub ordered: Option<OrderedLoads>,
    /// Counts what was new; handed back in the next report.
    pub seen: u64,
}

/// What a hub asks another hub for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct MirrorRequest {
    /// How far it has the other's roster.
    pub cursor: Cursor,
    /// How far it has what gateways told the other.
    pub stamp: u64,
    /// What the other counted when it last answered.
    pub seen: u64,
    /// How long the answer may wait until something is new, in milliseconds.
    pub wait: u64,
}

/// What a hub answers to another hub.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct MirrorReply {
    /// What is new in the roster.
    pub roster: RosterNews,
    /// What gateways told the hub itself.
    pub uses: Vec<GatewayUsage>,
    /// How far that goes.
    pub stamp: u64,
    /// What it has ordered, if its controller leads the log.
    pub ordered: Option<OrderedLoads>,
    /// Counts what was new; handed back in the next request.
    pub seen: u64,
}

/// The calls that a hub answers to gateways and other hubs.
#[tarpc::service]
pub trait Hub {
    /// Takes in what a gateway reports and returns what is new to it.
    async fn sync(report: GatewayReport) -> SyncReply;
    /// Returns what the hub is.
    async fn facts() -> HubInfo;
    /// Returns what is new to another hub.
    async fn mirror(request: MirrorRequest) -> MirrorReply;
    /// Takes in demand that gateways reported to another hub.
    async fn demand(demand: Vec<ModelDemand>);
    /// Puts a configuration in force unless the present one is as new, and
    /// returns the version in force.
    async fn replace(document: Document) -> Result<u64, ControlError>;
    /// Returns the configuration in force as of a moment after the call was
    /// made.
    async fn document() -> Result<Document, ControlError>;
    /// Returns the whole state as JSON, without secrets.
    async fn dump() -> String;
}

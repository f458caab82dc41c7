use crate::{
    ControlError, LimitUpdate, OriginReply, OriginRequest, PlaceCall, PlaceReply, QuarantineReport,
    QuarantineUpdate, StreamOrigin, TokenUse,
};
use sequoiawing_catalog::{Catalog, Document};
use sequoiawing_fleet::{Cursor, RosterUpdate};
use sequoiawing_tables::{Departure, Evacuations, Outcome, Revision};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

/// The demand for a model or adapter at one gateway since the previous batch.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ModelDemand {
    /// The pool.
    pub pool: Name,
    /// The model.
    pub model: Name,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The software version that must serve it, since the requests take up streams of it.
    pub software: Option<Name>,
    /// The number of requests.
    pub asked: u64,
    /// How many of them can wait for a load and still be answered in time.
    pub patient: u64,
    /// The tokens that these requests declared.
    pub tokens: u64,
    /// The number of requests for which no upstream had it loaded.
    pub missed: u64,
    /// The number of requests for which all upstreams with it were full.
    pub crowded: u64,
    /// The number of answers that began late because their upstream was busy.
    pub late: u64,
}

impl ModelDemand {
    /// Adds the demand for the same model or adapter.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.patient += other.patient;
        self.tokens += other.tokens;
        self.missed += other.missed;
        self.crowded += other.crowded;
        self.late += other.late;
    }
}

/// A batch of demand, which a gateway reports until a hub has accepted it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct DemandBatch {
    /// The sequence number of the batch since the gateway started, from 1.
    pub number: u64,
    /// The demand.
    pub demand: Vec<ModelDemand>,
}

/// A report from a gateway to a hub.
///
/// Usage counters are cumulative since the gateway started and demand is sent in
/// numbered batches, so that lost and repeated reports do not distort the
/// totals.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayReport {
    /// The gateway's host.
    pub host: Name,
    /// Identifies the run of the gateway process; higher after each restart.
    pub incarnation: u64,
    /// Whether the gateway is shutting down.
    pub leaving: bool,
    /// The version of the gateway's configuration; see [`catalog_version`](Self::catalog_version).
    pub version: u64,
    /// Whether the gateway has a configuration, which may have version zero.
    pub configured: bool,
    /// The revision of the evacuated data centres that the gateway knows.
    pub evacuations: u64,
    /// The gateway's position in the hub's roster.
    pub cursor: Cursor,
    /// The units that each customer used at this gateway.
    pub used: Vec<(Name, u64)>,
    /// The demand that no hub has acknowledged yet; sent to one hub only.
    pub demand: Vec<DemandBatch>,
    /// The upstreams that were recently unreachable.
    pub unreachable: Vec<Name>,
    /// The upstreams that recently answered on a connection of the gateway itself.
    pub reached: Vec<Name>,
    /// The upstreams to which the gateway itself cannot connect.
    pub lost: Vec<Name>,
    /// The address at which the gateway opens tunnels to upstreams for others.
    pub tunnels: Option<SocketAddr>,
    /// Whether the gateway gets the changes of upstreams from another hub, which is in
    /// touch with the log.
    pub skips_roster: bool,
    /// What the gateway knows of crashed upstreams.
    pub quarantine: QuarantineReport,
    /// The limited upstreams, with the gateway's tokens.
    pub tokens: Vec<TokenUse>,
    /// The streams that began since the gateway's last report to this hub.
    pub streams: Vec<StreamOrigin>,
    /// The value of `seen` in the hub's last reply.
    pub seen: u64,
    /// The maximum time to wait for changes before replying, in milliseconds.
    pub wait: u64,
}

impl GatewayReport {
    /// Returns the version of the gateway's configuration, if it has one. Gateways of builds
    /// that took version zero for none do not send `configured`.
    pub fn catalog_version(&self) -> Option<u64> {
        (self.configured || self.version > 0).then_some(self.version)
    }
}

/// A gateway that opens tunnels to upstreams for others.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct NamedTunnelHost {
    /// The host.
    pub host: Name,
    /// The address at which it accepts requests for tunnels.
    pub address: SocketAddr,
    /// The indexes, in the requester's report, of the lost upstreams that it has not lost.
    pub reachable: Vec<usize>,
}

/// A load in progress.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlannedLoad {
    /// The pool.
    pub pool: Name,
    /// The model, or adapter as `model:adapter`.
    pub model: Name,
    /// The upstream that performs the load.
    pub upstream: Name,
    /// The expected time until it completes, in milliseconds.
    pub ready: u64,
    /// The time by which it is overdue, in milliseconds.
    pub late: u64,
}

/// The last usage report of one gateway, as forwarded between hubs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewayUsage {
    /// The gateway's host.
    pub host: Name,
    /// Identifies the run of the gateway process; higher after each restart.
    pub incarnation: u64,
    /// Whether the gateway is shutting down.
    pub leaving: bool,
    /// The units that each customer used at that gateway.
    pub used: Vec<(Name, u64)>,
    /// The upstreams that the gateway could not reach.
    pub unreachable: Vec<Name>,
    /// The upstreams that answered the gateway.
    pub reached: Vec<Name>,
    /// The upstreams to which the gateway itself cannot connect.
    pub lost: Vec<Name>,
    /// The address at which the gateway opens tunnels to upstreams for others.
    pub tunnels: Option<SocketAddr>,
    /// What the gateway knows of crashed upstreams; ages are those at the time of
    /// the report.
    pub quarantine: QuarantineReport,
    /// The limited upstreams, with the gateway's tokens; ages are those at the time
    /// of the report.
    pub tokens: Vec<TokenUse>,
    /// The time since the report, in milliseconds.
    pub age: u64,
}

/// Loads that a leader ordered.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OrderedLoads {
    /// The leader's term. Orders of a lower term are outdated.
    pub term: u64,
    /// The loads in progress.
    pub loads: Vec<PlannedLoad>,
}

/// The evictions that a leader ordered and that upstreams have not announced.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OrderedEvictions {
    /// The leader's term. Orders of a lower term are outdated.
    pub term: u64,
    /// The evicted models, each with the upstream that was ordered to unload it.
    pub evicted: Vec<(Name, Name)>,
}

/// A gateway's request for the load of a model or adapter that no upstream has.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LoadRequest {
    /// The demand for it.
    pub demand: ModelDemand,
    /// The maximum time to wait for the order, in milliseconds.
    pub wait: u64,
    /// Whether a hub that does not lead has passed it on.
    pub is_forwarded: bool,
}

impl LoadRequest {
    /// Returns the adapter, or else the model.
    pub fn target(&self) -> &Name {
        self.demand.adapter.as_ref().unwrap_or(&self.demand.model)
    }
}

/// Information about a hub, by which gateways choose among hubs.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct HubInfo {
    /// The hub's data centre.
    pub centre: Name,
    /// The host addresses of all hubs.
    pub hubs: Vec<IpAddr>,
    /// Whether its controller is the leader of the log.
    pub leads: bool,
    /// The time since its controller last had contact with a majority of the
    /// log's voters, in milliseconds.
    pub age: u64,
    /// The time since its last order, or since its start if it has given none, in
    /// milliseconds.
    pub order_age: u64,
}

/// The reply of a hub to a [`GatewayReport`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct SyncReply {
    /// Identifies the run of the hub process.
    pub epoch: u64,
    /// Information about the hub.
    pub facts: HubInfo,
    /// The configuration, if it is newer than the gateway's.
    pub catalog: Option<Arc<Catalog>>,
    /// The evacuated data centres, of the same state of the log as the configuration, if
    /// they are newer than the gateway's.
    pub evacuations: Option<Evacuations>,
    /// The changes of the roster since the report's cursor.
    pub roster: RosterUpdate,
    /// The upstreams that have been silent for long.
    pub silent: Vec<Name>,
    /// The units that each customer used across all gateways.
    pub used: Vec<(Name, u64)>,
    /// Whether the totals are complete. A hub that starts while gateways are
    /// running learns of them one after the other.
    pub settled: bool,
    /// The number of gateways.
    pub gateways: u32,
    /// The number of these gateways that stopped reporting without announcing
    /// their shutdown.
    pub missing: u32,
    /// The leader's evictions, as far as the hub knows them; left out with the changes of
    /// upstreams.
    pub evictions: Option<OrderedEvictions>,
    /// The prompt parts that are suspected or quarantined.
    pub quarantine: QuarantineUpdate,
    /// The limited upstreams with the gateway's tokens, if the issuer of tokens is
    /// known and in touch.
    pub limits: Option<LimitUpdate>,
    /// Hosts that reach upstreams which the gateway has lost.
    pub tunnel_hosts: Vec<NamedTunnelHost>,
    /// The highest incarnation of the gateway's host that the hub knows. It ignores reports
    /// of lower ones.
    pub incarnation: u64,
    /// The hub's change counter, to be returned in the next report.
    pub seen: u64,
}

/// A request from a hub for the changes at another hub.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct MirrorRequest {
    /// The sender's position in the other hub's roster.
    pub cursor: Cursor,
    /// The stamp of the last gateway usage received from the other hub.
    pub stamp: u64,
    /// The value of `seen` in the other hub's last reply.
    pub seen: u64,
    /// The maximum time to wait for changes before replying, in milliseconds.
    pub wait: u64,
    /// Whether to pass on what the other hub itself learned from further hubs, since the
    /// sender is out of touch with one.
    pub wants_all: bool,
}

/// The reply of a hub to a [`MirrorRequest`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct MirrorReply {
    /// The changes of the roster since the request's cursor.
    pub roster: RosterUpdate,
    /// The usage that gateways reported to the hub directly.
    pub uses: Vec<GatewayUsage>,
    /// The stamp of the last usage in `uses`, for the next request.
    pub stamp: u64,
    /// The hub's evictions, if its controller is the leader of the log.
    pub evictions: Option<OrderedEvictions>,
    /// The limited upstreams with the tokens of all gateways, if the hub's controller
    /// is the leader of the log.
    pub limits: Option<LimitUpdate>,
    /// The revision of the hub's tables, if its controller is the leader of the log.
    pub revision: Option<Revision>,
    /// The hub's change counter, to be returned in the next request.
    pub seen: u64,
}

/// The RPC interface of a hub for gateways and other hubs.
#[tarpc::service]
pub trait Hub {
    /// Processes a gateway's report and returns the changes since its last one.
    async fn sync(report: GatewayReport) -> SyncReply;
    /// Returns information about the hub.
    async fn facts() -> HubInfo;
    /// Returns the changes since another hub's last request.
    async fn mirror(request: MirrorRequest) -> MirrorReply;
    /// Receives the demand of a request that no upstream can serve, and returns the
    /// loads that will meet it as soon as they are ordered, or after `wait`
    /// milliseconds. Returns `None` if the leader is unknown.
    async fn request_load(request: LoadRequest) -> Option<OrderedLoads>;
    /// Receives demand that gateways reported to another hub.
    async fn demand(demand: Vec<ModelDemand>);
    /// Replaces the configuration, unless the current version is the same or
    /// newer, and returns the active version.
    async fn replace(document: Document) -> Result<u64, ControlError>;
    /// Returns the active configuration as of a time after the call was made (a
    /// linearizable read).
    async fn document() -> Result<Document, ControlError>;
    /// Begins or ends the evacuation of a data centre.
    async fn evacuate(centre: Name, begin: bool) -> Result<Outcome, ControlError>;
    /// Records that an upstream leaves or has left.
    async fn depart(upstream: Name, departure: Departure) -> Result<Outcome, ControlError>;
    /// Returns the whole state as JSON, without secrets.
    async fn dump() -> String;
    /// Returns the known software versions that began the streams of callers' attempts,
    /// and the only version of their pool if there was no other lately.
    async fn stream_origins(request: OriginRequest) -> OriginReply;
    /// Takes back places at brittle upstreams, and gives out one if the hub's host leads.
    async fn places(call: PlaceCall) -> PlaceReply;
}

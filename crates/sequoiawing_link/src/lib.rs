//! Authenticated RPC between `sequoiawing` processes.
//!
//! Calls use `tarpc` over TCP. Before the first call, both peers prove that they
//! know the deployment's secret; see
//! [docs/SECURITY.md](../../../docs/SECURITY.md). Processes of the same
//! build use a binary [`Format`], processes of different builds JSON.

mod budget;
mod codec;
mod control;
mod error;
mod explain;
mod handshake;
mod hub;
mod peer;
mod place;
mod quarantine;
mod serve;
mod stream_origin;
mod stub;
mod translation;
mod tunnel;
mod upstream_limit;

pub use budget::{BudgetBatch, BudgetReplies};
pub use codec::{Codec, Format};
pub use control::{
    Control, ControlClient, ControlError, ControlStatus, FollowReply, FollowRequest,
};
pub use error::LinkError;
pub use explain::{ExplainRequest, Explanation, Step, Verdict};
pub use handshake::Secret;
pub use hub::{
    DemandBatch, GatewayReport, GatewayUsage, Hub, HubClient, HubInfo, LoadRequest, MirrorReply,
    MirrorRequest, ModelDemand, NamedTunnelHost, OrderedEvictions, OrderedLoads, PlannedLoad,
    SyncReply,
};
pub use peer::{ExchangeReply, Peer, PeerClient, RouterStatus, UpstreamBatch};
pub use place::{PlaceCall, PlaceInUse, PlaceReply, PlaceRequest, PlaceTarget, PlacesInUse};
pub use quarantine::{
    CauseSuccess, CrashReport, CrashedCause, QuarantineEntry, QuarantineReport, QuarantineUpdate,
};
pub use serve::{
    Connection, ConnectionHandler, LinkListener, Transport, server_channel, spawn_call,
};
pub use stream_origin::{OnlySoftware, OriginReply, OriginRequest, StreamOrigin};
pub use stub::{Connect, Stub};
pub use translation::{Translation, Translations};
pub use tunnel::{TunnelError, TunnelRequest, TunnelStatus, open_tunnel};
pub use upstream_limit::{LimitUpdate, ObservedLimit, TokenGrant, TokenUse, UpstreamLimit};

pub use futures::StreamExt;
pub use tarpc::{client::RpcError, context::Context, server::Channel};

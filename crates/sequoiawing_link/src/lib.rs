//! Authenticated calls between `sequoiawing` processes.
//!
//! Calls are made with `tarpc` over TCP. Before the first call both ends prove
//! that they know the deployment's secret; see
//! [docs/SECURITY.md](../../../docs/SECURITY.md). Processes of one release speak
//! a binary [`Format`], those of different releases JSON.

mod budget;
mod codec;
mod control;
mod error;
mod explain;
mod handshake;
mod hub;
mod peer;
mod serve;
mod stub;
mod translation;

pub use budget::{BudgetBatch, BudgetReplies};
pub use codec::{Codec, Format};
pub use control::{Control, ControlClient, ControlError, ControlStatus, Follow, Published};
pub use error::LinkError;
pub use explain::{Explanation, Question, Step, Verdict};
pub use handshake::Secret;
pub use hub::{
    DemandBatch, GatewayReport, GatewayUse, Hub, HubClient, HubFacts, HubNews, MirrorNews,
    MirrorRequest, ModelDemand, OrderedLoads, PlannedLoad,
};
pub use peer::{Missing, Peer, PeerClient, RouterStatus, UpstreamBatch};
pub use serve::{Answer, Connection, LinkListener, Transport, channel, spawn_call};
pub use stub::{Connect, Stub};
pub use translation::{Translation, Translations};

pub use futures::StreamExt;
pub use tarpc::{client::RpcError, context::Context, server::Channel};

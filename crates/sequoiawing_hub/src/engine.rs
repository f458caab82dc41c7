use futures::future::BoxFuture;
use sequoiawing_fleet::{OrderKind, UpstreamState};
use sequoiawing_policy::serving::{EngineReply, EngineReport, LoaderSettings};
use sequoiawing_types::Name;
use std::{sync::Arc, time::Duration};

/// An order to an engine, with the preconditions that make a delayed order
/// harmless.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The operation.
    pub kind: OrderKind,
    /// The host that gives the order.
    pub holder: Name,
    /// The term of the host's leadership, as fencing token: an engine refuses
    /// terms lower than the highest that it has seen.
    pub fence: u64,
    /// The number of orders that the engine has accepted before this one. It
    /// refuses the order if its own number differs.
    pub expected: Option<u64>,
}

/// The client with which a hub calls engines.
pub trait EngineClient: Send + Sync {
    /// Sends an order.
    fn send_order<'a>(
        &'a self,
        engine: &'a UpstreamState,
        order: &'a EngineOrder,
    ) -> BoxFuture<'a, EngineReply>;

    /// Fetches an engine's state; `None` if it does not answer.
    fn fetch_report<'a>(&'a self, engine: &'a UpstreamState)
    -> BoxFuture<'a, Option<EngineReport>>;
}

/// Options of the loader, which orders engines to load models.
#[derive(Clone)]
pub struct LoaderOptions {
    /// The client for calls to engines.
    pub client: Arc<dyn EngineClient>,
    /// How long no other host may have given orders before a new leader gives
    /// its first, so that no order of a predecessor arrives in between.
    pub handover: Duration,
    /// The limits on loads.
    pub loader: LoaderSettings,
}

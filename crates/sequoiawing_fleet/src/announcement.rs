use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The kind of work that an upstream accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// An engine that loads models and adapters when ordered to.
    #[default]
    Runner,
    /// A service that needs no loading and is always ready.
    Service,
}

/// The state that an upstream announces.
///
/// The same type is sent by the upstream to a router and between the routers of
/// a data centre.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct UpstreamState {
    /// The upstream's name, unique within its pool.
    pub name: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Its data centre.
    pub centre: Name,
    /// The kind of work that it accepts.
    pub kind: UpstreamKind,
    /// The address at which it accepts requests and orders.
    pub address: Option<SocketAddr>,
    /// Identifies one start of the upstream; a later start has a higher epoch.
    pub epoch: u64,
    /// Numbers the announcements within an epoch, so that late ones are dropped.
    pub sequence: u64,
    /// The version of its software, empty if it names none; `None` if this is not known,
    /// since a process of an earlier build has passed the announcement on.
    pub software: Option<Name>,
    /// How long the announcement stays valid, in milliseconds.
    pub lifetime: u64,
    /// Whether the upstream is shutting down and accepts no new work.
    pub leaving: bool,
    /// Whether the upstream rejects orders with an outdated fencing token.
    pub fenced: bool,
    /// How long the upstream stays cold, in milliseconds, as of the announcement; a process
    /// that passes it on takes off the time since it received it.
    pub cold: u64,
    /// The highest fencing token that it has seen.
    pub fence: u64,
    /// The accelerator memory available for models, in MiB.
    pub memory: u64,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// The number of requests that it is running.
    pub running: u32,
    /// The loaded models.
    pub loaded: Vec<Name>,
    /// The loaded adapters, as `model:adapter`.
    pub adapters: Vec<Name>,
    /// The models and adapters that are running requests, or ran any since the
    /// previous announcement. They are never evicted.
    pub active: Vec<Name>,
    /// The models and adapters that are being loaded.
    pub loading: Vec<Name>,
    /// The models and adapters whose last load failed.
    pub failed: Vec<Name>,
    /// The models whose checkpoint is on the local disk.
    pub disk: Vec<Name>,
    /// The models whose checkpoint is in main memory.
    pub cached: Vec<Name>,
    /// The identifiers of the orders that it received most recently. When an
    /// upstream lists them, its failed orders are settled immediately rather
    /// than when they expire.
    pub taken: Vec<u64>,
    /// Hashes of the prompt prefixes added to its prefix cache since the
    /// previous announcement. They are hints, which may be late or incomplete.
    pub stored: Vec<u64>,
}

impl UpstreamState {
    /// Returns whether the model is loaded.
    pub fn has_model(&self, model: &Name) -> bool {
        self.loaded.contains(model)
    }

    /// Returns whether the model is being loaded.
    pub fn is_loading(&self, model: &Name) -> bool {
        self.loading.contains(model)
    }

    /// Returns the key that orders the announcements of an upstream: first by
    /// epoch, then by sequence.
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }

    /// Returns whether the adapter `model:adapter` is loaded.
    pub fn has_adapter(&self, adapter: &Name) -> bool {
        self.adapters.contains(adapter)
    }
}

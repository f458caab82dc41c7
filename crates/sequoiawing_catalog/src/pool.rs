use sequoiawing_types::{Name, RequestRate};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A model that the engines of a pool may load.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Name,
    /// The accelerator memory that its weights need, in MB.
    pub weights: u64,
    /// The time to load it from the weight store, in milliseconds.
    pub store_load: u64,
    /// The time to load it from the engine's disk, in milliseconds.
    pub disk_load: u64,
    /// The time to load it from the engine's main memory, in milliseconds.
    pub memory_load: u64,
    /// The number of its adapters.
    pub adapters: u32,
    /// The accelerator memory that one adapter needs, in MB.
    pub adapter_weights: u64,
}

/// The capacities of each engine of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Engine {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The token capacity shared by running requests and cached prompt prefixes.
    pub tokens: u64,
    /// The accelerator memory for weights and adapters, in MB.
    pub weights: u64,
    /// The maximum number of loaded adapters.
    pub adapter_slots: u32,
    /// The load rate that the weight store sustains over all engines, in
    /// thousandths of a load per second.
    pub load_rate: u64,
    /// The main memory for cached weights, in MB.
    pub host_memory: u64,
    /// The disk space for cached weights, in MB.
    pub disk: u64,
    /// The number of tokens in one event of a stream.
    pub stride: u64,
    /// The models that the engines may load.
    pub models: Vec<ModelSpec>,
}

impl Engine {
    /// Returns the model of the given name.
    pub fn model(&self, name: &Name) -> Option<&ModelSpec> {
        self.models.iter().find(|m| m.name == *name)
    }

    /// Returns the accelerator memory to reserve for adapters, in MB: enough to
    /// fill all adapter slots with the largest adapter.
    pub fn adapter_reserve(&self) -> u64 {
        let with_adapters = self.models.iter().filter(|m| m.adapters > 0);
        let largest = with_adapters.map(|m| m.adapter_weights).max();
        largest.unwrap_or_default() * u64::from(self.adapter_slots)
    }

    /// Returns the minimum interval between two loads from the weight store.
    pub fn load_interval(&self) -> Duration {
        let millis = 1_000_000_u64.checked_div(self.load_rate);
        Duration::from_millis(millis.unwrap_or_default())
    }
}

/// How upstreams behave for some time after a start. Zeros mean that they are never cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ColdPhase {
    /// How long an upstream is cold after a start, in milliseconds.
    pub start: u64,
    /// The thousandths of a request per second that it takes meanwhile, from all hosts
    /// together.
    pub rate: u64,
}

impl ColdPhase {
    /// Returns the requests per second that a cold upstream takes; `None` if upstreams are
    /// never cold.
    pub fn rate(&self) -> Option<RequestRate> {
        let is_ever = self.start > 0 && self.rate > 0;
        RequestRate::from_milli(self.rate).filter(|_| is_ever)
    }
}

/// A set of upstreams that serve the same requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogPool {
    /// The pool's name, which its upstreams announce.
    pub name: Name,
    /// The path of the upstreams' health check.
    pub health: String,
    /// The maximum number of connections to one upstream over all hosts.
    pub connections: u32,
    /// How its upstreams behave after a start.
    pub cold: ColdPhase,
    /// The capacities of its engines; `None` for services that load no models.
    pub engine: Option<Engine>,
}

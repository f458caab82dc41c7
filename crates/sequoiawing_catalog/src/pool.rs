use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A model that the engines of a pool may load.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ModelSpec {
    /// The name.
    pub name: Name,
    /// The accelerator memory of its weights, in MB.
    pub weights: u64,
    /// How long a load from the weight store takes, in milliseconds.
    pub store_load: u64,
    /// How long a load from the engine's disk takes, in milliseconds.
    pub disk_load: u64,
    /// How long a load from the engine's main memory takes, in milliseconds.
    pub memory_load: u64,
    /// The number of its adapters.
    pub adapters: u32,
    /// The accelerator memory of one adapter, in MB.
    pub adapter_weights: u64,
}

/// What the engines of a pool can hold and do.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Engine {
    /// The requests that run at once.
    pub slots: u32,
    /// The tokens that running requests and kept prompt parts share.
    pub tokens: u64,
    /// The accelerator memory for weights and adapters, in MB.
    pub weights: u64,
    /// The adapters that are held at once.
    pub adapter_slots: u32,
    /// The loads that the weight store bears in a second over all engines, in
    /// thousandths.
    pub load_rate: u64,
    /// The main memory for copies of weights, in MB.
    pub host_memory: u64,
    /// The disk for copies of weights, in MB.
    pub disk: u64,
    /// The tokens that one event of a stream holds.
    pub stride: u64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl Engine {
    /// Returns the model of that name.
    pub fn model(&self, name: &Name) -> Option<&ModelSpec> {
        self.models.iter().find(|m| m.name == *name)
    }

    /// Returns the accelerator memory that adapters may need on an engine that
    /// holds as many of the largest ones as it may, in MB.
    pub fn adapter_reserve(&self) -> u64 {
        let with_adapters = self.models.iter().filter(|m| m.adapters > 0);
        let largest = with_adapters.map(|m| m.adapter_weights).max();
        largest.unwrap_or_default() * u64::from(self.adapter_slots)
    }

    /// Returns the shortest time between two loads from the weight store.
    pub fn load_interval(&self) -> Duration {
        let millis = 1_000_000_u64.checked_div(self.load_rate);
        Duration::from_millis(millis.unwrap_or_default())
    }
}

/// A set of upstreams that serve the same requests.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogPool {
    /// The name that upstreams give when they announce themselves.
    pub name: Name,
    /// The path of their health check.
    pub health: String,
    /// The connections that one upstream accepts from all hosts.
    pub connections: u32,
    /// What its engines can hold; nothing for plain services.
    pub engine: Option<Engine>,
}

use crate::Shared;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The kind of upstreams in a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Inference engines that load models and adapters on demand.
    #[default]
    Runners,
    /// Services without models, which are always ready.
    Services,
}

/// A model that the runners of a pool may load.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Model {
    /// The name that callers request.
    pub name: Name,
    /// The accelerator memory of one replica, in MiB.
    pub memory: u64,
    /// The maximum number of replicas across all data centres.
    pub replicas: u32,
    /// The adapters that callers may request as `model:adapter`.
    pub adapters: Shared<Vec<Name>>,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            name: Name::default(),
            memory: 1_024,
            replicas: 1,
            adapters: Shared::default(),
        }
    }
}

/// A set of upstreams, and the models that may run on them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Pool {
    /// The name that routes and upstream announcements refer to.
    pub name: Name,
    /// The kind of upstreams in the pool.
    pub kind: PoolKind,
    /// The data centres whose upstreams may join; all if empty.
    pub centres: Vec<Name>,
    /// The models that the pool's runners may load.
    pub models: Vec<Model>,
    /// The maximum time that an unused model stays loaded, in seconds; zero
    /// means that only the learned keep-alive applies.
    pub idle: u64,
}

impl Pool {
    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|m| m.name.as_str() == name)
    }

    /// Returns whether upstreams of the data centre may join.
    pub fn allows_centre(&self, centre: &Name) -> bool {
        self.centres.is_empty() || self.centres.contains(centre)
    }
}

use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The action that an order requests of an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model.
    Load {
        /// The model.
        model: Name,
        /// The accelerator memory reserved for it, in MiB.
        memory: u64,
    },
    /// Unloads a model and its adapters.
    Unload {
        /// The model.
        model: Name,
    },
    /// Loads an adapter, named `model:adapter`, of a loaded model.
    LoadAdapter {
        /// The adapter.
        adapter: Name,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// The adapter.
        adapter: Name,
    },
    /// Only raises the fencing token. A new leader sends it first; an
    /// announcement that shows the token also shows the effects of all older
    /// orders.
    Fence,
}

/// An order from a cell leader to an upstream.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// The identifier, unchanged when the order is resent. An upstream executes
    /// each order once.
    pub id: u64,
    /// The fencing token, which is the cell's term. An upstream may reject
    /// outdated ones.
    pub fence: u64,
    /// The epoch of the upstream that the order is for. A restarted upstream
    /// rejects orders for earlier epochs.
    pub epoch: u64,
    /// The requested action.
    pub kind: OrderKind,
}

/// The reply of an upstream to an order.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order is being executed or has been executed.
    Accepted,
    /// The fencing token is older than one that the upstream has seen.
    Outdated {
        /// The highest fencing token that it has seen.
        fence: u64,
    },
    /// The order cannot be executed.
    Rejected {
        /// The reason.
        problem: String,
    },
}

use crate::{Customer, Key, KeyId, Pool, Route, RouterHost, Store};
use sequoiawing_catalog::Catalog;
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A change of one entry of the tables.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a customer.
    PutCustomer(Customer),
    /// Removes a customer.
    DeleteCustomer(Name),
    /// Creates or replaces a pool.
    PutPool(Pool),
    /// Removes a pool.
    DeletePool(Name),
    /// Creates or replaces a route.
    PutRoute(Route),
    /// Removes a route.
    DeleteRoute(Name),
    /// Replaces the capacity limits of the weight store.
    PutStore(Store),
    /// Grants a key.
    GrantKey(Key),
    /// Withdraws a key permanently.
    WithdrawKey(KeyId),
    /// Stops sending new requests to an upstream, as if it had announced its
    /// shutdown.
    Drain(Name),
    /// Resumes sending new requests to an upstream.
    Undrain(Name),
    /// Adds a host to its data centre's cell. Internal: made only while the log
    /// is applied.
    PutHost(RouterHost),
    /// Removes a host from its cell. Internal: made only while the log is
    /// applied.
    DeleteHost(Name),
    /// Marks a membership epoch of a cell as settled. Internal: made only while
    /// the log is applied.
    SettleCell {
        /// The data centre.
        centre: Name,
        /// The epoch.
        epoch: u64,
    },
    /// Replaces the whole configuration. Internal: made only while the log is
    /// applied.
    PutCatalog(Arc<Catalog>),
}

impl Change {
    /// Returns whether the change is internal, and so rejected in an edit.
    pub(crate) fn is_internal(&self) -> bool {
        matches!(
            self,
            Self::PutHost(_) | Self::DeleteHost(_) | Self::SettleCell { .. } | Self::PutCatalog(_)
        )
    }
}

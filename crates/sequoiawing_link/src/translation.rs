use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// An address and the one under which this host reaches it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Translation {
    /// The address as the settings, the tables or an upstream give it.
    pub address: SocketAddr,
    /// The address to connect to in its place.
    pub reach: SocketAddr,
}

/// The addresses that this host reaches under others, as behind address
/// translation between data centres.
///
/// Clones share the addresses.
#[derive(Clone, Debug, Default)]
pub struct Translations(Arc<BTreeMap<SocketAddr, SocketAddr>>);

impl Translations {
    /// Returns the translations that the settings name.
    pub fn new(settings: &[Translation]) -> Self {
        let pairs = settings.iter().map(|t| (t.address, t.reach));
        Self(Arc::new(pairs.collect()))
    }

    /// Returns where to connect to reach an address.
    pub fn translate(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}

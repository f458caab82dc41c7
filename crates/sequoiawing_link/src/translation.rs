use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// A translation of one address to the address that this host connects to.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Translation {
    /// The address as given by the settings, the tables or an upstream.
    pub address: SocketAddr,
    /// The address to connect to instead.
    pub reach: SocketAddr,
}

/// The address translations of this host, for example for NAT between data
/// centres.
///
/// Clones share the translations.
#[derive(Clone, Debug, Default)]
pub struct Translations(Arc<BTreeMap<SocketAddr, SocketAddr>>);

impl Translations {
    /// Creates the translations from the settings.
    pub fn new(settings: &[Translation]) -> Self {
        let pairs = settings.iter().map(|t| (t.address, t.reach));
        Self(Arc::new(pairs.collect()))
    }

    /// Returns the address to connect to in order to reach `address`.
    pub fn translate(&self, address: SocketAddr) -> SocketAddr {
        self.0.get(&address).copied().unwrap_or(address)
    }
}

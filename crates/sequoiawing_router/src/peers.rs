use crate::PeerSettings;
use parking_lot::RwLock;
use sequoiawing_link::{PeerClient, Secret, Stub, Translations};
use sequoiawing_tables::Tables;
use sequoiawing_types::Name;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// A connection to another router.
#[derive(Clone)]
pub(crate) struct PeerLink {
    /// The host of the router.
    pub(crate) host: Name,
    /// The data centre of the router.
    pub(crate) centre: Name,
    /// The client stub.
    pub(crate) stub: Stub<PeerClient>,
}

/// The other routers, which are those in the settings until the tables list them.
///
/// With the settings, a router that starts while no controller is reachable can
/// get the tables from another router.
pub(crate) struct Peers {
    host: Name,
    secret: Secret,
    translations: Translations,
    links: RwLock<Arc<Vec<PeerLink>>>,
}

impl Peers {
    pub(crate) fn new(
        host: Name,
        secret: Secret,
        translations: Translations,
        settings: &[PeerSettings],
    ) -> Self {
        let links = settings.iter().map(|p| PeerLink {
            host: p.host.clone(),
            centre: p.centre.clone(),
            stub: Stub::new(translations.translate(p.address), secret.clone()),
        });
        let links = RwLock::new(Arc::new(links.collect()));
        Self {
            host,
            secret,
            translations,
            links,
        }
    }

    /// Returns all other routers.
    pub(crate) fn all(&self) -> Arc<Vec<PeerLink>> {
        self.links.read().clone()
    }

    /// Returns the router of a host.
    pub(crate) fn get(&self, host: &Name) -> Option<PeerLink> {
        self.links.read().iter().find(|p| p.host == *host).cloned()
    }

    /// Replaces the routers with the hosts in the tables. Connections to hosts with
    /// an unchanged address are kept.
    pub(crate) fn update(&self, tables: &Tables) {
        if tables.hosts.is_empty() {
            return;
        }
        let previous = self.all();
        let connections: BTreeMap<(&Name, SocketAddr), &PeerLink> = previous
            .iter()
            .map(|p| ((&p.host, p.stub.address()), p))
            .collect();
        let others = tables.hosts.values().filter(|h| h.host != self.host);
        let links = others.map(|h| {
            let address = self.translations.translate(h.address);
            PeerLink {
                host: h.host.clone(),
                centre: h.centre.clone(),
                stub: connections.get(&(&h.host, address)).map_or_else(
                    || Stub::new(address, self.secret.clone()),
                    |p| p.stub.clone(),
                ),
            }
        });
        *self.links.write() = Arc::new(links.collect());
    }
}

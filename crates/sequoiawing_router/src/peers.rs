use crate::PeerSettings;
use parking_lot::RwLock;
use sequoiawing_link::{PeerClient, Secret, Stub, Translations};
use sequoiawing_tables::Tables;
use sequoiawing_types::Name;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Another router and the way to call it.
#[derive(Clone)]
pub(crate) struct PeerLink {
    /// Its host.
    pub(crate) host: Name,
    /// Its data centre.
    pub(crate) centre: Name,
    /// The connection.
    pub(crate) stub: Stub<PeerClient>,
}

/// The other routers: those that the settings name, until the tables do.
///
/// A router that starts while no controller is reachable finds a neighbour with
/// the tables by its settings.
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

    /// Takes in the hosts of the tables; connections to those that stay at
    /// their address are kept.
    pub(crate) fn refresh(&self, tables: &Tables) {
        if tables.hosts.is_empty() {
            return;
        }
        let former = self.all();
        let known: BTreeMap<(&Name, SocketAddr), &PeerLink> = former
            .iter()
            .map(|p| ((&p.host, p.stub.address()), p))
            .collect();
        let others = tables.hosts.values().filter(|h| h.host != self.host);
        let links = others.map(|h| {
            let address = self.translations.translate(h.address);
            PeerLink {
                host: h.host.clone(),
                centre: h.centre.clone(),
                stub: known.get(&(&h.host, address)).map_or_else(
                    || Stub::new(address, self.secret.clone()),
                    |p| p.stub.clone(),
                ),
            }
        });
        *self.links.write() = Arc::new(links.collect());
    }
}

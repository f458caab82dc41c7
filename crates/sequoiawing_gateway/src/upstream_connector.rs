//! Connections to upstreams, directly or through other gateways.

use async_net::TcpStream;
use event_listener::Event;
use parking_lot::{Mutex, RwLock};
use sequoiawing_fleet::RosterEntry;
use sequoiawing_http::{ConnectFuture, Connection, Connector, DirectConnector};
use sequoiawing_link::{NamedTunnelHost, Secret, Translations, open_tunnel};
use sequoiawing_policy::serving::{PathSettings, TunnelHost, UpstreamPaths, Via};
use sequoiawing_runtime::{Clock, timeout};
use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

/// Timeout of a connect to an upstream. Upstreams of the same region answer
/// within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a request for a tunnel: the other gateway's connect, the handshake and the
/// round trips to it.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Connects to upstreams on the path that [`UpstreamPaths`] chooses.
pub(crate) struct UpstreamConnector {
    direct: DirectConnector,
    translations: Translations,
    secret: Secret,
    clock: Clock,
    paths: Mutex<UpstreamPaths>,
    /// The upstreams by the addresses that they announced.
    names: RwLock<HashMap<SocketAddr, Name>>,
    /// Notified when a direct path is lost or found.
    pub(crate) paths_changed: Event,
}

impl UpstreamConnector {
    pub(crate) fn new(clock: Clock, translations: Translations, secret: Secret) -> Self {
        Self {
            direct: DirectConnector {
                timeout: CONNECT_TIMEOUT,
                resets: false,
            },
            translations,
            secret,
            clock,
            paths: Mutex::new(UpstreamPaths::new(PathSettings::default())),
            names: RwLock::default(),
            paths_changed: Event::new(),
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Returns the upstream that has announced itself at the address.
    pub(crate) fn upstream_at(&self, address: SocketAddr) -> Option<Name> {
        self.names.read().get(&address).cloned()
    }

    /// Applies a change of an upstream.
    pub(crate) fn update(&self, entry: &RosterEntry) {
        let Some(address) = entry.state.address else {
            return;
        };
        let name = &entry.state.name;
        let mut names = self.names.write();
        if !entry.gone {
            names.insert(address, name.clone());
            return;
        }
        // The address may have been taken by another upstream.
        if names.get(&address) == Some(name) {
            names.remove(&address);
        }
        drop(names);
        self.paths.lock().remove(name);
    }

    /// Sets the gateways that a hub names in its reply to a report of lost upstreams;
    /// returns those that can now be reached through one.
    pub(crate) fn set_hosts(
        &self,
        hub: SocketAddr,
        lost: &[Name],
        named: &[NamedTunnelHost],
    ) -> Vec<Name> {
        let hosts = named.iter().map(|host| TunnelHost {
            address: host.address,
            reachable: host
                .reachable
                .iter()
                .filter_map(|n| lost.get(*n).cloned())
                .collect(),
        });
        let hosts = hosts.collect();
        self.paths.lock().set_hosts(self.now(), hub, hosts)
    }

    /// Returns the upstreams to which this gateway itself cannot connect.
    pub(crate) fn lost(&self) -> Vec<Name> {
        self.paths.lock().lost()
    }

    pub(crate) fn is_lost(&self, upstream: &Name) -> bool {
        self.paths.lock().is_lost(upstream)
    }

    /// Returns when a lost direct path is to be tried next.
    pub(crate) fn next_probe(&self) -> Option<Duration> {
        let next = self.paths.lock().next_probe();
        next.map(|at| at.since(self.now()))
    }

    /// Returns the upstreams whose direct path is to be tried now, with their addresses.
    pub(crate) fn take_due(&self) -> Vec<(Name, SocketAddr)> {
        let due = self.paths.lock().take_due(self.now());
        let names = self.names.read();
        let address = |upstream: &Name| names.iter().find(|(_, name)| *name == upstream);
        let due = due
            .into_iter()
            .filter_map(|name| address(&name).map(|(address, _)| (name.clone(), *address)));
        due.collect()
    }

    async fn connect_directly(&self, address: SocketAddr) -> io::Result<TcpStream> {
        self.direct.open(self.translations.translate(address)).await
    }

    /// Connects to an upstream without a tunnel and records the outcome.
    ///
    /// # Errors
    ///
    /// Returns the error of the connect.
    pub(crate) async fn probe(
        &self,
        upstream: &Name,
        address: SocketAddr,
    ) -> io::Result<TcpStream> {
        let result = self.connect_directly(address).await;
        self.record(upstream, Via::Direct, result.as_ref().err());
        result
    }

    async fn connect_via(&self, via: Via, address: SocketAddr) -> io::Result<Connection> {
        match via {
            Via::Direct => Ok(Connection::Direct(self.connect_directly(address).await?)),
            Via::Tunnel(host) => {
                let opening = open_tunnel(host, &self.secret, address);
                let opened = timeout(TUNNEL_TIMEOUT, opening).await;
                let opened = opened.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))?;
                let stream = opened.map_err(|error| io::Error::other(error.to_string()))?;
                Ok(Connection::Tunnel(stream))
            }
        }
    }

    /// Records how a connect to an upstream ended.
    fn record(&self, upstream: &Name, via: Via, error: Option<&io::Error>) {
        let mut paths = self.paths.lock();
        let has_changed = paths.record(self.now(), upstream, via, error.is_none());
        let lost = paths.lost().len();
        drop(paths);
        if !has_changed {
            return;
        }
        match error {
            Some(error) => log::warn!(
                target: "gateway", upstream = upstream.as_str(), cause = error.to_string(),
                lost = lost;
                "Upstream cannot be reached directly."
            ),
            None => log::info!(
                target: "gateway", upstream = upstream.as_str(), lost = lost;
                "Upstream can be reached directly again."
            ),
        }
        self.paths_changed.notify(usize::MAX);
    }

    async fn connect_to(&self, address: SocketAddr) -> io::Result<Connection> {
        let Some(upstream) = self.upstream_at(address) else {
            return self.connect_via(Via::Direct, address).await;
        };
        let order = self.paths.lock().connect_order(self.now(), &upstream);
        let mut last_error = io::Error::from(io::ErrorKind::NotConnected);
        for via in order {
            let result = self.connect_via(via, address).await;
            self.record(&upstream, via, result.as_ref().err());
            match (result, via) {
                (Ok(connection), Via::Tunnel(host)) => {
                    log::info!(
                        target: "gateway", upstream = upstream.as_str(), host = host.to_string();
                        "Connected to an upstream through another gateway."
                    );
                    return Ok(connection);
                }
                (Ok(connection), Via::Direct) => return Ok(connection),
                (Err(error), _) => last_error = error,
            }
        }
        self.paths.lock().record_unreachable(&upstream);
        Err(last_error)
    }
}

impl Connector for UpstreamConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_> {
        Box::pin(self.connect_to(address))
    }
}

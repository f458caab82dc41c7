//! The idle connections of a client.

use crate::Body;
use hyper::{HeaderMap, client::conn::http1::SendRequest};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// How long before the server's keep-alive time ends an idle connection is no
/// longer used, so that a request is not sent while the server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// The most refusals that are recorded of a connection, which is then closed.
const MAX_REFUSALS: usize = 64;

/// The refusals that came on a connection, by hashes of the IDs of their requests.
#[derive(Debug, Default)]
pub(crate) struct Refusals(Vec<u64>);

impl Refusals {
    pub(crate) fn record(&mut self, id: &str) {
        self.0.push(hash(id));
    }

    fn contains(&self, id: &str) -> bool {
        self.0.contains(&hash(id))
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

struct IdleConnection {
    sender: SendRequest<Body>,
    refusals: Refusals,
    expiry: Instant,
}

/// The idle connections, by address.
pub(crate) struct IdlePool {
    /// How long a connection may stay idle.
    idle_timeout: Duration,
    connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl IdlePool {
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        let connections = Mutex::default();
        Self {
            idle_timeout,
            connections,
        }
    }

    /// Removes and returns a connection that is ready for a request, and on which no
    /// request with its ID was refused.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        id: Option<&str>,
    ) -> Option<(SendRequest<Body>, Refusals)> {
        let now = Instant::now();
        let mut connections = self.connections.lock();
        let idle = connections.get_mut(&address)?;
        idle.retain(|i| now < i.expiry && !i.sender.is_closed());
        let was_refused = |i: &IdleConnection| id.is_some_and(|id| i.refusals.contains(id));
        let is_usable = |i: &IdleConnection| i.sender.is_ready() && !was_refused(i);
        let usable = idle.iter().rposition(is_usable)?;
        let connection = idle.swap_remove(usable);
        Some((connection.sender, connection.refusals))
    }

    /// Adds a connection. `keep_alive` is the keep-alive time that the server
    /// announced, if any.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        refusals: Refusals,
        keep_alive: Option<Duration>,
    ) {
        let usable = keep_alive.map_or(self.idle_timeout, |k| k.saturating_sub(CLOSE_MARGIN));
        let lifetime = usable.min(self.idle_timeout);
        if sender.is_closed() || lifetime.is_zero() || refusals.0.len() >= MAX_REFUSALS {
            return;
        }
        let expiry = Instant::now() + lifetime;
        let mut connections = self.connections.lock();
        let idle = connections.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection {
                sender,
                refusals,
                expiry,
            });
        }
    }

    /// Closes all idle connections to an address.
    pub(crate) fn clear(&self, address: SocketAddr) {
        self.connections.lock().remove(&address);
    }
}

/// Returns the timeout of the `Keep-Alive` header, if there is one.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

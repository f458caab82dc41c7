//! The idle connections of a client.

use crate::Body;
use hyper::{HeaderMap, client::conn::http1::SendRequest};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// How long before the server's keep-alive time ends an idle connection is no
/// longer used, so that a request is not sent while the server closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

struct IdleConnection {
    sender: SendRequest<Body>,
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

    /// Removes and returns a connection that is ready for a request.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<SendRequest<Body>> {
        let now = Instant::now();
        let mut connections = self.connections.lock();
        let idle = connections.get_mut(&address)?;
        idle.retain(|i| now < i.expiry && !i.sender.is_closed());
        let ready = idle.iter().rposition(|i| i.sender.is_ready())?;
        Some(idle.swap_remove(ready).sender)
    }

    /// Adds a connection. `keep_alive` is the keep-alive time that the server
    /// announced, if any.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        keep_alive: Option<Duration>,
    ) {
        let usable = keep_alive.map_or(self.idle_timeout, |k| k.saturating_sub(CLOSE_MARGIN));
        let lifetime = usable.min(self.idle_timeout);
        if sender.is_closed() || lifetime.is_zero() {
            return;
        }
        let expiry = Instant::now() + lifetime;
        let mut connections = self.connections.lock();
        let idle = connections.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { sender, expiry });
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

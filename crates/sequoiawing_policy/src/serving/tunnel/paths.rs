use sequoiawing_types::{Name, Time};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// When a host tries the direct path to an upstream again, and how long it believes in
/// tunnels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathSettings {
    /// The time from a failed connect to the first try of the direct path.
    pub probe_interval: Duration,
    /// The limit of that time, which doubles with each failed try.
    pub max_probe_interval: Duration,
    /// How long the hosts named by a hub may be used after its reply.
    pub host_lifetime: Duration,
    /// The number of tunnels that one connect tries.
    pub max_tunnels: usize,
}

impl Default for PathSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            max_probe_interval: Duration::from_secs(2),
            host_lifetime: Duration::from_secs(2),
            max_tunnels: 2,
        }
    }
}

/// A host that opens tunnels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TunnelHost {
    /// The address at which it accepts requests for tunnels.
    pub address: SocketAddr,
    /// Those of the upstreams which this host has reported as lost that the other one has
    /// not lost.
    pub reachable: BTreeSet<Name>,
}

/// A path to an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Via {
    /// A connection of this host.
    Direct,
    /// A tunnel through the host at this address.
    Tunnel(SocketAddr),
}

/// An upstream whose direct path has failed.
#[derive(Clone, Copy, Debug)]
struct Lost {
    since: Time,
    /// When the direct path is tried again.
    probe_at: Time,
    interval: Duration,
    /// Whether a connect has failed on all paths since the last that succeeded.
    is_unreachable: bool,
}

/// The paths from one host to its upstreams.
///
/// The direct path is used until a connect on it fails; silence on an open connection is
/// no reason to leave it. From then on connects go through tunnels, and the direct path is
/// tried in the background until it succeeds. A tunnel is never opened through a tunnel,
/// so that hosts cannot ask each other in a ring.
#[derive(Debug)]
pub struct UpstreamPaths {
    settings: PathSettings,
    lost: HashMap<Name, Lost>,
    /// The hosts that each hub named last, and when.
    hosts: HashMap<SocketAddr, (Time, Vec<TunnelHost>)>,
    /// Counts the connects, to use the hosts in turn.
    connects: usize,
}

impl UpstreamPaths {
    /// Creates paths that are all direct.
    pub fn new(settings: PathSettings) -> Self {
        Self {
            settings,
            lost: HashMap::new(),
            hosts: HashMap::new(),
            connects: 0,
        }
    }

    /// Sets the hosts that a hub names; returns the lost upstreams that had no path and
    /// now have one.
    pub fn set_hosts(&mut self, now: Time, hub: SocketAddr, hosts: Vec<TunnelHost>) -> Vec<Name> {
        let reachable: BTreeSet<&Name> = hosts.iter().flat_map(|host| &host.reachable).collect();
        let unreachable = self.lost.iter_mut().filter(|(_, lost)| lost.is_unreachable);
        let unreachable = unreachable.filter(|(name, _)| reachable.contains(name));
        let found = unreachable.map(|(name, lost)| {
            lost.is_unreachable = false;
            name.clone()
        });
        let found = found.collect();
        if hosts.is_empty() {
            self.hosts.remove(&hub);
        } else {
            self.hosts.insert(hub, (now, hosts));
        }
        found
    }

    /// Returns the paths that a connect tries, in order.
    pub fn connect_order(&mut self, now: Time, upstream: &Name) -> Vec<Via> {
        let mut tunnels = self.tunnels(now, upstream);
        let turn = self.connects.checked_rem(tunnels.len());
        tunnels.rotate_left(turn.unwrap_or_default());
        tunnels.truncate(self.settings.max_tunnels);
        self.connects = self.connects.wrapping_add(1);
        if self.lost.contains_key(upstream) && !tunnels.is_empty() {
            return tunnels;
        }
        [Via::Direct].into_iter().chain(tunnels).collect()
    }

    /// Records how a connect ended on one path; returns whether the direct path was lost
    /// or found.
    pub fn record(&mut self, now: Time, upstream: &Name, via: Via, is_connected: bool) -> bool {
        match (via, is_connected) {
            (Via::Direct, true) => self.lost.remove(upstream).is_some(),
            (Via::Direct, false) => {
                let settings = &self.settings;
                let is_new = !self.lost.contains_key(upstream);
                let lost = self.lost.entry(upstream.clone()).or_insert(Lost {
                    since: now,
                    probe_at: now,
                    interval: settings.probe_interval / 2,
                    is_unreachable: false,
                });
                lost.interval = (lost.interval * 2).min(settings.max_probe_interval);
                lost.probe_at = now + lost.interval;
                is_new
            }
            (Via::Tunnel(_), true) => {
                if let Some(lost) = self.lost.get_mut(upstream) {
                    lost.is_unreachable = false;
                }
                false
            }
            (Via::Tunnel(_), false) => false,
        }
    }

    /// Records that a connect failed on all paths.
    pub fn record_unreachable(&mut self, upstream: &Name) {
        if let Some(lost) = self.lost.get_mut(upstream) {
            lost.is_unreachable = true;
        }
    }

    /// Removes an upstream that is gone.
    pub fn remove(&mut self, upstream: &Name) {
        self.lost.remove(upstream);
    }

    /// Returns the upstreams whose direct path is due to be tried. Each is returned once
    /// until the end of the try is recorded.
    pub fn take_due(&mut self, now: Time) -> Vec<Name> {
        let max = self.settings.max_probe_interval;
        let due = self
            .lost
            .iter_mut()
            .filter(|(_, lost)| lost.probe_at <= now);
        let due = due.map(|(name, lost)| {
            lost.probe_at = now + max;
            name.clone()
        });
        due.collect()
    }

    /// Returns when the direct path to an upstream is to be tried next.
    pub fn next_probe(&self) -> Option<Time> {
        self.lost.values().map(|lost| lost.probe_at).min()
    }

    /// Returns whether the direct path to an upstream is lost.
    pub fn is_lost(&self, upstream: &Name) -> bool {
        self.lost.contains_key(upstream)
    }

    /// Returns the upstreams whose direct path is lost.
    pub fn lost(&self) -> Vec<Name> {
        self.lost.keys().cloned().collect()
    }

    /// Returns the tunnels to an upstream: through hosts that keep it, or through any if
    /// no hub was told yet that it is lost.
    fn tunnels(&self, now: Time, upstream: &Name) -> Vec<Via> {
        let lifetime = self.settings.host_lifetime;
        let since = self.lost.get(upstream).map(|lost| lost.since);
        let replies = self.hosts.values();
        let fresh = replies.filter(|(at, _)| now.since(*at) <= lifetime);
        let named = fresh.flat_map(|(at, hosts)| {
            let is_unreported = since.is_none_or(|since| since >= *at);
            let is_way =
                move |host: &&TunnelHost| is_unreported || host.reachable.contains(upstream);
            hosts.iter().filter(is_way)
        });
        let addresses: BTreeSet<SocketAddr> = named.map(|host| host.address).collect();
        addresses.into_iter().map(Via::Tunnel).collect()
    }
}

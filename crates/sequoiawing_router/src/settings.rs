use sequoiawing_link::{Secret, Translation};
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// Another router with which this router exchanges upstream states.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PeerSettings {
    /// The host name of the router.
    pub host: Name,
    /// The data centre of the router.
    pub centre: Name,
    /// The address at which it listens for other processes.
    pub address: SocketAddr,
}

/// The settings of a router.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RouterSettings {
    /// The name of this host, unique in the deployment.
    pub host: Name,
    /// The data centre of this host.
    pub centre: Name,
    /// The listen address for callers.
    pub callers: SocketAddr,
    /// The listen address for announcements of upstreams.
    pub upstreams: SocketAddr,
    /// The listen address for other processes and operators.
    pub link: SocketAddr,
    /// The shared secret of all processes of the deployment.
    pub secret: String,
    /// The credential that upstreams send with their announcements and the router
    /// sends with its orders.
    pub credential: String,
    /// The addresses of the controllers.
    pub controllers: Vec<SocketAddr>,
    /// The other routers to connect to until the tables list the routers.
    pub peers: Vec<PeerSettings>,
    /// The addresses of controllers, routers and upstreams that this host reaches
    /// under a different address, for example because of address translation
    /// between data centres.
    pub translations: Vec<Translation>,
    /// The folder for the last applied tables; if unset, a restarted router needs a
    /// controller or another router to get them.
    pub data: Option<PathBuf>,
    /// The maximum number of concurrent connections from callers.
    pub connections: usize,
    /// The timeout for receiving the headers of a request, in milliseconds.
    pub header_wait: u64,
    /// How long a caller may read nothing of its response before the connection is
    /// closed, in milliseconds.
    pub caller_stall: u64,
    /// The internal listen address for scraping metrics; metrics are disabled if
    /// unset.
    pub metrics: Option<SocketAddr>,
    /// The maximum size of a request body, in bytes.
    pub body: usize,
    /// The timeout for receiving a request body, in milliseconds.
    pub upload: u64,
    /// How long an upstream may send nothing in the middle of a response before it
    /// is considered dead, in milliseconds.
    pub stall: u64,
    /// How long the outcome of a claimed request is kept for retries by the caller,
    /// in seconds.
    pub retention: u64,
    /// How long keys are accepted while no controller is reachable, in seconds; 0
    /// means without limit.
    ///
    /// A longer time keeps a disconnected data centre in service for longer; a
    /// shorter one limits how long a key is accepted there after it was withdrawn
    /// elsewhere and `sequoiactl` could not deliver the withdrawal.
    pub key_grace: u64,
    /// How long a member of the data centre's cell may be unreachable before the
    /// leader retires it, in milliseconds.
    pub retire: u64,
    /// The maximum number of requests that wait in one pool.
    pub queue: usize,
    /// How long the router accepts connections after shutdown has begun and the
    /// health check fails, in milliseconds, so that the platform's load balancer
    /// notices first.
    pub farewell: u64,
    /// How long open requests may take to finish after that, in milliseconds.
    pub drain: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: Name::from("host"),
            centre: Name::from("centre"),
            callers: local,
            upstreams: local,
            link: local,
            secret: String::new(),
            credential: String::new(),
            controllers: Vec::new(),
            peers: Vec::new(),
            translations: Vec::new(),
            data: None,
            connections: 20_000,
            header_wait: 10_000,
            caller_stall: 20_000,
            metrics: None,
            body: 4 * 1024 * 1024,
            upload: 30_000,
            stall: 15_000,
            retention: 24 * 60 * 60,
            key_grace: 60 * 60,
            retire: 600_000,
            queue: 10_000,
            farewell: 2_000,
            drain: 60_000,
        }
    }
}

impl Check for RouterSettings {
    fn check(&self, findings: &mut Findings) {
        check_name(findings, "host", &self.host);
        check_name(findings, "centre", &self.centre);
        check_secret(findings, "secret", &self.secret);
        check_secret(findings, "credential", &self.credential);
        if self.controllers.is_empty() {
            findings.push("controllers", "must name at least one controller");
        }
        if self.body == 0 {
            findings.push("body", "must be at least 1 byte");
        }
        if self.connections == 0 {
            findings.push("connections", "must be at least 1");
        }
        let durations = [
            ("header_wait", self.header_wait),
            ("caller_stall", self.caller_stall),
            ("upload", self.upload),
            ("stall", self.stall),
        ];
        for (place, duration) in durations {
            if duration == 0 {
                findings.push(place, "must be at least 1 ms");
            }
        }
        if self.retention == 0 {
            findings.push("retention", "must be at least 1 s");
        }
        for (i, peer) in self.peers.iter().enumerate() {
            check_name(findings, &format!("peers[{i}].host"), &peer.host);
            check_name(findings, &format!("peers[{i}].centre"), &peer.centre);
            if peer.host == self.host {
                findings.push(format!("peers[{i}].host"), "is this host itself");
            }
        }
    }
}

fn check_name(findings: &mut Findings, place: &str, name: &Name) {
    if !name.is_valid() {
        findings.push(
            place,
            "must be 1 to 128 letters, digits, '-', '_', '.' or '/'",
        );
    }
}

fn check_secret(findings: &mut Findings, place: &str, secret: &str) {
    if secret.len() < Secret::MIN_BYTES {
        let problem = format!("must be at least {} bytes", Secret::MIN_BYTES);
        findings.push(place, problem);
    }
}

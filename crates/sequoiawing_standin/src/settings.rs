use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// The settings of a simulated engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct EngineSettings {
    /// The name, unique in the deployment.
    pub name: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Its data centre.
    pub centre: Name,
    /// The address for requests and orders.
    pub listen: SocketAddr,
    /// The routers to which it announces itself; it uses the next one when one
    /// fails.
    pub routers: Vec<SocketAddr>,
    /// The credential for announcements and orders.
    pub credential: String,
    /// The accelerator memory, in MiB.
    pub memory: u64,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The time to load a model from the remote store, in milliseconds.
    pub load: u64,
    /// The address of a listener that counts concurrent loads, to which a
    /// connection is held open during each load.
    pub store: Option<SocketAddr>,
    /// The time to load an adapter, in milliseconds.
    pub adapter: u64,
    /// The time to the first token, in microseconds.
    pub first: u64,
    /// The time between tokens, in microseconds.
    pub gap: u64,
    /// The padding of each event of a stream, in bytes.
    pub padding: usize,
    /// Whether it rejects orders with an outdated fencing token.
    pub fenced: bool,
    /// The time between announcements, in milliseconds.
    pub interval: u64,
    /// How long it still accepts requests after announcing that it is leaving,
    /// in milliseconds.
    pub farewell: u64,
    /// How long it waits for running requests when it leaves, in milliseconds.
    pub drain: u64,
    /// Whether it records the headers and bodies of the most recent requests.
    pub record: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: Name::from("runner"),
            pool: Name::from("pool"),
            centre: Name::from("centre"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            routers: Vec::new(),
            credential: String::new(),
            memory: 16_384,
            slots: 16,
            load: 1_500,
            store: None,
            adapter: 8,
            first: 5_000,
            gap: 2_000,
            padding: 0,
            fenced: true,
            interval: 1_000,
            farewell: 3_000,
            drain: 60_000,
            record: false,
        }
    }
}

impl Check for EngineSettings {
    fn check(&self, findings: &mut Findings) {
        check_upstream(findings, &self.name, &self.pool, &self.routers);
        if self.interval == 0 {
            findings.push("interval", "must be at least 1 ms");
        }
    }
}

/// The settings of a simulated plain service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceSettings {
    /// The name, unique in the deployment.
    pub name: Name,
    /// The pool that it belongs to.
    pub pool: Name,
    /// Its data centre.
    pub centre: Name,
    /// The address for requests.
    pub listen: SocketAddr,
    /// The routers to which it announces itself; it uses the next one when one
    /// fails.
    pub routers: Vec<SocketAddr>,
    /// The credential for announcements.
    pub credential: String,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The duration of a call, in microseconds.
    pub work: u64,
    /// The time between announcements, in milliseconds.
    pub interval: u64,
    /// How long it still accepts requests after announcing that it is leaving,
    /// in milliseconds.
    pub farewell: u64,
    /// How long it waits for running requests when it leaves, in milliseconds.
    pub drain: u64,
    /// Whether it records the headers and bodies of the most recent requests.
    pub record: bool,
    /// A file to which a line with the time in milliseconds is appended before
    /// each call runs and when the service announces that it is leaving; it
    /// outlives the process.
    pub journal: Option<PathBuf>,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: Name::from("service"),
            pool: Name::from("pool"),
            centre: Name::from("centre"),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            routers: Vec::new(),
            credential: String::new(),
            slots: 64,
            work: 1_000,
            interval: 1_000,
            farewell: 3_000,
            drain: 60_000,
            record: false,
            journal: None,
        }
    }
}

impl Check for ServiceSettings {
    fn check(&self, findings: &mut Findings) {
        check_upstream(findings, &self.name, &self.pool, &self.routers);
        if self.interval == 0 {
            findings.push("interval", "must be at least 1 ms");
        }
    }
}

fn check_upstream(findings: &mut Findings, name: &Name, pool: &Name, routers: &[SocketAddr]) {
    if !name.is_valid() {
        findings.push("name", "must be a valid name");
    }
    if !pool.is_valid() {
        findings.push("pool", "must be a valid name");
    }
    if routers.is_empty() {
        findings.push("routers", "must name at least one router");
    }
}

use sequoiawing_http::BudgetLimits;
use sequoiawing_link::{Secret, Translation};
use sequoiawing_policy::serving::RetryLimits;
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Settings of a gateway.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct GatewaySettings {
    /// The name of this host, unique in the deployment.
    pub host: Name,
    /// The data centre that this host is in.
    pub centre: Name,
    /// The address at which the gateway accepts callers' requests.
    pub callers: SocketAddr,
    /// The address of the readiness check that the load balancer polls.
    pub ready: SocketAddr,
    /// The internal address at which metrics are scraped; metrics are off when
    /// it is not set.
    pub metrics: Option<SocketAddr>,
    /// The addresses of some hubs; the gateway discovers the others from them.
    pub hubs: Vec<SocketAddr>,
    /// The secret shared by all processes of the deployment.
    pub secret: String,
    /// How long the gateway accepts connections after shutdown has begun and the
    /// readiness check fails, in milliseconds.
    pub farewell: u64,
    /// How long open requests may take to finish after that, in milliseconds.
    pub drain: u64,
    /// The maximum number of concurrent connections from callers.
    pub connections: usize,
    /// How long a connection to an upstream may stay idle before it is no longer
    /// reused, in milliseconds.
    pub upstream_idle: u64,
    /// The longest time, in milliseconds, for which an upstream can ask this host for no
    /// requests.
    pub max_backoff: u64,
    /// How long after the order to evacuate a data centre its upstreams may receive
    /// requests, in milliseconds. The gateway stops using them after two thirds of it.
    pub evacuate: u64,
    /// The retry budget that each request adds, in thousandths of a retry.
    pub repeat_ratio: u64,
    /// The retries allowed per window in addition, over all hosts.
    pub repeat_slack: u64,
    /// The window over which retries are counted, in milliseconds.
    pub repeat_window: u64,
    /// The internal address at which other gateways ask for tunnels to upstreams that
    /// they have lost; tunnels are off when it is not set.
    pub tunnels: Option<SocketAddr>,
    /// The maximum number of tunnels that are open for other gateways.
    pub max_tunnels: usize,
    /// The shortest latency target of a route, in milliseconds, whose requests can wait
    /// for the load of a model and still be answered in time; 0 if none can.
    pub load_patience: u64,
    /// The addresses at which this host reaches upstreams, where they differ from those
    /// that upstreams announce.
    pub translations: Vec<Translation>,
    /// The memory of the machine, in megabytes.
    pub memory: usize,
    /// The part of the memory for bodies of requests and responses, in percent.
    pub body_share: usize,
}

/// The size up to which a request body is small, in bytes. Bodies in the traffic of today's
/// deployments have 110 KB at most.
const SMALL_BODY_BYTES: usize = 128 * 1024;

/// One of so many parts of the room for bodies is kept for small ones.
const RESERVE_PART: usize = 4;

/// The smallest memory of a machine, in megabytes. With less there is no room for the
/// process itself and for one body of 4 MiB.
const MIN_MEMORY: usize = 64;

/// The shares of the memory that bodies may take, in percent. With less, one body of 4 MiB
/// has no room on the smallest machine; with more, none is left for connections.
const BODY_SHARES: std::ops::RangeInclusive<usize> = 10..=50;

impl Default for GatewaySettings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: Name::from("host"),
            centre: Name::from("centre"),
            callers: any,
            ready: any,
            metrics: None,
            hubs: Vec::new(),
            secret: String::new(),
            farewell: 2_500,
            drain: 5_000,
            connections: 3_000,
            upstream_idle: 1_000,
            max_backoff: 600_000,
            evacuate: 5_000,
            repeat_ratio: 200,
            repeat_slack: 20,
            repeat_window: 10_000,
            tunnels: None,
            max_tunnels: 512,
            load_patience: 2_500,
            translations: Vec::new(),
            memory: 128,
            body_share: 25,
        }
    }
}

impl GatewaySettings {
    /// Returns whether a request with this latency target can wait for a load.
    pub(crate) fn is_patient(&self, target: Duration) -> bool {
        self.load_patience > 0 && target >= Duration::from_millis(self.load_patience)
    }

    /// Returns the bounds of the bodies that the host holds.
    pub(crate) fn body_limits(&self) -> BudgetLimits {
        let total = self.memory.saturating_mul(1_000_000) / 100 * self.body_share;
        BudgetLimits {
            total,
            reserve: total / RESERVE_PART,
            small: SMALL_BODY_BYTES,
        }
    }

    /// Returns the limits on retries.
    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_millis(self.repeat_window),
        }
    }
}

impl Check for GatewaySettings {
    fn check(&self, findings: &mut Findings) {
        if !self.host.is_valid() {
            findings.push("host", "must be a valid name");
        }
        if !self.centre.is_valid() {
            findings.push("centre", "must be a valid name");
        }
        if self.secret.len() < Secret::MIN_BYTES {
            let problem = format!("must be at least {} bytes", Secret::MIN_BYTES);
            findings.push("secret", problem);
        }
        if self.hubs.is_empty() {
            findings.push("hubs", "must name at least one hub");
        }
        if self.repeat_window == 0 {
            findings.push("repeat_window", "must be at least 1 ms");
        }
        if self.evacuate == 0 {
            findings.push("evacuate", "must be at least 1 ms");
        }
        if self.memory < MIN_MEMORY {
            findings.push("memory", format!("must be at least {MIN_MEMORY} MB"));
        }
        if !BODY_SHARES.contains(&self.body_share) {
            let problem = format!(
                "must be {} to {} percent",
                BODY_SHARES.start(),
                BODY_SHARES.end()
            );
            findings.push("body_share", problem);
        }
        if self.max_backoff == 0 {
            findings.push("max_backoff", "must be at least 1 ms");
        }
    }
}

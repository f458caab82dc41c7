use crate::ReplicaId;
use sequoiawing_types::Name;
use std::{net::SocketAddr, time::Duration};

/// Parts per thousand.
const PER_MILLE: u32 = 1_000;

/// A few changes of a configuration of 1,050 routes; a snapshot is then taken every
/// few changes, which costs less than it costs to send them to a new replica.
const SNAPSHOT_BYTES: u64 = 2 * 1024 * 1024;

/// The timeouts and intervals of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How long a follower withholds its vote after a message from a leader; an
    /// election starts within twice this period.
    pub election_timeout: Duration,
    /// The maximum clock drift in either direction, in parts per thousand.
    pub drift: u32,
    /// How long a write may take before the replica considers its disk stalled.
    pub stall_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(750),
            drift: 10,
            stall_timeout: Duration::from_secs(2),
        }
    }
}

impl Timing {
    /// Returns the duration of a lease, as measured by the leader's clock.
    ///
    /// A lease expires before any voter that granted it may vote again, even if
    /// the leader's clock is as slow and the voter's clock as fast as the drift
    /// bound allows.
    pub fn lease(&self) -> Duration {
        self.election_timeout * (PER_MILLE - self.drift) / (PER_MILLE + self.drift)
    }
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The host that it runs on.
    pub host: Name,
    /// The address on which it receives messages.
    pub address: SocketAddr,
    /// The hosts of the first voters; the first one bootstraps the deployment.
    ///
    /// If empty, this host is the only first voter.
    pub voters: Vec<Name>,
    /// Whether this replica may begin to bootstrap a deployment.
    ///
    /// It is `false` at each start but the first one of the whole deployment. An
    /// empty disk is then a lost one, so the replica waits until it is admitted.
    pub may_bootstrap: bool,
    /// The timeouts and intervals.
    pub timing: Timing,
    /// The random seed of its election timeouts.
    pub seed: u64,
    /// The number of applied entries after which it requests a snapshot.
    pub snapshot_entries: u64,
    /// The size of the applied entries after which it requests a snapshot, in
    /// bytes, or twice the size of the last snapshot if that is more.
    ///
    /// The log in memory and on disk stays within a small multiple of it.
    pub snapshot_bytes: u64,
    /// How long a voter may be unreachable before a learner that has caught up
    /// replaces it.
    ///
    /// `None` means never; operators then choose the voter hosts.
    pub replace_after: Option<Duration>,
    /// The number of voters up to which learners that have caught up are
    /// promoted.
    ///
    /// 0 means that none are promoted; operators then choose the voter hosts.
    pub target_voters: usize,
}

impl ReplicaSettings {
    /// Returns the settings of a replica that is the only voter of its deployment.
    pub fn new(id: ReplicaId, host: Name, address: SocketAddr) -> Self {
        Self {
            id,
            host,
            address,
            voters: Vec::new(),
            may_bootstrap: true,
            timing: Timing::default(),
            seed: id.0,
            snapshot_entries: 4_096,
            snapshot_bytes: SNAPSHOT_BYTES,
            replace_after: None,
            target_voters: 0,
        }
    }

    /// Sets the hosts of the first voters.
    #[must_use]
    pub fn with_voters(mut self, voters: Vec<Name>) -> Self {
        self.voters = voters;
        self
    }
}

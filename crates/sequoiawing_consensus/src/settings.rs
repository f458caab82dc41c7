use crate::ReplicaId;
use sequoiawing_types::Name;
use std::{net::SocketAddr, time::Duration};

/// Parts per thousand.
const PER_MILLE: u32 = 1_000;

/// The time limits of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How often a leader shows that it is alive.
    pub heartbeat: Duration,
    /// How long a follower refuses to vote after it heard from a leader; an
    /// election starts after up to twice this time.
    pub election: Duration,
    /// How much faster or slower than true time a clock may run, in parts per
    /// thousand.
    pub drift: u32,
    /// How long a write may take before the replica counts its disk as stalled.
    pub stall: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(750),
            drift: 10,
            stall: Duration::from_secs(2),
        }
    }
}

impl Timing {
    /// Returns how long a lease lasts on the leader's clock.
    ///
    /// It ends before the promise of any voter ends, even if the leader's clock
    /// is as slow and the voter's as fast as the drift bound allows.
    pub fn lease(&self) -> Duration {
        self.election * (PER_MILLE - self.drift) / (PER_MILLE + self.drift)
    }
}

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The identity of its disk.
    pub id: ReplicaId,
    /// Its host.
    pub host: Name,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// The hosts of the first voters; the first one founds the deployment.
    /// Empty means that this host alone is the first voter.
    pub voters: Vec<Name>,
    /// The time limits.
    pub timing: Timing,
    /// The seed of its election timeouts.
    pub seed: u64,
    /// The entries after which it asks for a snapshot.
    pub snapshot_entries: u64,
    /// How long a voter may be away before a learner that has caught up takes
    /// its seat; never where operators give seats.
    pub replace_after: Option<Duration>,
    /// The voters up to which learners that have caught up are given seats;
    /// none are where operators give them.
    pub grow_to: usize,
}

impl ReplicaSettings {
    /// Returns the settings of a replica that is its deployment's only voter.
    pub fn new(id: ReplicaId, host: Name, address: SocketAddr) -> Self {
        Self {
            id,
            host,
            address,
            voters: Vec::new(),
            timing: Timing::default(),
            seed: id.0,
            snapshot_entries: 4_096,
            replace_after: None,
            grow_to: 0,
        }
    }

    /// Sets the hosts of the first voters.
    #[must_use]
    pub fn with_voters(mut self, voters: Vec<Name>) -> Self {
        self.voters = voters;
        self
    }
}

use std::time::Duration;

/// The time since the last sign of the log's majority after which a host checks whether its
/// data centre is cut off. The signs of a sound deployment are less than a second old.
const MAX_LOG_AGE: Duration = Duration::from_millis(1_200);

/// The number of upstreams of other data centres that must be out of reach; a single one
/// may have failed.
const MIN_UNREACHABLE: usize = 2;

/// Judges whether the data centre of a host is cut off from all others.
///
/// Callers are better served by other data centres then: most upstreams and the host that
/// orders loads are out of reach. A deployment without a leader is not cut off, since its upstreams are reached.
#[derive(Clone, Copy, Debug, Default)]
pub struct IsolationDetector {
    is_isolated: bool,
}

impl IsolationDetector {
    /// Returns whether the data centre is cut off.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Records the time since the last sign of the log's majority, `None` before the
    /// first one. Returns whether upstreams of other data centres should be probed.
    pub fn observe(&mut self, log_age: Option<Duration>) -> bool {
        let is_suspicious = log_age.is_some_and(|age| age > MAX_LOG_AGE);
        self.is_isolated &= is_suspicious;
        is_suspicious
    }

    /// Records how many of the probed upstreams of other data centres were reached and
    /// were not.
    pub fn record_probes(&mut self, reached: usize, unreachable: usize) {
        self.is_isolated = reached == 0 && unreachable >= MIN_UNREACHABLE;
    }
}

use sequoiawing_runtime::Clock;
use std::time::Duration;

/// A leader lease: the right to act for the whole deployment until it expires.
///
/// At most one controller holds a valid lease at a time; see
/// [docs/design/consensus.md](../../../docs/design/consensus.md). Callers must
/// check the lease immediately before each action, because the process may have
/// been suspended since the last check.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    /// The term, used to fence actions of earlier leaders.
    pub term: u64,
    pub(crate) expires_at: Duration,
    pub(crate) clock: Clock,
}

impl Leadership {
    /// Returns `true` if the lease has not expired.
    pub fn is_valid(&self) -> bool {
        self.clock.elapsed() < self.expires_at
    }
}

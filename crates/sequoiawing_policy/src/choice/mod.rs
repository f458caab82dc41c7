mod affinity;
mod least_load;

pub use affinity::AffinityChoice;
pub use least_load::LeastLoad;

use crate::DispatchRequest;
use sequoiawing_fleet::UpstreamState;

/// An upstream that can take a request now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The latest announcement of the upstream.
    pub state: &'a UpstreamState,
    /// The estimated number of running requests, including those that this
    /// router sent since the announcement.
    pub load: u32,
    /// The number of consecutive failed attempts.
    pub failures: u32,
    /// Whether the upstream is in another data centre.
    pub is_remote: bool,
    /// Whether the upstream probably has the prompt prefix in its cache.
    pub is_cached: bool,
    /// The mean time per token relative to the mean of the pool, in percent.
    pub slowness: u32,
}

impl Candidate<'_> {
    /// Returns the expected wait relative to other candidates, as a number
    /// without unit.
    pub fn cost(&self) -> u64 {
        let slots = u64::from(self.state.slots.max(1));
        let load = u64::from(self.load) + 1;
        load * 100 * u64::from(self.slowness.max(1)) / slots
    }
}

/// Chooses among the upstreams that can take a request.
///
/// See [docs/design/choice.md](../../../docs/design/choice.md).
pub trait ChooseUpstream: Send {
    /// Returns the index of the chosen candidate. `candidates` is never empty.
    fn choose(&mut self, request: &DispatchRequest, candidates: &[Candidate<'_>]) -> usize;
}

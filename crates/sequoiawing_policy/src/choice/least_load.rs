use crate::{Candidate, ChooseUpstream, DispatchRequest};

/// Chooses the upstream with the least estimated load per slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoad;

impl ChooseUpstream for LeastLoad {
    fn choose(&mut self, _request: &DispatchRequest, candidates: &[Candidate<'_>]) -> usize {
        let relative = |c: &Candidate<'_>| {
            let slots = u64::from(c.state.slots.max(1));
            (c.failures, u64::from(c.load) * 1_000 / slots)
        };
        let best = candidates.iter().enumerate();
        best.min_by_key(|(_, c)| relative(c)).map_or(0, |(i, _)| i)
    }
}

use crate::{Candidate, ChooseUpstream, DispatchRequest};

/// The utilisation below which an upstream with the cached prompt prefix is
/// preferred, in percent of its slots. Above it, the time spent waiting exceeds
/// the time that the cache saves.
const MAX_CACHE_LOAD_PERCENT: u64 = 75;

/// Prefers the local data centre, then a cached prompt prefix, then the better
/// of two randomly drawn candidates.
///
/// Drawing two candidates keeps routers with the same outdated reports from all
/// choosing the same upstream.
#[derive(Clone, Debug)]
pub struct AffinityChoice {
    state: u64,
}

impl AffinityChoice {
    /// Creates a policy whose random draws depend only on `seed`.
    pub fn new(seed: u64) -> Self {
        Self { state: seed | 1 }
    }

    /// Returns a pseudorandom number below `bound` from an xorshift generator.
    fn draw(&mut self, bound: usize) -> usize {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        usize::try_from(self.state % bound.max(1) as u64).unwrap_or(0)
    }

    fn better_of_two(&mut self, candidates: &[Candidate<'_>], among: &[usize]) -> usize {
        let first = among[self.draw(among.len())];
        let second = among[self.draw(among.len())];
        let cost = |i: usize| (candidates[i].failures, candidates[i].cost());
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
    }
}

impl Default for AffinityChoice {
    fn default() -> Self {
        Self::new(0x9e37_79b9_7f4a_7c15)
    }
}

impl ChooseUpstream for AffinityChoice {
    fn choose(&mut self, _request: &DispatchRequest, candidates: &[Candidate<'_>]) -> usize {
        let all = 0..candidates.len();
        let local: Vec<usize> = all.clone().filter(|i| !candidates[*i].is_remote).collect();
        let nearby = if local.is_empty() {
            all.collect()
        } else {
            local
        };
        let has_capacity = |c: &Candidate<'_>| {
            let slots = u64::from(c.state.slots.max(1));
            c.failures == 0 && u64::from(c.load) * 100 < slots * MAX_CACHE_LOAD_PERCENT
        };
        let cached = nearby.iter().copied();
        let cached = cached.filter(|i| candidates[*i].is_cached && has_capacity(&candidates[*i]));
        let best = cached.min_by_key(|i| candidates[*i].cost());
        best.unwrap_or_else(|| self.better_of_two(candidates, &nearby))
    }
}

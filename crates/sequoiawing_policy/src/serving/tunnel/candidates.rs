use sequoiawing_types::Name;
use std::{
    cmp::Reverse,
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

/// The most hosts that one host is told of. More would spread its requests further,
/// and make every reply longer.
const MAX_HOSTS: usize = 4;

/// The hosts of which all are compared; with more, only those by their hash.
const POOL: usize = 16;

/// A host that may open tunnels to upstreams for another one.
#[derive(Clone, Copy, Debug)]
pub struct TunnelCandidate<'a> {
    /// The name of the host.
    pub host: &'a Name,
    /// The upstreams that it has reached recently, without a tunnel.
    pub reached: &'a [Name],
    /// The upstreams that it has lost itself.
    pub lost: &'a [Name],
}

/// Chooses the hosts through which `requester` can reach the upstreams that it has lost;
/// returns their indexes among the candidates, each with the indexes of the lost upstreams
/// that it keeps.
///
/// Hosts are taken while one keeps an upstream that none before it keeps; of those that
/// keep as many, one that has reached some of them recently goes first, since a host
/// without requests does not know what it would lose. Otherwise a hash decides, so that
/// several hosts that have lost their upstreams ask different ones.
pub fn choose_tunnel_hosts(
    requester: &Name,
    lost: &[Name],
    candidates: &[TunnelCandidate<'_>],
) -> Vec<(usize, Vec<usize>)> {
    let others = (0..candidates.len()).filter(|index| candidates[*index].host != requester);
    let mut others: Vec<usize> = others.collect();
    others.sort_by_cached_key(|index| rank(requester, candidates[*index].host));
    let lost: HashMap<&Name, usize> = lost.iter().zip(0..).collect();
    let coverages = others
        .into_iter()
        .map(|index| Coverage::new(index, &candidates[index], &lost));
    let mut coverages = coverages.filter(|coverage| coverage.reachable.contains(&true));
    let mut pool: Vec<Coverage> = coverages.by_ref().take(POOL).collect();
    let mut chosen = Vec::new();
    let mut missing = vec![true; lost.len()];
    while chosen.len() < MAX_HOSTS {
        let best = pool.iter().zip(0..);
        let best = best.min_by_key(|(k, at)| (Reverse((k.gain(&missing), k.is_proven)), *at));
        let Some((_, at)) = best else {
            break;
        };
        chosen.push(pool.remove(at).take(&mut missing));
    }
    // The others are looked at only for what no host of the pool keeps.
    if missing.contains(&true)
        && let Some(coverage) = coverages.max_by_key(|k| k.gain(&missing))
        && coverage.gain(&missing) > 0
    {
        chosen.truncate(MAX_HOSTS - 1);
        chosen.push(coverage.take(&mut missing));
    }
    chosen
}

/// A host that keeps some of the lost upstreams.
struct Coverage {
    index: usize,
    /// Whether it keeps each of the lost upstreams.
    reachable: Vec<bool>,
    is_proven: bool,
}

impl Coverage {
    fn new(index: usize, candidate: &TunnelCandidate<'_>, lost: &HashMap<&Name, usize>) -> Self {
        let mut reachable = vec![true; lost.len()];
        for number in candidate.lost.iter().filter_map(|name| lost.get(name)) {
            reachable[*number] = false;
        }
        let is_proven = candidate.reached.iter().any(|name| lost.contains_key(name));
        Self {
            index,
            reachable,
            is_proven,
        }
    }

    /// Returns how many of the missing upstreams the host keeps.
    fn gain(&self, missing: &[bool]) -> usize {
        let both = self.reachable.iter().zip(missing);
        both.filter(|(reachable, missing)| **reachable && **missing)
            .count()
    }

    /// Marks the upstreams that the host keeps as no longer missing, and returns them.
    fn take(self, missing: &mut [bool]) -> (usize, Vec<usize>) {
        for (missing, reachable) in missing.iter_mut().zip(&self.reachable) {
            *missing &= !reachable;
        }
        let reachable = self
            .reachable
            .iter()
            .zip(0..)
            .filter(|(reachable, _)| **reachable);
        (self.index, reachable.map(|(_, number)| number).collect())
    }
}

fn rank(requester: &Name, host: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (requester, host).hash(&mut hasher);
    hasher.finish()
}

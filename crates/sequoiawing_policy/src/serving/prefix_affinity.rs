use super::BalancerRequest;
use sequoiawing_types::Name;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The part of the requests with common prompt parts that reach the upstream which all
/// hosts prefer for them. The others find it full or busy.
const HIT_SHARE: f64 = 0.7;

/// The order in which all hosts prefer upstreams for the requests that share prompt parts
/// (rendezvous hashing).
///
/// In a large deployment a host has sent none of the requests that filled an engine's
/// prefix cache, and knows of few that it runs. Requests without shared parts are ordered
/// at random, so that the hosts do not all turn to the same upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefixAffinity {
    /// Identifies the model, the adapter and the shared parts.
    key: u64,
    shared_tokens: u64,
}

impl PrefixAffinity {
    pub(super) fn new(request: &BalancerRequest) -> Self {
        let shared = request
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let mut hasher = DefaultHasher::new();
        if shared.is_empty() {
            request.seed.hash(&mut hasher);
        } else {
            (&request.model, &request.adapter).hash(&mut hasher);
            for part in shared {
                part.id.hash(&mut hasher);
            }
        }
        Self {
            key: hasher.finish(),
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
        }
    }

    /// Returns the number of prompt tokens that the preferred upstream can be expected to
    /// have cached.
    pub(super) fn tokens(&self) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "prompts are far below 2^52 tokens"
        )]
        let tokens = self.shared_tokens as f64;
        tokens * HIT_SHARE
    }

    /// Returns the indexes of upstreams, the preferred one first.
    pub(super) fn order<'a, I>(&self, upstreams: I) -> Vec<usize>
    where
        I: Iterator<Item = &'a Name>,
    {
        let rank = |name: &Name| {
            let mut hasher = DefaultHasher::new();
            (self.key, name).hash(&mut hasher);
            hasher.finish()
        };
        let mut ranked: Vec<(u64, usize)> = upstreams.map(rank).zip(0..).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }
}

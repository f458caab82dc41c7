use lru::LruCache;
use serde::{Deserialize, Serialize};

/// A section of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u64,
}

/// Tracks which prompt parts were recently sent to an engine and are probably
/// still in its prefix cache.
///
/// A cached part can be reused only if all parts before it in the prompt are
/// cached too.
#[derive(Debug)]
pub struct PrefixCache {
    /// Token counts by part ID, in LRU order.
    parts: LruCache<u64, u64>,
    tokens: u64,
    limit: u64,
}

impl PrefixCache {
    /// Creates an empty cache model with a capacity of `limit` tokens.
    pub fn new(limit: u64) -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: 0,
            limit,
        }
    }

    /// Sets the capacity of the engine's cache in tokens and evicts parts that
    /// no longer fit.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
        self.trim();
    }

    /// Returns how many tokens of a prompt are not cached and have to be
    /// prefilled.
    pub fn uncached(&self, parts: &[PromptPart]) -> u64 {
        let is_kept = |p: &&PromptPart| self.parts.contains(&p.id);
        let kept = parts.iter().take_while(is_kept).count();
        parts[kept..].iter().map(|p| p.tokens).sum()
    }

    /// Records that a prompt was sent to the engine.
    pub fn record(&mut self, parts: &[PromptPart]) {
        // Leading parts are shared by most prompts, so they are marked as used
        // last.
        for part in parts.iter().rev() {
            let previous = self.parts.put(part.id, part.tokens).unwrap_or_default();
            self.tokens = self.tokens + part.tokens - previous;
        }
        self.trim();
    }

    fn trim(&mut self) {
        while self.tokens > self.limit {
            let Some((_, tokens)) = self.parts.pop_lru() else {
                return;
            };
            self.tokens -= tokens;
        }
    }
}

use lru::LruCache;
use serde::{Deserialize, Serialize};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// The prompt parts that an engine was recently sent, and may still keep.
///
/// A part is of use only behind all parts that stand before it in the prompt.
#[derive(Debug)]
pub struct PartMemory {
    /// The tokens of parts by their identifiers, the least recently used last.
    parts: LruCache<u64, u64>,
    tokens: u64,
    limit: u64,
}

impl PartMemory {
    /// Returns an empty memory for as many tokens as the engine keeps.
    pub fn new(limit: u64) -> Self {
        Self {
            parts: LruCache::unbounded(),
            tokens: 0,
            limit,
        }
    }

    /// Sets how many tokens the engine keeps.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
        self.trim();
    }

    /// Returns the tokens that the engine has to read of a prompt.
    pub fn missing(&self, parts: &[PromptPart]) -> u64 {
        let is_kept = |p: &&PromptPart| self.parts.contains(&p.id);
        let kept = parts.iter().take_while(is_kept).count();
        parts[kept..].iter().map(|p| p.tokens).sum()
    }

    /// Notes that a prompt was sent.
    pub fn note(&mut self, parts: &[PromptPart]) {
        // The first parts are shared most and are used last.
        for part in parts.iter().rev() {
            let former = self.parts.put(part.id, part.tokens).unwrap_or_default();
            self.tokens = self.tokens + part.tokens - former;
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

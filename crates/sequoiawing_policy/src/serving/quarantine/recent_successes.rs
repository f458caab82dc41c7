use super::super::PromptPart;
use lru::LruCache;
use sequoiawing_types::Time;
use std::num::NonZeroUsize;

/// The number of parts whose last success a gateway knows.
const MAX_PARTS: NonZeroUsize = NonZeroUsize::new(8_192).expect("the capacity is not zero");

/// When answers on prompt parts were last completed, on one gateway.
///
/// Parts that were used least recently are dropped first.
#[derive(Debug)]
pub struct RecentSuccesses {
    parts: LruCache<u64, Time>,
}

impl RecentSuccesses {
    /// Records that the answer to a request was completed.
    pub fn record(&mut self, now: Time, parts: &[PromptPart]) {
        let shared = parts.len().saturating_sub(1);
        for part in &parts[..shared] {
            self.parts.put(part.id, now);
        }
    }

    /// Returns when an answer on the part was last completed.
    pub fn last(&self, part: u64) -> Option<Time> {
        self.parts.peek(&part).copied()
    }
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self {
            parts: LruCache::new(MAX_PARTS),
        }
    }
}

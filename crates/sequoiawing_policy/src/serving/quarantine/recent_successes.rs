use lru::LruCache;
use sequoiawing_types::{CrashCause, Time};
use std::num::NonZeroUsize;

/// The number of causes whose last success a gateway knows.
const MAX_CAUSES: NonZeroUsize = NonZeroUsize::new(8_192).expect("the capacity is not zero");

/// When answers to requests with possible causes of crashes were last completed, on
/// one gateway.
///
/// Causes that were used least recently are dropped first.
#[derive(Debug)]
pub struct RecentSuccesses {
    causes: LruCache<CrashCause, Time>,
}

impl RecentSuccesses {
    /// Records that the answer to a request was completed.
    pub fn record(&mut self, now: Time, causes: &[CrashCause]) {
        for cause in causes {
            self.causes.put(*cause, now);
        }
    }

    /// Returns when an answer to a request with the cause was last completed.
    pub fn last(&self, cause: CrashCause) -> Option<Time> {
        self.causes.peek(&cause).copied()
    }
}

impl Default for RecentSuccesses {
    fn default() -> Self {
        Self {
            causes: LruCache::new(MAX_CAUSES),
        }
    }
}

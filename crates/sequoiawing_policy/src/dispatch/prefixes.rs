use std::collections::{HashSet, VecDeque};

/// The number of prompt prefixes kept per upstream.
const CAPACITY: usize = 128;

/// The most recent prompt prefixes that an upstream probably has cached.
///
/// The set is filled from cache events, which may arrive late or get lost, and
/// from the requests that this router sent. A wrong entry only costs some time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    order: VecDeque<u64>,
    known: HashSet<u64>,
}

impl Prefixes {
    pub(crate) fn add(&mut self, prefix: u64) {
        if prefix == 0 || !self.known.insert(prefix) {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, prefix: u64) -> bool {
        self.known.contains(&prefix)
    }
}

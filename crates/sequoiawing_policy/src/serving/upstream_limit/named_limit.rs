use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

/// By how much the times of answers to different hosts may be wrong relative to each
/// other: their ages do not include the way of the report.
const MAX_TIME_ERROR: Duration = Duration::from_millis(500);

/// What an answer of an upstream said of its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NamedRate {
    /// The limit; `None` if it named none.
    pub rate: Option<RequestRate>,
    /// When the answer arrived.
    pub observed: Time,
}

impl NamedRate {
    /// Returns whether the limit allows no more than another one.
    fn is_within(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate <= other,
            (_, None) => true,
            (None, Some(_)) => false,
        }
    }
}

/// The limit that an upstream named last, as far as is known here.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    last: Option<NamedRate>,
}

impl NamedLimit {
    /// Returns the limit, or `None` if the upstream names none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.last.and_then(|last| last.rate)
    }

    /// Returns what the last answer said; `None` if none is known.
    pub fn last(&self) -> Option<NamedRate> {
        self.last
    }

    /// Applies an answer to a request that was sent at `sent`; returns whether it counts.
    ///
    /// Answers on different connections may overtake each other. An answer that raises
    /// or withdraws the limit counts only if its request was sent after the current limit
    /// was observed; one that lowers it counts at once.
    pub fn observe(&mut self, now: Time, sent: Time, rate: Option<RequestRate>) -> bool {
        let next = NamedRate {
            rate,
            observed: now,
        };
        let counts = |last: NamedRate| next.is_within(&last) || sent >= last.observed;
        self.replace_if(next, counts)
    }

    /// Applies an answer to another host; returns whether it counts.
    ///
    /// Its time is an estimate, so that it raises or withdraws the limit only if it is
    /// clearly newer.
    pub fn merge(&mut self, next: NamedRate) -> bool {
        let counts = |last: NamedRate| {
            let error = if next.is_within(&last) {
                Duration::ZERO
            } else {
                MAX_TIME_ERROR
            };
            next.observed >= last.observed + error
        };
        self.replace_if(next, counts)
    }

    fn replace_if<F>(&mut self, next: NamedRate, counts: F) -> bool
    where
        F: Fn(NamedRate) -> bool,
    {
        let is_newer = self.last.is_none_or(counts);
        if is_newer {
            self.last = Some(next);
        }
        is_newer
    }
}

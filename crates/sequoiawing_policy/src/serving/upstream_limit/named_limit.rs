use sequoiawing_types::{RequestRate, Time};

/// The limit that an upstream names in its answers to this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    rate: Option<RequestRate>,
    /// When the last answer arrived that told the limit.
    observed: Option<Time>,
}

impl NamedLimit {
    /// Returns the limit, or `None` if the upstream names none.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns when the limit was observed last; `None` if there was no answer yet.
    pub fn observed(&self) -> Option<Time> {
        self.observed
    }

    /// Applies an answer to a request that was sent at `sent`; returns whether the limit
    /// changed.
    ///
    /// Answers on different connections may overtake each other. An answer that raises
    /// or withdraws the limit counts only if its request was sent after the current limit
    /// was observed; one that lowers it counts at once.
    pub fn observe(&mut self, now: Time, sent: Time, rate: Option<RequestRate>) -> bool {
        let is_lower = match (rate, self.rate) {
            (Some(next), Some(current)) => next <= current,
            (_, None) => true,
            (None, Some(_)) => false,
        };
        let is_newer = self.observed.is_none_or(|observed| sent >= observed);
        if !is_lower && !is_newer {
            return false;
        }
        let has_changed = self.rate != rate;
        self.rate = rate;
        self.observed = Some(now);
        has_changed
    }
}

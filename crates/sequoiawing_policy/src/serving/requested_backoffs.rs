use sequoiawing_types::{Name, Time};
use std::{collections::HashMap, time::Duration};

/// The time over which requests come back to an upstream after a backoff, so that those
/// which waited for its end do not arrive together.
const RESUME_SPREAD: Duration = Duration::from_millis(200);

/// The times until which upstreams want no requests from this host.
///
/// They belong to the host and not to an entry of the roster: nothing but their end ends
/// them, also if an upstream starts anew or leaves the roster for a while. See
/// [docs/design/requested-backoffs.md](../../../../docs/design/requested-backoffs.md).
#[derive(Debug, Default)]
pub(super) struct RequestedBackoffs {
    ends: HashMap<Name, Time>,
}

impl RequestedBackoffs {
    /// Records that an upstream wants no requests for a time; returns whether that ends
    /// later than what it asked for before.
    pub(super) fn extend(&mut self, now: Time, upstream: &Name, span: Duration) -> bool {
        self.ends.retain(|_, end| now < *end + RESUME_SPREAD);
        let end = now + span;
        let is_later = self.ends.get(upstream).is_none_or(|known| *known < end);
        let is_extended = is_later && !span.is_zero();
        if is_extended {
            self.ends.insert(upstream.clone(), end);
        }
        is_extended
    }

    /// Returns the time until which an upstream wants no requests.
    pub(super) fn end(&self, now: Time, upstream: &Name) -> Option<Time> {
        self.ends.get(upstream).copied().filter(|end| now < *end)
    }

    /// Returns when a request that is refused now may come back, after those that wait.
    pub(super) fn retry(&self, now: Time, upstream: &Name, draw: f64) -> Option<Time> {
        let due = self.due(now, upstream, draw)?;
        Some(due + RESUME_SPREAD)
    }

    /// Returns when a request may be sent to an upstream; `None` if it may now. `draw` is a
    /// number from 0 to 1 that spreads the requests.
    pub(super) fn due(&self, now: Time, upstream: &Name, draw: f64) -> Option<Time> {
        let end = self.ends.get(upstream)?;
        let due = *end + RESUME_SPREAD.mul_f64(draw.clamp(0.0, 1.0));
        (now < due).then_some(due)
    }
}

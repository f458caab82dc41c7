use super::recent_count::RecentCount;
use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

/// The part of the tolerance, in rejections per second, that may be used to find out
/// whether there is more room than before.
const TRIAL_SHARE: f64 = 0.25;

/// The part of the room that is kept with each rejection after the first within a second:
/// the upstream may run many requests that it would not accept now.
const KEPT_SHARE: f64 = 0.75;

/// The part of the room by which it is raised at a time.
const RAISE_SHARE: f64 = 0.125;

/// The shortest time between two raises: until the requests that use the first one are
/// accepted or rejected.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// The time after which a request that finds no room may come back if few others do.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// The longest time after which a request that finds no room may come back.
const MAX_RETRY: Duration = Duration::from_secs(4);

/// The places at one start of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    pub(super) epoch: u64,
    /// The requests that it takes, as far as is known; infinite if it has not said how
    /// many it runs.
    limit: f64,
    /// The requests that it says it runs at once; 0 if it does not say.
    slots: u32,
    /// When the limit was last raised, or lowered.
    changed: Time,
    /// The places that are taken.
    pub(super) taken: u32,
    /// The requests of the last second that got a place.
    given: RecentCount,
    /// Those that did not.
    refused: RecentCount,
    /// The rejections of the last second.
    rejected: RecentCount,
}

impl Room {
    pub(super) fn new(now: Time, epoch: u64, slots: u32) -> Self {
        Self {
            epoch,
            limit: most(slots),
            slots,
            changed: now,
            taken: 0,
            given: RecentCount::default(),
            refused: RecentCount::default(),
            rejected: RecentCount::default(),
        }
    }

    /// Sets the requests that the upstream says it runs at once; 0 if it does not say.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if self.slots != slots {
            self.slots = slots;
            self.limit = self.limit.min(most(slots));
        }
    }

    /// Takes a place if there is one; only this `part` of the room is used.
    pub(super) fn take(&mut self, now: Time, tolerance: RequestRate, part: f64) -> bool {
        self.raise(now, tolerance);
        let has_room = f64::from(self.taken) + 1.0 <= (self.limit * part).max(1.0);
        if has_room {
            self.taken += 1;
            self.given.record(now);
        } else {
            self.refused.record(now);
        }
        has_room
    }

    /// Gives a place back.
    pub(super) fn leave(&mut self) {
        self.taken = self.taken.saturating_sub(1);
    }

    /// Records that the upstream rejected a request for want of room, whose place has been
    /// given back: it takes no more than what it has now, and less if it goes on to reject.
    pub(super) fn record_rejection(&mut self, now: Time) {
        let earlier = i32::try_from(self.rejected.get(now)).unwrap_or(i32::MAX);
        self.rejected.record(now);
        let room = f64::from(self.taken) * KEPT_SHARE.powi(earlier);
        self.limit = self.limit.min(room).max(1.0);
        self.changed = now;
    }

    /// Returns when a request that found no place should come back. `draw`, from 0 to 1,
    /// spreads those that are refused at the same time.
    pub(super) fn retry(&mut self, now: Time, draw: f64) -> Duration {
        let given = f64::from(self.given.get(now).max(1));
        let refused = f64::from(self.refused.get(now));
        let retry = MIN_RETRY.as_secs_f64() * (1.0 + refused / given);
        let spread = Duration::from_secs_f64(retry * (0.5 + draw));
        spread.clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Raises a limit that was lowered, in steps that cost few rejections if there is no
    /// more room.
    fn raise(&mut self, now: Time, tolerance: RequestRate) {
        let most = most(self.slots);
        if self.limit >= most {
            return;
        }
        let trials = tolerance.per_second_f64() * TRIAL_SHARE;
        let interval = RAISE_INTERVAL.div_f64(trials.clamp(0.1, 1.0));
        if now.since(self.changed) >= interval {
            let step = (self.limit * RAISE_SHARE).min(trials).max(1.0);
            self.limit = (self.limit + step).min(most);
            self.changed = now;
        }
    }
}

/// Returns the most requests that are sent to an upstream with so many slots.
fn most(slots: u32) -> f64 {
    if slots == 0 {
        f64::INFINITY
    } else {
        f64::from(slots)
    }
}

use sequoiawing_types::Time;
use std::time::Duration;

/// The length of one slot of the window.
const SLOT: Duration = Duration::from_millis(250);

/// The number of slots, which make a second.
const SLOTS: usize = 4;

/// Counts the events of the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentCount {
    counts: [u32; SLOTS],
    /// The number of the current slot since the start of the clock.
    current: u64,
}

impl RecentCount {
    pub(super) fn record(&mut self, now: Time) {
        self.roll(now);
        let index = Self::index(self.current);
        self.counts[index] = self.counts[index].saturating_add(1);
    }

    /// Returns the events of the last second.
    pub(super) fn get(&mut self, now: Time) -> u32 {
        self.roll(now);
        let counts = self.counts.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    fn index(slot: u64) -> usize {
        usize::try_from(slot % 4).unwrap_or_default()
    }

    fn roll(&mut self, now: Time) {
        let slot = now.since(Time::ZERO).as_millis() / SLOT.as_millis();
        let slot = u64::try_from(slot).unwrap_or(u64::MAX);
        let passed = slot.saturating_sub(self.current);
        for i in 1..=passed.min(4) {
            self.counts[Self::index(self.current + i)] = 0;
        }
        self.current = self.current.max(slot);
    }
}

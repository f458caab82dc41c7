use sequoiawing_types::Time;
use std::time::Duration;

/// Detects times in which this process did not run, from the delays of a periodic
/// timer.
///
/// A process that was suspended, or had no CPU time, received nothing meanwhile.
/// The silence of others during a pause does not show that they have failed.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    interval: Duration,
    last: Time,
}

impl Pauses {
    /// Returns a detector for a timer that starts at `now`.
    pub fn new(now: Time, interval: Duration) -> Self {
        Self {
            interval,
            last: now,
        }
    }

    /// Returns by how much the timer fired late.
    pub fn tick(&mut self, now: Time) -> Duration {
        let elapsed = now.since(self.last);
        self.last = now;
        elapsed.saturating_sub(self.interval)
    }
}

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// A monotonic clock that measures the time since its creation.
///
/// The clock includes the time during which the machine is suspended, so that a
/// lease has expired when a suspended process resumes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        let origin = boot_time();
        Self { origin }
    }

    /// Returns the time since the clock started.
    pub fn elapsed(&self) -> Duration {
        boot_time().saturating_sub(self.origin)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

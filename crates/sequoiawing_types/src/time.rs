use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A monotonic instant in microseconds since an origin chosen by its process.
///
/// Decision logic takes the time as an argument, so that tests can run it in
/// virtual time. Instants of different processes must not be compared.
///
/// ```
/// use sequoiawing_types::Time;
/// use std::time::Duration;
///
/// let start = Time::ZERO + Duration::from_millis(3);
/// assert_eq!(start - Time::ZERO, Duration::from_millis(3));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The latest instant.
    pub const MAX: Self = Self(u64::MAX);

    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Returns the instant `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the instant `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

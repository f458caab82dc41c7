use super::Settings;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sequoiawing_types::Time;

/// A host's clock, with its own origin and drift.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    origin: u64,
    millionths: u64,
}

impl Clock {
    pub(crate) fn now(self, real: Time) -> Time {
        let micros = u128::from(real.as_micros()) * u128::from(self.millionths) / 1_000_000;
        Time::from_micros(self.origin + u64::try_from(micros).expect("the value fits in u64"))
    }
}

/// Returns a random clock that drifts by at most half of the maximum drift
/// between two clocks.
pub(crate) fn clock(settings: &Settings, rng: &mut ChaCha8Rng) -> Clock {
    let half = u64::from(settings.timing.drift) / 2;
    Clock {
        origin: rng.random_range(1..1_000_000_000),
        millionths: rng.random_range(1_000_000 - half..=1_000_000 + half),
    }
}

use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// The micro-tokens in a token.
pub(super) const MICRO: i128 = 1_000_000;

/// The rate at which an upstream that accepts nothing is still tried, in thousandths
/// of a request per second; without an answer nobody would learn that its limit is
/// over.
const MIN_RATE: u64 = 200;

/// A number of requests per second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestRate {
    /// The thousandths of a request per second.
    milli: u64,
}

impl RequestRate {
    /// The highest rate; a higher one is no limit.
    const MAX_PER_SECOND: f64 = 1e9;

    /// Returns a rate, or `None` if the number is negative, not finite or larger than
    /// any number of requests that an upstream could receive.
    pub fn per_second(rate: f64) -> Option<Self> {
        if !(0.0..=Self::MAX_PER_SECOND).contains(&rate) {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked"
        )]
        let milli = (rate * 1_000.0).round() as u64;
        Some(Self { milli })
    }

    /// Returns the rate at which requests are sent, in thousandths per second.
    pub(super) fn effective(self) -> u64 {
        self.milli.max(MIN_RATE)
    }

    /// Returns the time in which so many requests are accepted.
    pub(super) fn time_for(self, requests: u64) -> Duration {
        Duration::from_micros(requests.saturating_mul(1_000_000_000) / self.effective())
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.milli / 1_000, self.milli % 1_000)
    }
}

/// Returns the micro-tokens that a rate in thousandths per second yields in a span.
pub(super) fn earned(milli: u64, span: Duration) -> i128 {
    let micros = i128::try_from(span.as_micros()).unwrap_or(i128::MAX >> 64);
    i128::from(milli) * micros / 1_000
}

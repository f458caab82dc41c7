use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// The thousandths in a whole.
const MILLI: u64 = 1_000;

/// A number of requests per second, exact to a thousandth.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct RequestRate {
    milli: u64,
}

impl RequestRate {
    /// The highest rate that is accepted, in requests per second.
    const MAX_PER_SECOND: f64 = 1e9;

    /// The same in thousandths.
    const MAX_MILLI: u64 = 1_000_000_000_000;

    /// Returns a rate, or `None` if the number is negative, not finite or above a
    /// billion requests per second.
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

    /// Returns a rate in thousandths of a request per second, or `None` if it is above a
    /// billion requests per second.
    pub fn from_milli(milli: u64) -> Option<Self> {
        (milli <= Self::MAX_MILLI).then_some(Self { milli })
    }

    /// Returns the requests per second.
    #[expect(
        clippy::cast_precision_loss,
        reason = "the highest rate is far below 2^52 thousandths"
    )]
    pub fn per_second_f64(self) -> f64 {
        self.milli as f64 / 1_000.0
    }

    /// Returns the rate in thousandths of a request per second.
    pub fn milli(self) -> u64 {
        self.milli
    }
}

impl Display for RequestRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.milli / MILLI, self.milli % MILLI)
    }
}

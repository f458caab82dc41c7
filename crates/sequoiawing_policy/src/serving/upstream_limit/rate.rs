use sequoiawing_types::RequestRate;
use std::time::Duration;

/// The micro-tokens in a token.
pub(super) const MICRO: i128 = 1_000_000;

/// The rate at which an upstream that accepts nothing is still tried, in thousandths
/// of a request per second; without an answer nobody would learn that its limit is
/// over.
const MIN_RATE: u64 = 200;

/// Returns the rate at which requests are sent, in thousandths per second.
fn effective(rate: RequestRate) -> u64 {
    rate.milli().max(MIN_RATE)
}

/// Returns the micro-tokens that a rate yields in a span.
pub(super) fn earned(rate: RequestRate, span: Duration) -> i128 {
    let micros = i128::try_from(span.as_micros()).unwrap_or(i128::MAX >> 64);
    i128::from(effective(rate)) * micros / 1_000
}

/// Returns the time in which so many requests are accepted.
pub(super) fn time_for(rate: RequestRate, requests: u64) -> Duration {
    Duration::from_micros(requests.saturating_mul(1_000_000_000) / effective(rate))
}

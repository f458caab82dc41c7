use sequoiawing_link::Format;
use serde::Serialize;
use std::time::{Duration, Instant};

/// How long [`mean_micros`] repeats the work.
const MEASURED_TIME: Duration = Duration::from_millis(200);

/// Returns the size of a message between processes of one release, in bytes.
pub fn encoded_bytes<T>(value: &T) -> f64
where
    T: Serialize,
{
    let length = Format::Binary.encode(value).map_or(0, |v| v.len());
    f64::from(u32::try_from(length).unwrap_or(u32::MAX))
}

/// Returns the mean time of one call, in microseconds.
pub fn mean_micros<F>(mut work: F) -> f64
where
    F: FnMut(),
{
    let start = Instant::now();
    let mut runs = 0_u32;
    while start.elapsed() < MEASURED_TIME {
        work();
        runs += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

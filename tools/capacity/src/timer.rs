//! Measures the time of short operations.

use std::time::{Duration, Instant};

/// Number of batches over which the median is taken.
const BATCH_COUNT: usize = 9;

/// Minimum duration of one batch.
const MIN_BATCH_TIME: Duration = Duration::from_millis(15);

/// Returns the time of one run of `work`, in seconds: the median over batches.
pub(crate) fn median_seconds<F>(mut work: F) -> f64
where
    F: FnMut(),
{
    let mut batches: Vec<f64> = (0..BATCH_COUNT).map(|_| time_batch(&mut work)).collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCH_COUNT / 2]
}

fn time_batch<F>(work: &mut F) -> f64
where
    F: FnMut(),
{
    let start = Instant::now();
    let mut runs = 0_u32;
    while start.elapsed() < MIN_BATCH_TIME {
        work();
        runs += 1;
    }
    start.elapsed().as_secs_f64() / f64::from(runs)
}

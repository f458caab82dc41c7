use std::time::Duration;

/// The number of histogram buckets; each is twice as wide as the previous one.
const BUCKETS: usize = 16;

/// The upper bound of the first bucket, in seconds.
const FIRST_SECS: f32 = 1.0;

/// The bucket count at which all buckets are halved, so that old gaps lose
/// weight.
const HALVE_AT: u8 = 64;

/// The minimum number of gaps before a use pattern counts as regular.
const MIN_REGULAR_GAPS: u16 = 5;

/// The maximum mean deviation of a regular pattern, as a fraction of the mean
/// gap.
const MAX_REGULAR_DEVIATION: f32 = 0.08;

/// The weight of the latest gap in the moving averages.
const EWMA_WEIGHT: f32 = 0.25;

/// A histogram of the gaps between uses of one model, in 32 bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GapHistogram {
    counts: [u8; BUCKETS],
    mean: f32,
    deviation: f32,
    seen: u16,
}

impl GapHistogram {
    pub(crate) fn add(&mut self, gap: Duration) {
        let secs = gap.as_secs_f32();
        let bucket = &mut self.counts[bucket_of(secs)];
        *bucket += 1;
        if *bucket >= HALVE_AT {
            for count in &mut self.counts {
                *count /= 2;
            }
        }
        if self.seen == 0 {
            self.mean = secs;
        } else {
            let error = secs - self.mean;
            self.mean += EWMA_WEIGHT * error;
            self.deviation += EWMA_WEIGHT * (error.abs() - self.deviation);
        }
        self.seen = self.seen.saturating_add(1);
    }

    /// Returns the earliest and latest expected time from the last use to the
    /// next, if the pattern is regular.
    pub(crate) fn next_use(&self) -> Option<(Duration, Duration)> {
        let is_regular =
            self.seen >= MIN_REGULAR_GAPS && self.deviation <= self.mean * MAX_REGULAR_DEVIATION;
        if !is_regular {
            return None;
        }
        let margin = (3.0 * self.deviation).max(self.mean * 0.02);
        let earliest = Duration::from_secs_f32((self.mean - margin).max(0.0));
        let latest = Duration::from_secs_f32(self.mean + margin);
        Some((earliest, latest))
    }

    /// Returns the keep-alive time with the lowest expected cost, up to
    /// `limit`.
    ///
    /// The cost is the loaded time until the next use or until unloading, plus
    /// `reload_cost` for a use after unloading. One gap of `prior` is added to
    /// the histogram, so that few observations have little effect.
    pub(crate) fn best_keep_time(
        &self,
        reload_cost: Duration,
        prior: Duration,
        limit: Duration,
    ) -> Duration {
        let limit = limit.as_secs_f32();
        let reload_cost = reload_cost.as_secs_f32();
        let prior = bucket_of(prior.as_secs_f32());
        let count = |i: usize| f32::from(self.counts[i]) + f32::from(u8::from(i == prior));
        let total: f32 = (0..BUCKETS).map(count).sum();
        let mut best = (total * reload_cost, 0.0);
        let mut loaded_cost = 0.0;
        let mut remaining_count = total;
        for i in 0..BUCKETS {
            let span = upper(i);
            if span > limit {
                break;
            }
            loaded_cost += count(i) * middle(i);
            remaining_count -= count(i);
            let cost = loaded_cost + remaining_count * (span + reload_cost);
            if cost < best.0 {
                best = (cost, span);
            }
        }
        Duration::from_secs_f32(best.1)
    }

    /// Returns the mean time until the next use, given that there was none for
    /// `idle`.
    pub(crate) fn remaining(&self, idle: Duration) -> Option<Duration> {
        if self.seen == 0 {
            return None;
        }
        let idle = idle.as_secs_f32();
        let later = (0..BUCKETS).filter(|i| upper(*i) > idle);
        let later = later.map(|i| (f32::from(self.counts[i]), middle(i)));
        let (count, sum) = later.fold((0.0, 0.0), |(n, s), (c, m)| (n + c, s + c * m));
        let expected: f32 = if count > 0.0 { sum / count } else { idle * 2.0 };
        let secs = (expected - idle).max(idle * 0.1);
        Some(Duration::from_secs_f32(secs.max(0.1)))
    }
}

fn bucket_of(secs: f32) -> usize {
    (0..BUCKETS)
        .find(|i| secs <= upper(*i))
        .unwrap_or(BUCKETS - 1)
}

/// Returns the upper bound of a bucket, in seconds.
fn upper(bucket: usize) -> f32 {
    let power = i32::try_from(bucket).unwrap_or(0);
    FIRST_SECS * 2.0_f32.powi(power)
}

fn middle(bucket: usize) -> f32 {
    upper(bucket) * 0.75
}

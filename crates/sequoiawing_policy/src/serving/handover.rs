use std::time::Duration;

/// Returns how long a new leader must wait before it sends orders.
///
/// `ages` holds, for each other host that answers, the time since it sent its
/// last order or, if that is more recent, since it started: a host that has just
/// started may have sent orders before. Hosts that do not answer are left out.
/// They are stopped, partitioned or suspended, and engines refuse their orders
/// once they have seen the new leader's term.
///
/// ```
/// use sequoiawing_policy::serving::handover_wait;
/// use std::time::Duration;
///
/// let quiet = Duration::from_secs(3);
/// let ages = [Duration::from_secs(60), Duration::from_secs(1)];
/// assert_eq!(handover_wait(quiet, ages), Duration::from_secs(2));
/// ```
pub fn handover_wait<I>(quiet: Duration, ages: I) -> Duration
where
    I: IntoIterator<Item = Duration>,
{
    let latest = ages.into_iter().min();
    latest.map_or(Duration::ZERO, |age| quiet.saturating_sub(age))
}

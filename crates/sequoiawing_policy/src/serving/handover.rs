use std::time::Duration;

/// Returns how long a new leader waits before it gives orders, by how long ago
/// the other hosts that answer gave their last one, or started.
///
/// A host that has just started may have given orders before. One that does not
/// answer counts for nothing: it is stopped, cut off or suspended, and engines
/// refuse its orders once they have seen the new leader's term.
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
    let youngest = ages.into_iter().min();
    youngest.map_or(Duration::ZERO, |age| quiet.saturating_sub(age))
}

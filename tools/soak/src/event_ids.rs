//! The IDs of events, which increase by varying steps.

/// Returns the ID of the event with this number. `step` is the mean distance of two IDs.
pub(crate) fn event_id(step: u64, number: u64) -> u64 {
    let shift = step.saturating_sub(1) / 2;
    step * number + number % 3 * shift
}

/// Returns the number of the last event whose ID is not above `id`.
pub(crate) fn event_number(step: u64, id: u64) -> u64 {
    let nearest = id / step.max(1);
    let numbers = (0..=nearest).rev();
    let mut numbers = numbers.filter(|number| event_id(step, *number) <= id);
    numbers.next().unwrap_or_default()
}

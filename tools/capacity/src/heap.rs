//! Measures the heap memory of values.

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Overhead of the allocator per allocation, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;

/// Returns the heap bytes held by the value that `make` returns, including the
/// overhead of the allocator.
pub(crate) fn heap_bytes<T, F>(make: F) -> f64
where
    F: FnOnce() -> T,
{
    let region = Region::new(ALLOCATOR);
    let value = make();
    let change = region.change();
    drop(value);
    let grown = change.bytes_reallocated;
    let requested = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    let requested = isize::try_from(requested).unwrap_or(isize::MAX);
    let live = change.allocations.saturating_sub(change.deallocations);
    // `bytes_allocated` already counts growth by reallocation.
    debug_assert!(
        grown <= requested,
        "the measured value shrank while it was built"
    );
    to_f64(requested.unsigned_abs() + live * ALLOCATION_OVERHEAD)
}

/// Returns the heap bytes per additional entry, measured between `count` and
/// twice as many entries.
pub(crate) fn slope<T, F>(count: u32, make: F) -> f64
where
    F: Fn(u32) -> T,
{
    let small = heap_bytes(|| make(count));
    let large = heap_bytes(|| make(2 * count));
    (large - small) / f64::from(count)
}

/// Converts a count to `f64`, capped at `u32::MAX`.
pub(crate) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

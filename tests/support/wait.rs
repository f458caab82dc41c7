//! Waits for conditions on other processes.

use serde_json::Value;
use std::time::{Duration, Instant};

/// The interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a test waits for a condition before it fails.
pub(crate) const TIMEOUT: Duration = Duration::from_mins(1);

/// Waits until the condition returns `Ok`.
///
/// # Panics
///
/// Panics with the last `Err` value if that takes longer than [`TIMEOUT`].
pub(crate) fn wait<T, F>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> Result<T, Value>,
{
    let start = Instant::now();
    loop {
        let seen = match condition() {
            Ok(value) => return value,
            Err(seen) => seen,
        };
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out after {TIMEOUT:?} waiting for {what}: {seen}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

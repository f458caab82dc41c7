//! Graceful shutdown of a simulated upstream.

use sequoiawing_runtime::{sleep, timeout};
use std::time::Duration;

/// How often a draining upstream checks whether its requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Keeps serving for `notice_ms` milliseconds, in which all routers learn that
/// the upstream is leaving, then waits up to `limit_ms` milliseconds for running
/// requests.
///
/// Returns the number of requests that were still running at the end.
pub(crate) async fn drain<F>(target: &'static str, notice_ms: u64, limit_ms: u64, running: F) -> u32
where
    F: Fn() -> u32,
{
    sleep(Duration::from_millis(notice_ms)).await;
    let idle = async {
        while running() > 0 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(Duration::from_millis(limit_ms), idle).await;
    let abandoned = running();
    if abandoned > 0 {
        log::warn!(
            target: target,
            "Draining timed out after {limit_ms} ms with {abandoned} requests still running."
        );
    }
    abandoned
}

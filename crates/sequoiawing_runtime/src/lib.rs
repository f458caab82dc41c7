//! Executor threads, timers and shutdown for the daemons.
//!
//! One process-wide executor runs on a fixed number of threads. Daemons spawn
//! tasks on it, and a [`Shutdown`] signal ends these tasks.

mod clock;
mod executor;
mod shutdown;
mod watch;

pub use clock::Clock;
pub use executor::{Task, run, spawn};
pub use shutdown::{Shutdown, wait_for_signal};
pub use watch::Watch;

use futures_lite::FutureExt;
use std::{future::Future, time::Duration};

/// Waits for `span`.
pub async fn sleep(span: Duration) {
    async_io::Timer::after(span).await;
}

/// Waits for `work` at most for `span`. Returns `None` and drops `work` on timeout.
pub async fn timeout<F>(span: Duration, work: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        sleep(span).await;
        None
    };
    async { Some(work.await) }.or(timer).await
}

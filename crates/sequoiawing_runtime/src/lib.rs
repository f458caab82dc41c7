//! Executor threads, timers and shutdown for the daemons.
//!
//! One process-wide executor runs on a fixed number of threads. Daemons spawn
//! tasks on it, and a [`Shutdown`] signal ends these tasks.

mod clock;
mod countdown;
mod executor;
mod shutdown;
mod watch;

pub use clock::Clock;
pub use countdown::Countdown;
pub use executor::{Task, run, spawn};
pub use shutdown::{Shutdown, wait_for_signal};
pub use watch::Watch;

use futures_lite::FutureExt;
use std::{future::Future, time::Duration};

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    async_io::Timer::after(duration).await;
}

/// Waits for `future` at most for `duration`. Returns `None` and drops `future` on
/// timeout.
pub async fn timeout<F>(duration: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let timer = async {
        sleep(duration).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}

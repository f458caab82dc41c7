use crate::{Clock, Watch, sleep};
use futures_lite::FutureExt;
use std::{future::Future, time::Duration};

/// The time that is left for work, once a process has begun to stop.
#[derive(Debug)]
pub struct Countdown {
    clock: Clock,
    end: Watch<Option<Duration>>,
}

impl Countdown {
    /// Creates a countdown that has not begun.
    pub fn new() -> Self {
        Self {
            clock: Clock::start(),
            end: Watch::new(None),
        }
    }

    /// Begins the countdown.
    pub fn begin(&self, left: Duration) {
        self.end.set(Some(self.clock.elapsed() + left));
    }

    /// Returns the time that is left; `None` if the countdown has not begun.
    pub fn left(&self) -> Option<Duration> {
        let end = self.end.get()?;
        Some(end.saturating_sub(self.clock.elapsed()))
    }

    /// Waits until the countdown has begun and ended.
    pub async fn wait(&self) {
        let end = self.end.wait_until(Option::is_some).await;
        sleep(end.unwrap_or_default().saturating_sub(self.clock.elapsed())).await;
    }

    /// Runs a future; returns `None` if the countdown ends before it completes. Once the
    /// countdown has ended, a future still runs to the first point at which it waits.
    pub async fn or<F>(&self, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let ended = async {
            self.wait().await;
            None
        };
        async { Some(future.await) }.or(ended).await
    }
}

impl Default for Countdown {
    fn default() -> Self {
        Self::new()
    }
}

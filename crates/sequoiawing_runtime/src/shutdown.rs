use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::{future::Future, io};

/// A shutdown signal for all tasks of a daemon.
///
/// Clones share the signal. Once given, it cannot be reset.
#[derive(Clone, Debug)]
pub struct Shutdown {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Shutdown {
    /// Creates a signal that has not been given.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Gives the signal.
    pub fn start(&self) {
        self.sender.close();
    }

    /// Returns `true` if the signal was given.
    pub fn is_started(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        let closed = self.receiver.recv().await;
        debug_assert!(closed.is_err(), "the channel only signals by being closed");
    }

    /// Runs `future` until it completes or the signal is given. Returns `None` in
    /// the second case.
    pub async fn or<F>(&self, future: F) -> Option<F::Output>
    where
        F: Future,
    {
        let stopped = async {
            self.wait().await;
            None
        };
        stopped.or(async { Some(future.await) }).await
    }

    /// Runs `future`, typically an endless loop, until the signal is given.
    pub async fn run_until_shutdown<F>(self, future: F)
    where
        F: Future<Output = ()>,
    {
        self.or(future).await;
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await.transpose()?;
    Ok(())
}

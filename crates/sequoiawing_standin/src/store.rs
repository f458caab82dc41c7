use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use parking_lot::Mutex;
use sequoiawing_runtime::sleep;
use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// The number of concurrent loads that a weight store serves at full speed.
const FULL_SPEED_LOADS: u32 = 4;

/// How often a load adapts its speed to the number of concurrent loads.
const STEP: Duration = Duration::from_millis(10);

/// A simulated weight store, whose loads slow down when more than
/// [`FULL_SPEED_LOADS`] run at once.
///
/// Clones share the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    running: Arc<Mutex<u32>>,
    counter: Option<SocketAddr>,
}

impl Store {
    /// Creates a store that connects to `counter` during each load, so that the
    /// listener there can count concurrent loads.
    pub(crate) fn new(counter: Option<SocketAddr>) -> Self {
        Self {
            counter,
            ..Self::default()
        }
    }

    /// Waits for a load that takes `duration` at full speed.
    pub(crate) async fn load(&self, duration: Duration) {
        let connection = match self.counter {
            Some(counter) => TcpStream::connect(counter).await.ok(),
            None => None,
        };
        *self.running.lock() += 1;
        let _guard = RunningLoad(self.running.clone());
        let mut remaining = duration.as_secs_f64();
        while remaining > 0.0 {
            let step = STEP.min(Duration::from_secs_f64(remaining));
            sleep(step).await;
            let loads = f64::from((*self.running.lock()).max(FULL_SPEED_LOADS));
            remaining -= step.as_secs_f64() * f64::from(FULL_SPEED_LOADS) / loads;
        }
        if let Some(stream) = connection {
            end_load(stream).await.ok();
        }
    }
}

/// Ends a counted load and waits until the listener has noticed.
async fn end_load(mut stream: TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)?;
    stream.read(&mut [0]).await?;
    Ok(())
}

struct RunningLoad(Arc<Mutex<u32>>);

impl Drop for RunningLoad {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

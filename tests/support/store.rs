use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// Counts the loads from the weight store; an engine keeps one connection open
/// for each load.
#[derive(Clone)]
pub(crate) struct StoreCounter {
    pub(crate) address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
}

/// The numbers of loads.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// The loads in progress.
    pub(crate) running: u32,
    /// The maximum number of concurrent loads.
    pub(crate) peak: u32,
    /// The loads started so far.
    pub(crate) started: u32,
}

impl StoreCounter {
    pub(crate) fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let counts = Arc::new(Mutex::new(Counts::default()));
        let counter = Self {
            address,
            counts: counts.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = counts.clone();
                thread::spawn(move || count_load(stream, &counts));
            }
        });
        counter
    }

    pub(crate) fn counts(&self) -> Counts {
        *self.counts.lock().expect("the lock is not poisoned")
    }
}

/// Counts one load until the engine closes the connection.
fn count_load(mut stream: TcpStream, counts: &Mutex<Counts>) {
    {
        let mut counts = counts.lock().expect("the lock is not poisoned");
        counts.running += 1;
        counts.started += 1;
        counts.peak = counts.peak.max(counts.running);
    }
    stream.read_to_end(&mut Vec::new()).ok();
    counts.lock().expect("the lock is not poisoned").running -= 1;
}

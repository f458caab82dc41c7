//! Relays between hosts whose traffic can be blocked and unblocked.

use super::addresses::free_address;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future::zip};
use sequoiawing::runtime::{Task, Watch, run, spawn};
use std::{
    collections::BTreeSet,
    net::{Shutdown, SocketAddr},
    sync::Arc,
};

/// The buffer size of a relay in bytes.
const BUFFER: usize = 16 * 1024;

/// The blocked directions, each from one host to another.
type Cuts = Arc<BTreeSet<(String, String)>>;

/// Relays between hosts.
///
/// Data sent in a blocked direction, including the end of a connection, is held
/// back and delivered once the direction is unblocked, as with TCP
/// retransmission. A connection made while either direction is blocked is
/// accepted, but no data passes.
#[derive(Default)]
pub(crate) struct Network {
    cuts: Watch<Cuts>,
    relays: Vec<Task<()>>,
}

impl Network {
    /// Starts a relay between two hosts and returns its address, which forwards to
    /// `target`.
    pub(crate) fn relay(&mut self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let address = free_address();
        let listener = run(TcpListener::bind(address)).expect("the address is free");
        let outbound = Direction::new(&self.cuts, from, to);
        let inbound = Direction::new(&self.cuts, to, from);
        self.relays.push(spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                spawn(relay_connection(
                    client,
                    outbound.clone(),
                    inbound.clone(),
                    target,
                ))
                .detach();
            }
        }));
        address
    }

    /// Blocks one direction.
    pub(crate) fn cut(&self, from: &str, to: &str) {
        let mut cuts = BTreeSet::clone(&self.cuts.get());
        cuts.insert((from.to_owned(), to.to_owned()));
        self.cuts.set(Arc::new(cuts));
    }

    /// Unblocks all directions.
    pub(crate) fn heal(&self) {
        self.cuts.set(Cuts::default());
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.heal();
    }
}

/// One direction between two hosts.
#[derive(Clone)]
struct Direction {
    cuts: Watch<Cuts>,
    hosts: Arc<(String, String)>,
}

impl Direction {
    fn new(cuts: &Watch<Cuts>, from: &str, to: &str) -> Self {
        Self {
            cuts: cuts.clone(),
            hosts: Arc::new((from.to_owned(), to.to_owned())),
        }
    }

    /// Waits until the direction is not blocked.
    async fn wait_open(&self) {
        let is_open = |cuts: &Cuts| !cuts.contains(&*self.hosts);
        self.cuts.wait_until(is_open).await;
    }
}

async fn relay_connection(
    client: TcpStream,
    outbound: Direction,
    inbound: Direction,
    target: SocketAddr,
) {
    outbound.wait_open().await;
    inbound.wait_open().await;
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let upload = copy_bytes(client.clone(), server.clone(), outbound);
    let download = copy_bytes(server, client, inbound);
    zip(upload, download).await;
}

/// Copies bytes until either end closes.
async fn copy_bytes(mut from: TcpStream, mut to: TcpStream, direction: Direction) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await;
        direction.wait_open().await;
        let Some(count) = read.ok().filter(|c| *c > 0) else {
            to.shutdown(Shutdown::Write).ok();
            return;
        };
        if to.write_all(&buffer[..count]).await.is_err() {
            from.shutdown(Shutdown::Both).ok();
            return;
        }
    }
}

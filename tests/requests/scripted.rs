//! Upstreams that write chosen bytes on real connections.

use crate::fleet::{Fleet, SECRET, wait_until};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::Request;
use rustix::net::sockopt::set_socket_linger;
use sequoiawing::{
    http::{Client, from_bytes},
    runtime::{sleep, spawn},
};
use serde_json::{Value, json};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// How often a scripted upstream announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);

/// What an upstream does with a request that it has read.
pub(crate) enum Step {
    Write(String),
    /// Writes the bytes again and again, until so many bytes are written.
    Repeat(String, usize),
    Pause(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection in order, as the kernel does for a killed process.
    Close,
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// The number of requests that all scripted upstreams received before.
    pub(crate) number: usize,
    /// The number of the connection.
    pub(crate) connection: usize,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Received {
    pub(crate) fn header(&self, name: &str) -> &str {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.trim())
    }

    pub(crate) fn attempt(&self) -> &str {
        self.header("sequoiawing-attempt")
    }
}

type Script = Arc<dyn Fn(&Received) -> Vec<Step> + Send + Sync>;

/// The kind of a scripted upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A service of the pool `licences`.
    Service,
    /// An engine of the pool `captions`, with the model loaded.
    Engine,
}

/// Upstreams that share one script.
pub(crate) struct Scripted {
    received: Arc<Mutex<Vec<Received>>>,
    /// The bytes that [`Step::Repeat`] wrote to all connections.
    repeated: Arc<AtomicUsize>,
    is_stopped: Arc<AtomicBool>,
}

impl Scripted {
    /// Starts upstreams and waits until the first router knows them.
    pub(crate) async fn start<F>(fleet: &Fleet, kind: Kind, count: usize, script: F) -> Self
    where
        F: Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    {
        Self::start_reading(fleet, kind, count, Reading::Whole, script).await
    }

    /// The same with upstreams that answer when they have read the head of a request.
    pub(crate) async fn start_early<F>(fleet: &Fleet, kind: Kind, count: usize, script: F) -> Self
    where
        F: Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    {
        Self::start_reading(fleet, kind, count, Reading::Head, script).await
    }

    async fn start_reading<F>(
        fleet: &Fleet,
        kind: Kind,
        count: usize,
        reading: Reading,
        script: F,
    ) -> Self
    where
        F: Fn(&Received) -> Vec<Step> + Send + Sync + 'static,
    {
        let scripted = Self {
            received: Arc::default(),
            repeated: Arc::default(),
            is_stopped: Arc::default(),
        };
        let script: Script = Arc::new(script);
        let connections = Arc::new(AtomicU64::new(0));
        for number in 0..count {
            let listener = async_net::TcpListener::bind("127.0.0.1:0").await;
            let listener = listener.expect("a free port");
            let address = listener.local_addr().expect("a bound port");
            let server = Server {
                received: scripted.received.clone(),
                repeated: scripted.repeated.clone(),
                script: script.clone(),
                reading,
            };
            let connections = connections.clone();
            spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let connection = connections.fetch_add(1, Ordering::Relaxed);
                    let connection = usize::try_from(connection).expect("a few connections");
                    let server = server.clone();
                    spawn(async move {
                        server.serve(stream, connection).await.ok();
                    })
                    .detach();
                }
            })
            .detach();
            let router = fleet.routers[0].upstreams();
            let stopped = scripted.is_stopped.clone();
            spawn(announce(router, state(kind, number, address), stopped)).detach();
        }
        let known = || async { fleet.status(0).await.upstreams == count };
        wait_until("the scripted upstreams are known", known).await;
        scripted
    }

    /// Returns how many bytes [`Step::Repeat`] wrote to all connections.
    pub(crate) fn repeated(&self) -> usize {
        self.repeated.load(Ordering::Relaxed)
    }

    /// Returns the requests that arrived, without orders.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().expect("no panic").clone()
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

fn state(kind: Kind, number: usize, address: SocketAddr) -> Value {
    let (pool, kind_name) = match kind {
        Kind::Service => ("licences", "service"),
        Kind::Engine => ("captions", "runner"),
    };
    let loaded: &[&str] = match kind {
        Kind::Service => &[],
        Kind::Engine => &["caption"],
    };
    json!({
        "name": format!("scripted-{number}"), "pool": pool, "kind": kind_name,
        "address": address, "epoch": 1, "lifetime": 5_000, "slots": 8, "memory": 80_000,
        "loaded": loaded, "active": loaded,
    })
}

async fn announce(router: SocketAddr, state: Value, stopped: Arc<AtomicBool>) {
    let client = Client::new(Duration::from_secs(1));
    let mut state = state;
    for sequence in 1.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        state["sequence"] = json!(sequence);
        let request = Request::post("/sequoiawing/announce")
            .header("host", router.to_string())
            .header("authorization", format!("Bearer {SECRET}"))
            .body(from_bytes(state.to_string()))
            .expect("a valid request");
        client.send_on_new_connection(router, request).await.ok();
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// What upstreams read of a request before they answer it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    Whole,
    /// The head. The connection ends with the answer.
    Head,
}

/// What serves the connections of an upstream.
#[derive(Clone)]
struct Server {
    received: Arc<Mutex<Vec<Received>>>,
    repeated: Arc<AtomicUsize>,
    script: Script,
    reading: Reading,
}

impl Server {
    async fn serve(&self, mut stream: async_net::TcpStream, connection: usize) -> io::Result<()> {
        let mut unread = Vec::new();
        while let Some((head, body)) = read_request(&mut stream, &mut unread, self.reading).await? {
            if head.contains("/sequoiawing/orders") {
                let refusal = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(refusal.as_bytes()).await?;
                continue;
            }
            let request = {
                let mut received = self.received.lock().expect("no panic");
                let request = Received {
                    number: received.len(),
                    connection,
                    head,
                    body,
                };
                received.push(request.clone());
                request
            };
            for step in (self.script)(&request) {
                match step {
                    Step::Write(bytes) => stream.write_all(bytes.as_bytes()).await?,
                    Step::Repeat(bytes, limit) => {
                        let mut written = 0;
                        while written < limit {
                            stream.write_all(bytes.as_bytes()).await?;
                            written += bytes.len();
                            self.repeated.fetch_add(bytes.len(), Ordering::Relaxed);
                        }
                    }
                    Step::Pause(duration) => sleep(duration).await,
                    Step::Close => return Ok(()),
                    Step::Reset => {
                        set_socket_linger(&stream, Some(Duration::ZERO))?;
                        return Ok(());
                    }
                }
            }
            if self.reading == Reading::Head {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Reads the head of a request, and its body if that is read; `None` at the end of the connection.
async fn read_request(
    stream: &mut async_net::TcpStream,
    unread: &mut Vec<u8>,
    reading: Reading,
) -> io::Result<Option<(String, String)>> {
    loop {
        let text = String::from_utf8_lossy(unread).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            if reading == Reading::Head && !head.contains("/sequoiawing/orders") {
                return Ok(Some((head.to_owned(), String::new())));
            }
            let lengths = head.lines().filter_map(|line| line.split_once(':'));
            let mut lengths = lengths.filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
            let length = lengths.next().and_then(|(_, v)| v.trim().parse().ok());
            let length: usize = length.unwrap_or(0);
            if rest.len() >= length {
                let body = rest[..length].to_owned();
                unread.drain(..head.len() + 4 + length);
                return Ok(Some((head.to_owned(), body)));
            }
        }
        let mut part = [0; 4096];
        let count = stream.read(&mut part).await?;
        if count == 0 {
            return Ok(None);
        }
        unread.extend_from_slice(&part[..count]);
    }
}

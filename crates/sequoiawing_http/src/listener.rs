use crate::{
    Body,
    deferred_error::DeferredErrorBody,
    error_response::{ErrorResponseStream, InFlightRequests},
    socket::Socket,
    stall::StallGuard,
};
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hyper::{
    Request, Response, StatusCode, Version, body::Incoming, server::conn::http1,
    service::service_fn,
};
use rustix::net::sockopt::{
    set_socket_linger, set_socket_recv_buffer_size, set_socket_send_buffer_size,
};
use sequoiawing_runtime::{Shutdown, sleep, spawn, timeout};
use smol_hyper::rt::SmolTimer;
use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// How long the listener waits after a failed `accept` before it tries again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How often a stopping listener checks whether its connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long rejecting a connection over the limit may take.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The most connections over the limit that get a response at the same time.
/// Further ones are closed without a response, so that a flood of connections
/// does not exhaust memory.
const MAX_REJECTIONS: usize = 1_000;

/// The connection limits and timeouts of a listener.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// How long the headers of a request may take to arrive.
    pub header_timeout: Duration,
    /// The maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// How long a write may make no progress before the connection fails.
    pub stall_timeout: Duration,
    /// The size of the kernel's send buffer of a connection, in bytes. Without
    /// a limit, the buffer grows to several megabytes for each peer that does
    /// not read.
    pub send_buffer: usize,
    /// The size of the kernel's receive buffer of a connection, in bytes. Without a limit,
    /// the buffer grows to several megabytes for each peer that sends faster than its bytes
    /// are read.
    pub receive_buffer: usize,
    /// How long open connections may continue after shutdown has started.
    pub drain_timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            max_connections: 20_000,
            header_timeout: Duration::from_secs(10),
            header_bytes: 32 * 1024,
            stall_timeout: Duration::from_secs(20),
            send_buffer: 128 * 1024,
            receive_buffer: 64 * 1024,
            drain_timeout: Duration::from_mins(1),
        }
    }
}

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;

    /// Inspects a new connection before it is served. Returns `None` if the
    /// handler has taken over the connection.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = Option<TcpStream>> + Send {
        async { Some(stream) }
    }

    /// Returns the complete HTTP response for a connection over the limit.
    fn busy_response(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Returns the complete HTTP response to bytes that do not parse as a
    /// request. If it is empty, `hyper` sends its own response, which has no
    /// body.
    fn parse_error_response(&self, _status: StatusCode) -> Vec<u8> {
        Vec::new()
    }
}

/// A listener for HTTP/1.1 connections.
#[derive(Debug)]
pub struct HttpListener {
    listener: TcpListener,
    settings: HttpSettings,
}

impl HttpListener {
    /// Binds a listener to an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(address: SocketAddr, settings: HttpSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        // Connections inherit the size from their first byte on.
        set_socket_recv_buffer_size(&listener, settings.receive_buffer).ok();
        Ok(Self { listener, settings })
    }

    /// Returns the bound address, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until shutdown starts, then waits for open connections to
    /// close.
    ///
    /// Returns the number of connections that were still open when the drain
    /// timed out.
    pub async fn serve<H>(self, handler: Arc<H>, shutdown: Shutdown) -> usize
    where
        H: Handler,
    {
        let open = Arc::new(AtomicUsize::new(0));
        let rejecting = Arc::new(AtomicUsize::new(0));
        while let Some(result) = shutdown.or(self.listener.accept()).await {
            let Ok((stream, _)) = result else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if open.load(Ordering::Relaxed) >= self.settings.max_connections {
                if rejecting.load(Ordering::Relaxed) < MAX_REJECTIONS {
                    let guard = ConnectionGuard::new(rejecting.clone());
                    reject(stream, handler.busy_response(), guard);
                }
                continue;
            }
            let guard = ConnectionGuard::new(open.clone());
            let settings = self.settings.clone();
            let connection = serve_connection(stream, handler.clone(), settings, shutdown.clone());
            let task = async move {
                connection.await;
                drop(guard);
            };
            spawn(task).detach();
        }
        drop(self.listener);
        let all_closed = async {
            while open.load(Ordering::Relaxed) > 0 {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        timeout(self.settings.drain_timeout, all_closed).await;
        open.load(Ordering::Relaxed)
    }
}

/// Includes a connection in a counter until the guard is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Rejects a connection over the limit, without blocking the accept loop.
fn reject(stream: TcpStream, response: Vec<u8>, guard: ConnectionGuard) {
    let rejection = async move {
        timeout(REJECTION_TIMEOUT, send_busy_response(stream, response)).await;
        drop(guard);
    };
    spawn(rejection).detach();
}

/// Sends a response once the first bytes of a request have arrived.
///
/// HTTP clients treat a response that precedes their request as a protocol
/// error.
async fn send_busy_response(mut stream: TcpStream, response: Vec<u8>) -> io::Result<()> {
    let mut buffer = [0; 1_024];
    if stream.read(&mut buffer).await? == 0 {
        return Ok(());
    }
    stream.write_all(&response).await?;
    stream.shutdown(std::net::Shutdown::Write)?;
    // Closing a socket with unread bytes resets the connection, and the peer
    // would lose the response.
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

async fn serve_connection<H>(
    stream: TcpStream,
    handler: Arc<H>,
    settings: HttpSettings,
    shutdown: Shutdown,
) where
    H: Handler,
{
    stream.set_nodelay(true).ok();
    set_socket_send_buffer_size(&stream, settings.send_buffer).ok();
    let Some(stream) = handler.accept(stream).await else {
        return;
    };
    let tcp = stream.clone();
    let has_chunks = Arc::new(AtomicBool::new(true));
    let seen_chunks = has_chunks.clone();
    let socket = StallGuard::new(Socket::new(stream), settings.stall_timeout);
    let requests = InFlightRequests::default();
    let error_handler = handler.clone();
    let error_response = move |status| error_handler.parse_error_response(status);
    let stream = ErrorResponseStream::new(socket, requests.clone(), error_response);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let guard = requests.begin();
        seen_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        async move {
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(response.map(|body| DeferredErrorBody::new(body, guard)))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_header_size(settings.header_bytes)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let stopping = async {
        shutdown.wait().await;
        None
    };
    let served = async { Some(connection.as_mut().await) };
    let mut ended = stopping.or(served).await;
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        ended = Some(connection.as_mut().await);
    }
    // Without chunks an orderly end of the connection is that of the response.
    let is_broken = matches!(ended, Some(Err(error)) if error.is_user());
    if is_broken && !has_chunks.load(Ordering::Relaxed) {
        set_socket_linger(&tcp, Some(Duration::ZERO)).ok();
    }
}

use crate::{
    Body, BodyError, Connection, Connector, DirectConnector,
    idle_pool::{IdlePool, Refusals, keep_alive_timeout},
    socket::Socket,
    tunnel::TunnelSocket,
};
use bytes::Bytes;
use hyper::{
    Request, Response, Version,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    client::conn::http1::{Builder, SendRequest},
    rt::{Read, Write},
};
use sequoiawing_runtime::spawn;
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use thiserror::Error;

/// The default time for which an idle connection is kept; shorter than the
/// usual keep-alive time of HTTP servers.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The most bytes that a connection takes in before they are read, and so the longest head of
/// a response.
const BUFFER_BYTES: usize = 64 * 1024;

/// The last status of the protocol.
const MAX_STATUS: u16 = 599;

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No byte of the request was sent.
    #[error("request was not sent: {0}")]
    NotSent(String),
    /// The sender stopped the request when a connection was open. No byte was sent.
    #[error("{0}")]
    Stopped(String),
    /// The request was sent, at least in part, and no response arrived.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The request was sent on a reused connection, which the server closed
    /// without a response.
    #[error("an idle connection was closed: {0}")]
    IdleClosed(String),
}

/// An HTTP client that reuses connections.
///
/// Clones share the idle connections.
#[derive(Clone)]
pub struct Client {
    idle_pool: Arc<IdlePool>,
    connector: Arc<dyn Connector>,
}

impl Client {
    /// Creates a client whose connection attempts time out after
    /// `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self::with_idle_timeout(connect_timeout, IDLE_TIMEOUT)
    }

    /// Creates a client that also closes connections which have been idle for
    /// `idle_timeout`, or which the server is about to close.
    pub fn with_idle_timeout(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let connector = DirectConnector {
            timeout: connect_timeout,
            resets: false,
        };
        Self::with_connector(Arc::new(connector), idle_timeout)
    }

    /// Creates a client whose connections are opened by `connector`.
    pub fn with_connector(connector: Arc<dyn Connector>, idle_timeout: Duration) -> Self {
        let idle_pool = Arc::new(IdlePool::new(idle_timeout));
        Self {
            idle_pool,
            connector,
        }
    }

    /// Closes the idle connections to an address, for use when one of them
    /// stopped responding or another process may be listening there.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle_pool.clear(address);
    }

    /// Sends a request and waits for the status and headers of its response.
    ///
    /// Dropping the response body before its end closes the connection, which
    /// cancels the request.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether any part of the request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ClientBody>, ClientError> {
        self.send_prepared(address, request, None, |_| Ok(())).await
    }

    /// Sends a request like [`Client::send`], but on no connection on which a request with
    /// the same `id` was refused; see [`ClientBody::record_refusal`]. `prepare` sets what
    /// depends on the time, such as a header with the time that is left, or stops the
    /// request with a cause; it is called when a connection is open, again for each
    /// connection that turns out to be closed.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether any part of the request was sent.
    pub async fn send_prepared<P>(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        id: Option<&str>,
        prepare: P,
    ) -> Result<Response<ClientBody>, ClientError>
    where
        P: Fn(&mut Request<Body>) -> Result<(), String>,
    {
        let mut request = request;
        while let Some((mut sender, refusals)) = self.idle_pool.take(address, id) {
            prepare(&mut request).map_err(ClientError::Stopped)?;
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return self.attach_connection(address, sender, refusals, response);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(reuse_error(&error.into_error())),
                },
            }
        }
        self.send_prepared_on_new_connection(address, request, prepare)
            .await
    }

    /// Sends a request on a new connection and waits for the status and headers
    /// of its response.
    ///
    /// The server may close an idle connection while a request is being sent on
    /// it, which leaves unknown whether the request ran. Requests that must not
    /// be repeated avoid this by a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether any part of the request was sent.
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ClientBody>, ClientError> {
        self.send_prepared_on_new_connection(address, request, |_| Ok(()))
            .await
    }

    /// Sends a request like [`Client::send_on_new_connection`]; `prepare` is called when
    /// the connection is open.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether any part of the request was sent.
    pub async fn send_prepared_on_new_connection<P>(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        prepare: P,
    ) -> Result<Response<ClientBody>, ClientError>
    where
        P: Fn(&mut Request<Body>) -> Result<(), String>,
    {
        let mut request = request;
        let mut sender = self.connect(address).await?;
        prepare(&mut request).map_err(ClientError::Stopped)?;
        match sender.try_send_request(request).await {
            Ok(response) => self.attach_connection(address, sender, Refusals::default(), response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.into_error().to_string();
                Err(if unsent {
                    ClientError::NotSent(cause)
                } else {
                    ClientError::NoResponse(cause)
                })
            }
        }
    }

    /// Checks that the server accepts connections. Nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection attempt.
    pub async fn check_connection(&self, address: SocketAddr) -> io::Result<()> {
        self.connector.connect(address).await.map(drop)
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Body>, ClientError> {
        let result = self.connector.connect(address).await;
        let connection = result.map_err(|e| ClientError::NotSent(e.to_string()))?;
        let opened = start_connection(connection).await;
        opened.map_err(|e| ClientError::NotSent(e.to_string()))
    }

    /// Returns a response with its connection, which is closed if its status is none: the
    /// library accepts all numbers of three digits from 100 on.
    fn attach_connection(
        &self,
        address: SocketAddr,
        sender: SendRequest<Body>,
        refusals: Refusals,
        response: Response<Incoming>,
    ) -> Result<Response<ClientBody>, ClientError> {
        let status = response.status();
        if status.as_u16() > MAX_STATUS {
            let cause = format!("the status {} is none", status.as_u16());
            return Err(ClientError::NoResponse(cause));
        }
        let mut response = response;
        // The version belongs to this connection. A relayed answer in an older one
        // would have no chunks, and a break would look like its end.
        *response.version_mut() = Version::HTTP_11;
        let idle_pool = self.idle_pool.clone();
        let keep_alive = keep_alive_timeout(response.headers());
        Ok(response.map(|body| {
            let connection = Some(ReusableConnection {
                idle_pool,
                address,
                sender,
                refusals,
                keep_alive,
            });
            ClientBody { body, connection }
        }))
    }
}

/// Starts to send requests on a connection.
pub(crate) async fn start_connection(
    connection: Connection,
) -> Result<SendRequest<Body>, hyper::Error> {
    match connection {
        Connection::Direct(stream) => {
            stream.set_nodelay(true).ok();
            start(Socket::new(stream)).await
        }
        Connection::Tunnel(stream) => start(TunnelSocket::new(stream)).await,
    }
}

async fn start<S>(socket: S) -> Result<SendRequest<Body>, hyper::Error>
where
    S: Read + Write + Send + Unpin + 'static,
{
    let mut builder = Builder::new();
    let (sender, connection) = builder.max_buf_size(BUFFER_BYTES).handshake(socket).await?;
    spawn(async { connection.await.ok() }).detach();
    Ok(sender)
}

/// Returns the error of a request on a reused connection.
fn reuse_error(error: &hyper::Error) -> ClientError {
    let cause = error.to_string();
    if error.is_parse() {
        return ClientError::NoResponse(cause);
    }
    ClientError::IdleClosed(cause)
}

/// A connection that is reused after its response has been read completely.
struct ReusableConnection {
    idle_pool: Arc<IdlePool>,
    address: SocketAddr,
    sender: SendRequest<Body>,
    refusals: Refusals,
    keep_alive: Option<Duration>,
}

impl ReusableConnection {
    fn return_to_pool(self) {
        self.idle_pool
            .put(self.address, self.sender, self.refusals, self.keep_alive);
    }
}

/// The body of a response, which returns its connection to the client once it
/// has been read to the end.
pub struct ClientBody {
    body: Incoming,
    connection: Option<ReusableConnection>,
}

impl ClientBody {
    /// Closes the connection, so that bytes which still arrive on it are never
    /// taken for the response to another request.
    pub fn discard(mut self) {
        self.connection = None;
    }

    /// Records that this is the response to a request with this ID, and refuses it.
    ///
    /// A faulty server may send the refusal once more, and the ID alone does not tell the
    /// copy from the response to another sending.
    pub fn record_refusal(&mut self, id: &str) {
        if let Some(connection) = &mut self.connection {
            connection.refusals.record(id);
        }
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Client")
    }
}

impl std::fmt::Debug for ClientBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClientBody")
    }
}

impl HttpBody for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None))
            && let Some(connection) = self.connection.take()
        {
            connection.return_to_pool();
        }
        polled.map(|frame| frame.map(|result| result.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        if !self.body.is_end_stream() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            connection.return_to_pool();
        }
    }
}

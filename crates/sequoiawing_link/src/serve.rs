use crate::{Codec, Format, LinkError, Secret, handshake};
use async_compat::{Compat, CompatExt};
use async_net::{TcpListener, TcpStream};
use futures::future::BoxFuture;
use sequoiawing_runtime::{Shutdown, sleep, spawn, timeout};
use serde::{Serialize, de::DeserializeOwned};
use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};
use tarpc::{
    ClientMessage, Response,
    server::BaseChannel,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// The time limit for the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The delay before the listener accepts again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The maximum size of a message, in bytes. A snapshot of the tables at the size
/// given in docs/CAPACITY.md must fit.
pub(crate) const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;

/// An authenticated connection with its negotiated format.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) format: Format,
}

/// The `tarpc` transport over an authenticated connection.
pub type Transport<I, O> = tarpc::serde_transport::Transport<Compat<TcpStream>, I, O, Codec<I, O>>;

pub(crate) fn transport<I, O>(connection: Connection) -> Transport<I, O>
where
    I: DeserializeOwned,
    O: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let frames = Framed::new(connection.stream.compat(), codec);
    tarpc::serde_transport::new(frames, Codec::new(connection.format))
}

/// A handler that serves the calls of one authenticated connection until it
/// closes.
pub type ConnectionHandler = Box<dyn Fn(Connection) -> BoxFuture<'static, ()> + Send + Sync>;

/// Returns a server channel over an authenticated connection.
pub fn server_channel<I, O>(
    connection: Connection,
) -> BaseChannel<I, O, Transport<ClientMessage<I>, Response<O>>>
where
    I: DeserializeOwned,
    O: Serialize,
{
    BaseChannel::with_defaults(transport(connection))
}

/// Spawns a task that runs one call of a connection.
pub fn spawn_call<F>(call: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    spawn(Compat::new(call)).detach();
}

/// Creates the [`ConnectionHandler`] of a service that `tarpc` generated.
///
/// This is a macro because the compiler can only prove that the generated
/// futures are `Send` for a concrete service type.
#[macro_export]
macro_rules! connection_handler {
    ($service:expr) => {{
        let service = $service;
        let handler: $crate::ConnectionHandler = Box::new(move |connection| {
            use $crate::{Channel, StreamExt};
            let calls = $crate::server_channel(connection).execute(service.clone());
            Box::pin(calls.for_each(|call| async move { $crate::spawn_call(call) }))
        });
        handler
    }};
}

/// A listener that serves calls from other processes.
#[derive(Debug)]
pub struct LinkListener {
    listener: TcpListener,
    secret: Secret,
}

impl LinkListener {
    /// Binds a listener.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound, for example because
    /// it is in use.
    pub async fn bind(address: SocketAddr, secret: Secret) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, secret })
    }

    /// Returns the bound address, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be determined.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves calls until shutdown starts.
    ///
    /// `handler` comes from [`connection_handler!`](crate::connection_handler).
    pub async fn serve(self, handler: ConnectionHandler, shutdown: Shutdown) {
        let secret = self.secret;
        let handler = Arc::new(handler);
        while let Some(accepted) = shutdown.or(self.listener.accept()).await {
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let secret = secret.clone();
            let handler = handler.clone();
            let shutdown = shutdown.clone();
            let connection = async move {
                let served = serve_connection(stream, &secret, &handler);
                if let Some(Err(error)) = shutdown.or(served).await {
                    log::warn!(target: "link", "Rejected connection: {error}.");
                }
            };
            spawn(Compat::new(connection)).detach();
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    secret: &Secret,
    handler: &ConnectionHandler,
) -> Result<(), LinkError> {
    stream.set_nodelay(true).ok();
    let negotiated = timeout(HANDSHAKE_TIMEOUT, handshake::accept(&mut stream, secret)).await;
    let format = negotiated.ok_or(LinkError::Unauthenticated)??;
    handler(Connection { stream, format }).await;
    Ok(())
}

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

/// How long a new connection may take to prove the secret.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the listener waits after the operating system refused a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The largest message between processes, in bytes; a snapshot of the tables
/// at the size in docs/CAPACITY.md fits.
pub(crate) const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;

/// An authenticated connection, and the form in which both ends speak.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) format: Format,
}

/// The transport of one authenticated connection.
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

/// Answers the calls of one authenticated connection until it closes.
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

/// Runs one call of a connection as a task of its own.
pub fn spawn_call<F>(call: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    spawn(Compat::new(call)).detach();
}

/// Makes the [`ConnectionHandler`] of a service that `tarpc` generated.
///
/// It is a macro because only at a concrete service type can the compiler see
/// that the generated futures may move between threads.
#[macro_export]
macro_rules! connection_handler {
    ($service:expr) => {{
        let service = $service;
        let answer: $crate::ConnectionHandler = Box::new(move |connection| {
            use $crate::{Channel, StreamExt};
            let calls = $crate::server_channel(connection).execute(service.clone());
            Box::pin(calls.for_each(|call| async move { $crate::spawn_call(call) }))
        });
        answer
    }};
}

/// A listener that answers the calls of other processes.
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
    /// Returns the error of the operating system when the address is taken.
    pub async fn bind(address: SocketAddr, secret: Secret) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener, secret })
    }

    /// Returns the address that was bound, with its port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers calls until shutdown starts.
    ///
    /// `answer` comes from [`connection_handler!`](crate::connection_handler).
    pub async fn serve(self, answer: ConnectionHandler, shutdown: Shutdown) {
        let secret = self.secret;
        let answer = Arc::new(answer);
        while let Some(accepted) = shutdown.or(self.listener.accept()).await {
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let secret = secret.clone();
            let answer = answer.clone();
            let shutdown = shutdown.clone();
            let connection = async move {
                let served = serve_connection(stream, &secret, &answer);
                if let Some(Err(error)) = shutdown.or(served).await {
                    log::warn!(target: "link", "Rejected a connection: {error}.");
                }
            };
            spawn(Compat::new(connection)).detach();
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    secret: &Secret,
    answer: &ConnectionHandler,
) -> Result<(), LinkError> {
    stream.set_nodelay(true).ok();
    let negotiated = timeout(HANDSHAKE_TIMEOUT, handshake::accept(&mut stream, secret)).await;
    let format = negotiated.ok_or(LinkError::Unauthenticated)??;
    answer(Connection { stream, format }).await;
    Ok(())
}

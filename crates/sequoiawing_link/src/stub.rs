use crate::{
    Connection, ControlClient, HubClient, LinkError, PeerClient, Secret, handshake,
    serve::transport,
};
use async_compat::Compat;
use async_lock::Mutex;
use async_net::TcpStream;
use sequoiawing_runtime::{spawn, timeout};
use std::{
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tarpc::{client::RpcError, context, context::Context};

/// The time limit for connecting, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A generated client that can be started on an authenticated connection.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Starts the client on the connection.
    fn start(connection: Connection) -> Self;
}

impl Connect for ControlClient {
    fn start(connection: Connection) -> Self {
        let new = Self::new(tarpc::client::Config::default(), transport(connection));
        spawn(Compat::new(async { new.dispatch.await.ok() })).detach();
        new.client
    }
}

impl Connect for HubClient {
    fn start(connection: Connection) -> Self {
        let new = Self::new(tarpc::client::Config::default(), transport(connection));
        spawn(Compat::new(async { new.dispatch.await.ok() })).detach();
        new.client
    }
}

impl Connect for PeerClient {
    fn start(connection: Connection) -> Self {
        let new = Self::new(tarpc::client::Config::default(), transport(connection));
        spawn(Compat::new(async { new.dispatch.await.ok() })).detach();
        new.client
    }
}

/// A client that connects on its first call and reconnects after a failure.
///
/// Clones share the connection.
#[derive(Clone)]
pub struct Stub<C> {
    address: SocketAddr,
    secret: Secret,
    client: Arc<Mutex<Option<C>>>,
}

impl<C> Stub<C>
where
    C: Connect,
{
    /// Creates a client that is not connected yet.
    pub fn new(address: SocketAddr, secret: Secret) -> Self {
        let client = Arc::new(Mutex::new(None));
        Self {
            address,
            secret,
            client,
        }
    }

    /// Returns the address of the other process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call, connecting first if necessary.
    ///
    /// The call is never retried, since it may have been executed despite an
    /// error.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the call fails, or if no reply
    /// arrives within `limit`.
    pub async fn call<F, R, T>(&self, limit: Duration, make: F) -> Result<T, LinkError>
    where
        F: FnOnce(C, Context) -> R + Send,
        R: Future<Output = Result<T, RpcError>> + Send,
        T: Send,
    {
        let timed_out = || LinkError::Timeout {
            address: self.address.to_string(),
            millis: limit.as_millis(),
        };
        let work = async {
            let client = self.get_or_connect().await?;
            let mut context = context::current();
            context.deadline = Instant::now() + limit;
            let result = Compat::new(Box::pin(make(client, context))).await;
            Ok(result)
        };
        let answered = timeout(limit, Box::pin(work)).await;
        let failed = match answered {
            Some(Ok(Ok(value))) => return Ok(value),
            Some(Err(error)) => return Err(error),
            Some(Ok(Err(RpcError::DeadlineExceeded))) => return Err(timed_out()),
            Some(Ok(Err(error))) => LinkError::Call {
                address: self.address.to_string(),
                problem: error.to_string(),
            },
            None => timed_out(),
        };
        *self.client.lock().await = None;
        Err(failed)
    }

    async fn get_or_connect(&self) -> Result<C, LinkError> {
        let mut client = self.client.lock().await;
        if let Some(connected) = &*client {
            return Ok(connected.clone());
        }
        let connecting = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let connected =
            connecting.ok_or_else(|| self.connection_error(io::ErrorKind::TimedOut.into()))??;
        *client = Some(connected.clone());
        Ok(connected)
    }

    async fn connect(&self) -> Result<C, LinkError> {
        let connecting = TcpStream::connect(self.address).await;
        let mut stream = connecting.map_err(|e| self.connection_error(e))?;
        stream.set_nodelay(true).ok();
        let format = handshake::initiate(&mut stream, &self.secret).await?;
        Ok(C::start(Connection { stream, format }))
    }

    fn connection_error(&self, source: io::Error) -> LinkError {
        let address = self.address.to_string();
        LinkError::Connection { address, source }
    }
}

impl<C> fmt::Debug for Stub<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Stub({})", self.address)
    }
}

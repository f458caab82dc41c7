use crate::{Body, client::start_connection};
use async_net::TcpStream;
use hyper::Request;
use rustix::{
    io::Errno,
    net::{RecvFlags, recv, sockopt::set_socket_linger},
};
use sequoiawing_runtime::timeout;
use std::{future::Future, io, net::SocketAddr, pin::Pin, time::Duration};

/// How long a response to [`Connection::responds`] may take. A packet that is lost once is
/// sent again after 200 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// An open connection to a server.
#[derive(Debug)]
pub enum Connection {
    /// A connection to the server itself.
    Direct(TcpStream),
    /// A connection to a host that runs [`run_tunnel`](crate::run_tunnel) with the
    /// server.
    Tunnel(TcpStream),
}

impl Connection {
    /// Returns whether the connection is open and the server has sent nothing on it.
    ///
    /// This asks the kernel, so that it holds also if this process has just stood still.
    pub fn is_silent(&self) -> bool {
        let (Self::Direct(stream) | Self::Tunnel(stream)) = self;
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        recv(stream, &mut [0_u8; 1], flags).err() == Some(Errno::AGAIN)
    }

    /// Sends a request and returns whether a response arrived, whatever its status. The
    /// connection is closed then: the server may send a response twice, and the second one
    /// would answer a later request.
    ///
    /// A response shows that the process which accepted the connection has lived until now.
    /// That no end of the connection has arrived shows nothing: the packet that tells it may
    /// be lost.
    pub async fn responds(self, request: Request<Body>) -> bool {
        let responded = async {
            let mut sender = start_connection(self).await?;
            sender.send_request(request).await
        };
        matches!(timeout(RESPONSE_TIMEOUT, responded).await, Some(Ok(_)))
    }
}

/// The result of [`Connector::connect`].
pub type ConnectFuture<'a> = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send + 'a>>;

/// Opens the connections of a [`Client`](crate::Client).
pub trait Connector: Send + Sync {
    /// Connects to the server at an address.
    ///
    /// The future ends within a time that the connector limits, with the error of the
    /// last attempt.
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_>;
}

/// Connects to each server itself.
#[derive(Clone, Copy, Debug)]
pub struct DirectConnector {
    /// The time limit for a connect.
    pub timeout: Duration,
    /// Whether connections are reset when they are closed. Bytes that a network partition
    /// holds up are then lost, and are not delivered once it heals.
    pub resets: bool,
}

impl DirectConnector {
    /// Connects to the server at an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the connect, or that it timed out.
    pub async fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let result = timeout(self.timeout, TcpStream::connect(address)).await;
        let stream = result.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
        if self.resets
            && let Err(error) = set_socket_linger(&stream, Some(Duration::ZERO))
        {
            log::warn!(target: "http", "A connection to {address} will not be reset when it is closed: {error}.");
        }
        Ok(stream)
    }
}

impl Connector for DirectConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture<'_> {
        Box::pin(async move { Ok(Connection::Direct(self.open(address).await?)) })
    }
}

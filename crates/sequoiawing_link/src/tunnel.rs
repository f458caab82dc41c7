//! Requests for tunnels: one host asks another one to connect it to an upstream.
//!
//! After the handshake the requester sends the upstream's address, the other host one byte
//! with the outcome. What follows are the bytes of the connection to the upstream.

use crate::{Connection, Secret, handshake};
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::{io, net::SocketAddr};
use thiserror::Error;

/// The outcome of a request for a tunnel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TunnelStatus {
    /// The upstream is connected.
    Connected,
    /// The other host could not connect to the upstream.
    Unreachable,
    /// The other host knows no upstream at the address.
    Unknown,
    /// The other host has too many tunnels, or is shutting down.
    Busy,
}

impl TunnelStatus {
    const ALL: [Self; 4] = [
        Self::Connected,
        Self::Unreachable,
        Self::Unknown,
        Self::Busy,
    ];

    fn code(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Unreachable => 1,
            Self::Unknown => 2,
            Self::Busy => 3,
        }
    }
}

/// Why a tunnel was not opened.
#[derive(Debug, Error)]
pub enum TunnelError {
    /// The other host could not be reached, or broke off the request.
    #[error("the host of the tunnel failed: {0}")]
    Failed(String),
    /// The other host refused.
    #[error("the host of the tunnel refused: {0:?}")]
    Refused(TunnelStatus),
}

/// Asks the host at `host` for a connection to the upstream at `upstream`.
///
/// # Errors
///
/// Returns an error if the tunnel was not opened. Nothing was sent to the upstream.
pub async fn open_tunnel(
    host: SocketAddr,
    secret: &Secret,
    upstream: SocketAddr,
) -> Result<TcpStream, TunnelError> {
    let failed = |error: io::Error| TunnelError::Failed(error.to_string());
    let mut stream = TcpStream::connect(host).await.map_err(failed)?;
    stream.set_nodelay(true).ok();
    let negotiated = handshake::initiate(&mut stream, secret).await;
    negotiated.map_err(|error| TunnelError::Failed(error.to_string()))?;
    let text = upstream.to_string();
    let length = u8::try_from(text.len()).unwrap_or_default();
    let request = [&[length], text.as_bytes()].concat();
    stream.write_all(&request).await.map_err(failed)?;
    let mut code = [0];
    stream.read_exact(&mut code).await.map_err(failed)?;
    let mut known = TunnelStatus::ALL.into_iter();
    match known.find(|status| status.code() == code[0]) {
        Some(TunnelStatus::Connected) => Ok(stream),
        Some(status) => Err(TunnelError::Refused(status)),
        None => Err(TunnelError::Failed(format!("unknown outcome {}", code[0]))),
    }
}

/// A request for a tunnel that has been received.
#[derive(Debug)]
pub struct TunnelRequest {
    /// The address of the upstream.
    pub upstream: SocketAddr,
    stream: TcpStream,
}

impl TunnelRequest {
    /// Reads the request from an authenticated connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or the request is malformed.
    pub async fn read(connection: Connection) -> io::Result<Self> {
        let mut stream = connection.stream;
        let mut length = [0];
        stream.read_exact(&mut length).await?;
        let mut text = vec![0; usize::from(length[0])];
        stream.read_exact(&mut text).await?;
        let text = String::from_utf8_lossy(&text);
        let parsed = text.parse();
        let upstream = parsed.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        Ok(Self { upstream, stream })
    }

    /// Sends the outcome and returns the connection to the requester.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn answer(self, status: TunnelStatus) -> io::Result<TcpStream> {
        let mut stream = self.stream;
        stream.write_all(&[status.code()]).await?;
        Ok(stream)
    }
}

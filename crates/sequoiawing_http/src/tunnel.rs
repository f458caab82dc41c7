//! Connections through another host.
//!
//! What the server sends is framed on its way back, so that its end can be told from the
//! end of the host between: a frame is its length in two bytes and as many bytes; an empty
//! one says that the server has closed the connection.

use crate::socket::Socket;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::net::sockopt::set_socket_linger;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

/// The most bytes of a frame, and the buffer of each direction of a tunnel.
const FRAME_BYTES: usize = 8 * 1024;

/// The length of a frame's header.
const HEADER_BYTES: usize = 2;

/// Passes bytes between a client and a server until one of them closes its connection.
///
/// A server that resets its connection resets that of the client. A client that leaves
/// ends the connection to the server at once, which cancels its request.
pub async fn run_tunnel(client: TcpStream, server: TcpStream) {
    let upload = async {
        upload(client.clone(), server.clone()).await.ok();
        Ok(())
    };
    let download = download(server.clone(), client.clone());
    if upload.or(download).await.is_err() {
        set_socket_linger(&client, Some(Duration::ZERO)).ok();
    }
}

/// Copies a client's bytes until it closes its connection.
async fn upload(mut client: TcpStream, mut server: TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; FRAME_BYTES];
    loop {
        let count = client.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        server.write_all(&buffer[..count]).await?;
    }
}

/// Copies a server's bytes in frames until it closes its connection.
async fn download(mut server: TcpStream, mut client: TcpStream) -> io::Result<()> {
    let mut buffer = vec![0; HEADER_BYTES + FRAME_BYTES];
    loop {
        let count = server.read(&mut buffer[HEADER_BYTES..]).await?;
        let header = u16::try_from(count).unwrap_or(u16::MAX).to_be_bytes();
        buffer[..HEADER_BYTES].copy_from_slice(&header);
        client.write_all(&buffer[..HEADER_BYTES + count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}

/// A connection to a server through a tunnel, with the I/O traits of `hyper`.
pub(crate) struct TunnelSocket {
    socket: Socket,
    header: [u8; HEADER_BYTES],
    /// The bytes of the next header that have arrived.
    header_bytes: usize,
    /// The bytes of the current frame that have not arrived.
    remaining: usize,
    has_ended: bool,
}

impl TunnelSocket {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            socket: Socket::new(stream),
            header: [0; HEADER_BYTES],
            header_bytes: 0,
            remaining: 0,
            has_ended: false,
        }
    }

    /// Reads up to the next frame that has bytes, or to the end of the connection.
    fn poll_header(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.remaining == 0 && !self.has_ended {
            let free = &mut self.header[self.header_bytes..];
            let count = ready!(self.socket.poll_receive(cx, free))?;
            if count == 0 {
                let error = io::Error::new(io::ErrorKind::ConnectionReset, "the tunnel ended");
                return Poll::Ready(Err(error));
            }
            self.header_bytes += count;
            if self.header_bytes == HEADER_BYTES {
                self.header_bytes = 0;
                self.remaining = usize::from(u16::from_be_bytes(self.header));
                self.has_ended = self.remaining == 0;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for TunnelSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_header(cx))?;
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        let limit = cursor.remaining().min(self.remaining).min(FRAME_BYTES);
        let mut buffer = [0; FRAME_BYTES];
        let count = ready!(self.socket.poll_receive(cx, &mut buffer[..limit]))?;
        if count == 0 && limit > 0 {
            let error = io::Error::new(io::ErrorKind::ConnectionReset, "the tunnel ended");
            return Poll::Ready(Err(error));
        }
        self.remaining -= count;
        cursor.put_slice(&buffer[..count]);
        Poll::Ready(Ok(()))
    }
}

impl Write for TunnelSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

use async_io::Async;
use async_net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustix::net::sockopt::socket_linger;
use std::{
    cell::RefCell,
    io::{self, Read as _, Write as _},
    net,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

/// The most bytes that one call reads from a socket.
const READ_BYTES: usize = 16 * 1024;

thread_local! {
    /// Receives bytes before they are copied to `hyper`, so that the buffer of
    /// `hyper` need not be zeroed for each read.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_BYTES].into());
}

/// A TCP connection with the I/O traits of `hyper`.
///
/// The task of a connection is woken for each part of a response that it sends.
/// To avoid a system call each time, a socket that was drained is not read again
/// until the operating system reports it as readable; see
/// [docs/design/requests.md](../../../../docs/design/requests.md).
pub(crate) struct Socket {
    stream: Arc<Async<net::TcpStream>>,
    /// Whether the last read emptied the socket's receive buffer.
    is_drained: bool,
    /// Whether closing the socket resets the connection, so that it is not ended in order
    /// before.
    is_reset_on_close: bool,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let linger = socket_linger(&stream);
        Self {
            stream: stream.into(),
            is_drained: false,
            is_reset_on_close: linger == Ok(Some(Duration::ZERO)),
        }
    }

    /// Reads into `buffer` once the socket is readable.
    pub(crate) fn poll_receive(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.is_drained {
                ready!(self.stream.poll_readable(cx))?;
                self.is_drained = false;
            }
            match self.stream.get_ref().read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.is_drained = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(count) => {
                    // If more bytes have arrived by now, the socket is reported
                    // as readable at once.
                    self.is_drained = count > 0 && count < buffer.len();
                    return Poll::Ready(Ok(count));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Reads and discards bytes from the peer. Returns their number.
    pub(crate) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|scratch| self.poll_receive(cx, scratch))
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        READ_BUFFER.with_borrow_mut(|scratch| {
            let limit = cursor.remaining().min(scratch.len());
            let count = ready!(self.poll_receive(cx, &mut scratch[..limit]))?;
            cursor.put_slice(&scratch[..count]);
            Poll::Ready(Ok(()))
        })
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream.poll_writable(cx))?;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reset_on_close {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(self.stream.get_ref().shutdown(net::Shutdown::Write))
    }
}

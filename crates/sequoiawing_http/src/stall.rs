use crate::socket::Socket;
use futures_lite::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

/// How long a closing connection keeps reading from its peer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that fails when writes make no progress for too long, so that a
/// half-open or very slow caller does not occupy a slot of an upstream.
///
/// On close, it reads and discards what the peer still sends for a short time:
/// closing a socket with unread bytes resets the connection, and the peer would
/// lose the response that states the reason.
pub(crate) struct StallGuard {
    socket: Socket,
    timeout: Duration,
    stall_timer: Option<Timer>,
    linger_timer: Option<Timer>,
}

impl StallGuard {
    /// Wraps a connection whose writes time out after `timeout`.
    pub(crate) fn new(socket: Socket, timeout: Duration) -> Self {
        Self {
            socket,
            timeout,
            stall_timer: None,
            linger_timer: None,
        }
    }

    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let expired = self.linger_timer.as_mut().map(|timer| timer.poll(cx));
        if !matches!(expired, Some(Poll::Pending)) {
            return Poll::Ready(Ok(()));
        }
        match ready!(self.socket.poll_discard(cx)) {
            Ok(1..) => {
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            _ => Poll::Ready(Ok(())),
        }
    }

    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.stall_timer = None;
            return progress;
        }
        let timeout = self.timeout;
        let start_timer = || -> Timer { Box::pin(sequoiawing_runtime::sleep(timeout)) };
        let timer = self.stall_timer.get_or_insert_with(start_timer);
        match timer.poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, cursor)
    }
}

impl Write for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.check_stall(cx, progress)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.socket).poll_flush(cx);
        self.check_stall(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
            self.linger_timer = Some(Box::pin(sequoiawing_runtime::sleep(LINGER_TIMEOUT)));
        }
        self.poll_linger(cx)
    }
}

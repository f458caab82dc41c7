use crate::socket::Socket;
use futures_lite::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use sequoiawing_runtime::sleep;
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

/// How long a closing connection waits for more bytes from its peer.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a closing connection reads in total, so that a peer that never stops
/// sending does not hold it open.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);

/// A connection that fails when writes make no progress for too long, so that a
/// half-open or very slow caller does not occupy a slot of an upstream.
///
/// On close, it reads and discards what the peer still sends, until the peer
/// pauses: closing a socket with unread bytes resets the connection, and the
/// peer would lose the response that states the reason.
pub(crate) struct StallGuard {
    socket: Socket,
    timeout: Duration,
    stall_timer: Option<Timer>,
    linger: Option<Linger>,
}

/// The timers of a closing connection.
struct Linger {
    idle: Timer,
    total: Timer,
}

impl Linger {
    fn start() -> Self {
        Self {
            idle: Box::pin(sleep(LINGER_IDLE_TIMEOUT)),
            total: Box::pin(sleep(MAX_LINGER_TIME)),
        }
    }
}

impl StallGuard {
    /// Wraps a connection whose writes time out after `timeout`.
    pub(crate) fn new(socket: Socket, timeout: Duration) -> Self {
        Self {
            socket,
            timeout,
            stall_timer: None,
            linger: None,
        }
    }

    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(Ok(()));
        };
        if linger.total.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        // Bytes that have arrived count as progress even if this task was not
        // polled in time.
        match self.socket.poll_discard(cx) {
            Poll::Ready(Ok(1..)) => {
                linger.idle = Box::pin(sleep(LINGER_IDLE_TIMEOUT));
                // Lets other tasks run while the peer sends without a pause.
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(_) => Poll::Ready(Ok(())),
            Poll::Pending => linger.idle.as_mut().poll(cx).map(Ok),
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
        let start_timer = || -> Timer { Box::pin(sleep(timeout)) };
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
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
            self.linger = Some(Linger::start());
        }
        self.poll_linger(cx)
    }
}

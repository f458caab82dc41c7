use hyper::{
    StatusCode,
    rt::{Read, ReadBufCursor, Write},
};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

/// Tracks whether responses to requests of one connection are in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightRequests(Arc<RequestCounts>);

#[derive(Debug, Default)]
struct RequestCounts {
    open: AtomicUsize,
    /// Whether bytes of a response may still be unflushed.
    is_responding: AtomicBool,
}

impl InFlightRequests {
    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn begin(&self) -> RequestGuard {
        self.0.open.fetch_add(1, Ordering::Relaxed);
        self.0.is_responding.store(true, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Records that all bytes written so far have been flushed.
    fn record_flush(&self) {
        let is_open = self.0.open.load(Ordering::Relaxed) > 0;
        self.0.is_responding.store(is_open, Ordering::Relaxed);
    }

    fn is_flushed(&self) -> bool {
        !self.0.is_responding.load(Ordering::Relaxed)
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(InFlightRequests);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection that replaces the responses without a body which `hyper` sends
/// to malformed requests by those of the handler.
///
/// Bytes that are written while no request is open and all earlier bytes are
/// flushed can only come from `hyper`, so the content of the handler's
/// responses is never inspected. A malformed request that arrives before the
/// response to an earlier one is flushed gets `hyper`'s response.
pub(crate) struct ErrorResponseStream<S, F> {
    stream: S,
    requests: InFlightRequests,
    error_response: F,
    is_dirty: bool,
    response: Vec<u8>,
    written: usize,
}

impl<S, F> ErrorResponseStream<S, F>
where
    S: Write + Unpin,
    F: Fn(StatusCode) -> Vec<u8> + Unpin,
{
    /// Wraps a connection. `error_response` returns a complete HTTP response, or
    /// nothing to keep the one of `hyper`.
    pub(crate) fn new(stream: S, requests: InFlightRequests, error_response: F) -> Self {
        Self {
            stream,
            requests,
            error_response,
            is_dirty: false,
            response: Vec::new(),
            written: 0,
        }
    }

    fn replacement(&self, head: &[u8]) -> Option<Vec<u8>> {
        if self.is_dirty || !self.requests.is_flushed() {
            return None;
        }
        let status = client_error(head)?;
        let response = (self.error_response)(status);
        (!response.is_empty()).then_some(response)
    }

    /// Writes the rest of the replacement response.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.written < self.response.len() {
            let rest = &self.response[self.written..];
            match ready!(Pin::new(&mut self.stream).poll_write(cx, rest))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                count => self.written += count,
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the status of a response if it is a client error (4xx).
fn client_error(head: &[u8]) -> Option<StatusCode> {
    let version = head.get(..9)?;
    if !version.starts_with(b"HTTP/1.") {
        return None;
    }
    let status = StatusCode::from_bytes(head.get(9..12)?).ok()?;
    status.is_client_error().then_some(status)
}

impl<S, F> Read for ErrorResponseStream<S, F>
where
    S: Read + Unpin,
    F: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, cursor)
    }
}

impl<S, F> Write for ErrorResponseStream<S, F>
where
    S: Write + Unpin,
    F: Fn(StatusCode) -> Vec<u8> + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(response) = self.replacement(bytes) {
            self.response = response;
            return Poll::Ready(Ok(bytes.len()));
        }
        self.is_dirty = true;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if std::mem::take(&mut self.is_dirty) {
            self.requests.record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

use crate::{Body, BodyError, error_response::RequestGuard};
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// A body that returns an error one poll late.
///
/// When a body fails, `hyper` closes the connection at once and drops what it
/// has not written yet: the headers of a response that fails immediately, and
/// the frames just before the error. It writes when the body is pending, so the
/// error is held back until the poll after that.
pub(crate) struct DeferredErrorBody {
    body: Body,
    error: Option<BodyError>,
    /// Counts the request as open until its response is written.
    _guard: RequestGuard,
}

impl DeferredErrorBody {
    pub(crate) fn new(body: Body, guard: RequestGuard) -> Self {
        Self {
            body,
            error: None,
            _guard: guard,
        }
    }
}

impl HttpBody for DeferredErrorBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let Poll::Ready(Some(Err(error))) = polled else {
            return polled;
        };
        self.error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

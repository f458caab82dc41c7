//! The requests whose responses have not ended.

use crate::RouterState;
use bytes::Bytes;
use event_listener::Event;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use parking_lot::Mutex;
use sequoiawing_http::{Body, BodyError};
use sequoiawing_types::Name;
use slotmap::{SlotMap, new_key_type};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

new_key_type! {
    /// Identifies an open request within its router.
    struct OpenKey;
}

/// The identifiers of all open requests.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    request_ids: Mutex<SlotMap<OpenKey, Name>>,
    emptied: Event,
}

impl OpenRequests {
    /// Returns the number of open requests.
    pub(crate) fn len(&self) -> usize {
        self.request_ids.lock().len()
    }

    /// Returns the identifiers of the open requests.
    pub(crate) fn list(&self) -> Vec<Name> {
        self.request_ids.lock().values().cloned().collect()
    }

    /// Waits until no request is open.
    pub(crate) async fn wait_until_empty(&self) {
        loop {
            let listener = self.emptied.listen();
            if self.len() == 0 {
                return;
            }
            listener.await;
        }
    }

    fn close(&self, key: OpenKey) {
        let mut request_ids = self.request_ids.lock();
        request_ids.remove(key);
        if request_ids.is_empty() {
            drop(request_ids);
            self.emptied.notify(usize::MAX);
        }
    }
}

/// Registers a request as open until the guard is dropped.
pub(crate) struct OpenRequestGuard {
    state: Arc<RouterState>,
    key: OpenKey,
}

impl OpenRequestGuard {
    pub(crate) fn new(state: Arc<RouterState>, request_id: Name) -> Self {
        let key = state.open.request_ids.lock().insert(request_id);
        Self { state, key }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.state.open.close(self.key);
    }
}

/// A response body that keeps its request registered until it is dropped, and breaks off
/// when the router ends.
pub(crate) struct TrackedBody {
    body: Body,
    /// Completes when the last answers have to be written.
    end: Pin<Box<dyn Future<Output = ()> + Send>>,
    has_ended: bool,
    _guard: OpenRequestGuard,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, guard: OpenRequestGuard) -> Self {
        let state = guard.state.clone();
        Self {
            body,
            end: Box::pin(async move { state.last_answer.wait().await }),
            has_ended: false,
            _guard: guard,
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_pending() && self.end.as_mut().poll(cx).is_ready() {
            self.has_ended = true;
            let cause = "this host ends before the response does";
            return Poll::Ready(Some(Err(cause.into())));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

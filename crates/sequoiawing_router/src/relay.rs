//! An upstream's answer on its way to the caller.

use crate::{
    attempt::{Attempts, Failed, ResumePoint, Template, UpstreamAnswer},
    headers::{RAN_HEADER, remove_own_headers},
    shard::{Assignment, PoolShard},
    state::WithdrawalFuture,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{self, HeaderValue},
    http::response::Parts,
};
use sequoiawing_http::{Body, BodyError, ClientBody, SseSplitter, remove_hop_headers};
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, Ran, Time};
use std::{
    collections::VecDeque,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// The most times that a stream is resumed without an event in between.
const MAX_RESUMES: u32 = 3;

type Polled = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A future that brings the rest of a stream.
type Resuming = Pin<Box<dyn Future<Output = Result<(UpstreamAnswer, Assignment), Failed>> + Send>>;

/// Returns an upstream's error, which is relayed because nothing better came.
pub(crate) fn relay_held(answer: UpstreamAnswer) -> Response<Body> {
    let parts = clean(answer.parts);
    let held = answer.held;
    let body = HeldBody {
        held,
        body: answer.body,
    };
    Response::from_parts(parts, body.boxed_unsync())
}

fn clean(mut parts: Parts) -> Parts {
    remove_hop_headers(&mut parts.headers);
    remove_own_headers(&mut parts.headers);
    let ran = HeaderValue::from_static(Ran::Yes.as_str());
    parts.headers.insert(RAN_HEADER, ran);
    parts
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content = headers.get(header::CONTENT_TYPE);
    content.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// What was read of a body, followed by the rest of it.
struct HeldBody {
    held: VecDeque<Bytes>,
    body: Option<ClientBody>,
}

impl HttpBody for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Polled {
        if let Some(part) = self.held.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.held.iter().map(Bytes::len).sum();
        let rest = self.body.as_ref().map(HttpBody::size_hint);
        let rest = rest.unwrap_or_else(|| SizeHint::with_exact(0));
        let mut hint = SizeHint::new();
        hint.set_lower(held as u64 + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(held as u64 + upper);
        }
        hint
    }
}

/// An answer that breaks off when the caller's key is withdrawn or the
/// upstream does not finish; it is never ended as if it were whole.
///
/// Where the route allows, a stream that broke off goes on from another
/// upstream; see [docs/design/streams.md](../../../docs/design/streams.md).
pub(crate) struct RelayedBody {
    body: HeldBody,
    withdrawn: Option<WithdrawalFuture>,
    assignment: Option<Assignment>,
    watchdog: Watchdog,
    /// Present for streams whose end can be told from a cut.
    events: Option<SseSplitter>,
    resume: Option<Box<Resume>>,
    resuming: Option<Resuming>,
    /// Why the answer is about to break off.
    failing: Option<BodyError>,
}

impl RelayedBody {
    /// Returns the answer as the caller gets it.
    pub(crate) fn relay(
        attempts: Attempts,
        template: Arc<Template>,
        shard: Arc<PoolShard>,
        answer: UpstreamAnswer,
        assignment: Assignment,
        withdrawn: Option<WithdrawalFuture>,
    ) -> Response<Body> {
        let is_stream = template.stream
            && answer.parts.status.is_success()
            && is_event_stream(&answer.parts.headers);
        let mut parts = clean(answer.parts);
        let stall = Duration::from_millis(attempts.state.settings.stall);
        let watchdog = Watchdog::new(stall);
        let body = HeldBody {
            held: answer.held,
            body: answer.body,
        };
        let resume = (is_stream && template.resumable).then(|| {
            parts.headers.remove(header::CONTENT_LENGTH);
            Box::new(Resume {
                attempts,
                template,
                shard,
                attempt: answer.attempt,
                resumes: 0,
                total: 0,
                progress: 0,
            })
        });
        let relayed = Self {
            body,
            withdrawn,
            assignment: Some(assignment),
            watchdog,
            events: is_stream.then(SseSplitter::default),
            resume,
            resuming: None,
            failing: None,
        };
        Response::from_parts(parts, relayed.boxed_unsync())
    }

    fn is_withdrawn(&mut self, cx: &mut Context<'_>) -> bool {
        let withdrawn = self.withdrawn.as_mut();
        withdrawn.is_some_and(|w| w.as_mut().poll(cx).is_ready())
    }

    /// Breaks the answer off at the next poll, so that what came before is sent
    /// first.
    fn fail(&mut self, cx: &mut Context<'_>, error: BodyError) -> Polled {
        self.failing = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Polls the upstream, and takes one that is silent for too long for dead.
    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> Polled {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() {
            self.watchdog.feed();
            return polled;
        }
        ready!(self.watchdog.poll(cx));
        Poll::Ready(Some(Err("the upstream fell silent".into())))
    }

    /// Handles the end of the upstream's body, with or without an error.
    fn end(&mut self, error: Option<BodyError>) -> Option<BodyError> {
        if self.events.as_ref().is_some_and(SseSplitter::is_done) {
            return None;
        }
        let cut = self.events.is_some();
        let error = error.or_else(|| cut.then(|| "the upstream stopped half-way".into()));
        if error.is_some()
            && let Some(assignment) = &self.assignment
        {
            assignment.health().mark_failed();
        }
        error
    }

    /// Begins to resume the stream, if that is allowed and affordable.
    fn start_resume(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        let events = self.events.get_or_insert_default();
        events.discard_partial();
        let failed = self.assignment.take().map(|a| a.upstream.clone());
        self.resuming = resume.start(events.count(), failed);
        self.resuming.is_some()
    }

    /// Polls the search for an upstream that goes on with the stream.
    fn poll_resume(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        while let Some(resuming) = &mut self.resuming {
            match ready!(resuming.as_mut().poll(cx)) {
                Ok((answer, assignment)) => {
                    self.body = HeldBody {
                        held: answer.held,
                        body: answer.body,
                    };
                    self.assignment = Some(assignment);
                    self.resuming = None;
                    self.watchdog.feed();
                }
                Err(failed) => {
                    self.resuming = None;
                    if !self.start_resume() {
                        return Poll::Ready(Err(failed.cause.into()));
                    }
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Returns what of a part may be passed on now.
    fn pass(&mut self, part: Bytes) -> Option<Bytes> {
        let Some(events) = &mut self.events else {
            return Some(part);
        };
        if self.resume.is_some() {
            let whole = events.push(part);
            return (!whole.is_empty()).then_some(whole);
        }
        events.push(part.clone());
        Some(part)
    }
}

impl HttpBody for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Polled {
        if let Some(error) = self.failing.take() {
            return Poll::Ready(Some(Err(error)));
        }
        if self.is_withdrawn(cx) {
            return Poll::Ready(Some(Err("the key was withdrawn".into())));
        }
        loop {
            if let Err(error) = ready!(self.poll_resume(cx)) {
                return self.fail(cx, error);
            }
            let error = match ready!(self.poll_upstream(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(part) => match self.pass(part) {
                        Some(part) => return Poll::Ready(Some(Ok(Frame::data(part)))),
                        None => continue,
                    },
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                Some(Err(error)) => self.end(Some(error)),
                None => self.end(None),
            };
            match error {
                None => return Poll::Ready(None),
                Some(_) if self.start_resume() => {}
                Some(error) => return self.fail(cx, error),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.events.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.events.is_some() {
            return SizeHint::default();
        }
        self.body.size_hint()
    }
}

/// How a stream that broke off goes on.
struct Resume {
    attempts: Attempts,
    template: Arc<Template>,
    shard: Arc<PoolShard>,
    /// The attempt that began the stream.
    attempt: String,
    /// The resumes since the last event.
    resumes: u32,
    /// The resumes in all, which number their attempts.
    total: u32,
    /// The events at the last resume.
    progress: u64,
}

impl Resume {
    fn start(&mut self, offset: u64, failed: Option<Name>) -> Option<Resuming> {
        if offset > self.progress {
            self.progress = offset;
            self.resumes = 0;
        }
        let state = &self.attempts.state;
        let work = &self.template.work;
        let pool = self.shard.pool();
        if self.resumes >= MAX_RESUMES || !state.take_retry(&work.customer, pool) {
            return None;
        }
        self.resumes += 1;
        self.total += 1;
        let point = ResumePoint {
            attempt: self.attempt.clone(),
            offset,
        };
        let request = &self.template.request;
        log::info!(target: "relay", "Request {request} is resumed behind event {offset}.");
        let deadline = state.now() + self.template.patience;
        let number = format!("r{}", self.total);
        let search = Search {
            attempts: self.attempts.clone(),
            template: self.template.clone(),
            shard: self.shard.clone(),
            deadline,
        };
        Some(Box::pin(search.run(number, point, failed)))
    }
}

/// The search for an upstream that goes on with a stream.
struct Search {
    attempts: Attempts,
    template: Arc<Template>,
    shard: Arc<PoolShard>,
    deadline: Time,
}

impl Search {
    async fn run(
        self,
        number: String,
        point: ResumePoint,
        failed: Option<Name>,
    ) -> Result<(UpstreamAnswer, Assignment), Failed> {
        let id = self.attempts.state.next_request();
        let avoid = failed.into_iter().collect();
        let work = self.template.work(id, self.deadline, avoid);
        let waited = self.shard.acquire(work).await;
        let assignment = waited.map_err(|_| Failed::unsent("no upstream was free to resume"))?;
        let sent = self.attempts.send(
            &self.template,
            &assignment,
            &number,
            self.deadline,
            Some(&point),
        );
        match sent.await {
            Ok(answer) => Ok((answer, assignment)),
            Err(failed) => {
                assignment.health().mark_failed();
                Err(failed)
            }
        }
    }
}

/// Notices when nothing has come for too long.
struct Watchdog {
    limit: Duration,
    /// Since when something has been waited for.
    since: Option<Instant>,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl Watchdog {
    fn new(limit: Duration) -> Self {
        Self {
            limit,
            since: None,
            timer: None,
        }
    }

    /// Notes that something came.
    fn feed(&mut self) {
        self.since = None;
    }

    /// Is ready when nothing came for the limit.
    ///
    /// The timer runs on while the stream flows and is set anew only when it
    /// has run out, since setting it for each part would cost more than the
    /// part itself. Time in which the caller took nothing does not count.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.since.get_or_insert_with(Instant::now);
        loop {
            let left = self.limit.saturating_sub(since.elapsed());
            let start = || -> Pin<Box<dyn Future<Output = ()> + Send>> { Box::pin(sleep(left)) };
            let timer = self.timer.get_or_insert_with(start);
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
            if since.elapsed() >= self.limit {
                return Poll::Ready(());
            }
        }
    }
}

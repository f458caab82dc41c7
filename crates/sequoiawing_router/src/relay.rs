//! Relays an upstream's response to the caller.

use crate::{
    attempt::{
        AttemptError, AttemptSender, RequestTemplate, ResumePoint, UpstreamResponse,
        is_event_stream,
    },
    headers::{RAN_HEADER, remove_internal_headers},
    shard::{Assignment, PoolShard},
    state::WithdrawalFuture,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body as HttpBody, Frame, SizeHint},
    header::{self, HeaderValue},
    http::response::Parts,
};
use sequoiawing_http::{
    Body, BodyError, BodyParts, ClientBody, EventId, EventTooLong, SseEvent, SseSplitter,
    complete_events, remove_hop_headers,
};
use sequoiawing_policy::serving::EventNumbering;
use sequoiawing_runtime::sleep;
use sequoiawing_types::{Name, Ran, Time};
use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// How many equal steps in a row show what the next ones of a stream will be. A single one is
/// enough, as the upstream is asked again behind a wider one, up to [`MAX_RESUMES`] times.
const REQUIRED_STEPS: u32 = 1;

/// The maximum number of resumes of a stream without an event in between.
const MAX_RESUMES: u32 = 3;

type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// A future that returns the rest of a stream.
type ResumeFuture =
    Pin<Box<dyn Future<Output = Result<(UpstreamResponse, Assignment), AttemptError>> + Send>>;

/// Relays an upstream's error response, as no other attempt succeeded.
pub(crate) fn relay_error_response(response: UpstreamResponse) -> Response<Body> {
    let parts = prepare_headers(response.parts);
    let buffered = response.buffered;
    let body = BufferedBody {
        buffered,
        body: response.body,
    };
    Response::from_parts(parts, body.boxed_unsync())
}

fn prepare_headers(mut parts: Parts) -> Parts {
    remove_hop_headers(&mut parts.headers);
    remove_internal_headers(&mut parts.headers);
    let ran = HeaderValue::from_static(Ran::Yes.as_str());
    parts.headers.insert(RAN_HEADER, ran);
    parts
}

/// The buffered part of a body, followed by the rest of it.
struct BufferedBody {
    buffered: BodyParts,
    body: Option<ClientBody>,
}

impl HttpBody for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(chunk) = self.buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        match &mut self.body {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len();
        let rest = self.body.as_ref().map(HttpBody::size_hint);
        let rest = rest.unwrap_or_else(|| SizeHint::with_exact(0));
        let mut hint = SizeHint::new();
        hint.set_lower(buffered as u64 + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(buffered as u64 + upper);
        }
        hint
    }
}

/// A response body that fails when the caller's key is withdrawn or the upstream
/// does not finish; a truncated body never ends as if it were complete.
///
/// If the route allows it, an interrupted stream is resumed on another upstream;
/// see [docs/design/streams.md](../../../docs/design/streams.md).
pub(crate) struct RelayedBody {
    body: BufferedBody,
    withdrawn: Option<WithdrawalFuture>,
    assignment: Option<Assignment>,
    watchdog: Watchdog,
    /// Present for streams, whose end can be told from a truncation.
    events: Option<SseSplitter>,
    progress: Progress,
    /// Why the rest of the upstream's stream is not relayed.
    problem: Option<&'static str>,
    resume: Option<Box<StreamResume>>,
    resuming: Option<ResumeFuture>,
    /// The error with which the body fails at the next poll.
    pending_error: Option<BodyError>,
}

impl RelayedBody {
    /// Returns the response that is sent to the caller.
    pub(crate) fn relay(
        sender: AttemptSender,
        template: Arc<RequestTemplate>,
        shard: Arc<PoolShard>,
        response: UpstreamResponse,
        assignment: Assignment,
        withdrawn: Option<WithdrawalFuture>,
    ) -> Response<Body> {
        let is_stream = template.stream
            && response.parts.status.is_success()
            && is_event_stream(&response.parts.headers);
        let mut parts = prepare_headers(response.parts);
        let stall = Duration::from_millis(sender.state.settings.stall);
        let watchdog = Watchdog::new(stall);
        let body = BufferedBody {
            buffered: response.buffered,
            body: response.body,
        };
        if is_stream {
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        let resume = (is_stream && template.resumable).then(|| {
            Box::new(StreamResume {
                sender,
                template,
                shard,
                attempt: response.attempt,
                recent_resumes: 0,
                total_resumes: 0,
                last_offset: 0,
            })
        });
        let relayed = Self {
            body,
            withdrawn,
            assignment: Some(assignment),
            watchdog,
            events: is_stream.then(SseSplitter::default),
            progress: Progress::default(),
            problem: None,
            resume,
            resuming: None,
            pending_error: None,
        };
        Response::from_parts(parts, relayed.boxed_unsync())
    }

    fn is_withdrawn(&mut self, cx: &mut Context<'_>) -> bool {
        let withdrawn = self.withdrawn.as_mut();
        withdrawn.is_some_and(|w| w.as_mut().poll(cx).is_ready())
    }

    /// Fails the body at the next poll, so that the data before the error is sent
    /// first.
    fn defer_error(&mut self, cx: &mut Context<'_>, error: BodyError) -> FramePoll {
        self.pending_error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Polls the upstream, and fails if it has sent nothing within the stall timeout.
    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> FramePoll {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() {
            self.watchdog.reset();
            return polled;
        }
        ready!(self.watchdog.poll(cx));
        Poll::Ready(Some(Err("the upstream fell silent".into())))
    }

    /// Handles the end of the upstream's body, with or without an error.
    fn handle_end(&mut self, error: Option<BodyError>) -> Option<BodyError> {
        if self.progress.is_done {
            return None;
        }
        let is_truncated = self.events.is_some();
        let error = error.or_else(|| is_truncated.then(|| "the upstream stopped half-way".into()));
        if error.is_some()
            && let Some(assignment) = &self.assignment
        {
            assignment.health().mark_failed();
        }
        error
    }

    /// Starts to resume the stream, if the route and the retry budget allow it.
    fn start_resume(&mut self) -> bool {
        let Some(resume) = &mut self.resume else {
            return false;
        };
        let events = self.events.get_or_insert_default();
        events.discard_partial();
        self.progress.is_resumed = true;
        let failed_upstream = self.assignment.take().map(|a| a.upstream.clone());
        self.resuming = resume.start(self.progress.count, failed_upstream);
        self.resuming.is_some()
    }

    /// Polls the attempt to resume the stream on another upstream.
    fn poll_resume(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BodyError>> {
        while let Some(resuming) = &mut self.resuming {
            match ready!(resuming.as_mut().poll(cx)) {
                Ok((response, assignment)) => {
                    self.body = BufferedBody {
                        buffered: response.buffered,
                        body: response.body,
                    };
                    self.assignment = Some(assignment);
                    self.resuming = None;
                    self.watchdog.reset();
                }
                Err(error) => {
                    self.resuming = None;
                    if !self.start_resume() {
                        return Poll::Ready(Err(error.cause.into()));
                    }
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Returns the data that may be relayed after a chunk was received.
    fn process_chunk(&mut self, chunk: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let Some(events) = &mut self.events else {
            return Ok(Some(chunk));
        };
        if self.progress.is_done {
            return Ok(None);
        }
        let mut complete = events.push(chunk)?;
        let (accepted, problem) = self.progress.accept(&complete);
        self.problem = problem;
        complete.truncate(accepted);
        Ok((!complete.is_empty()).then_some(complete))
    }
}

impl HttpBody for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(error) = self.pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        if self.is_withdrawn(cx) {
            return Poll::Ready(Some(Err("the key was withdrawn".into())));
        }
        loop {
            if let Err(error) = ready!(self.poll_resume(cx)) {
                return self.defer_error(cx, error);
            }
            let polled = match self.problem.take() {
                Some(problem) => Some(Err(problem.into())),
                None => ready!(self.poll_upstream(cx)),
            };
            let error = match polled {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => match self.process_chunk(chunk) {
                        Ok(Some(chunk)) => return Poll::Ready(Some(Ok(Frame::data(chunk)))),
                        Ok(None) => continue,
                        Err(error) => self.handle_end(Some(error.into())),
                    },
                    // They end the caller's body, whatever follows.
                    Err(_) if self.events.is_some() => continue,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                Some(Err(error)) => self.handle_end(Some(error)),
                None => self.handle_end(None),
            };
            match error {
                None => return Poll::Ready(None),
                Some(_) if self.start_resume() => {}
                Some(error) => return self.defer_error(cx, error),
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

/// What the caller has received of a stream.
#[derive(Debug)]
struct Progress {
    /// The number of events, without comments.
    count: u64,
    /// The `id` of the last event that has a number.
    last_id: Option<u64>,
    /// What the stream has shown of its numbers.
    numbering: EventNumbering,
    /// Whether the next event is the first one of another upstream.
    is_resumed: bool,
    /// Whether the last event has been received.
    is_done: bool,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            count: 0,
            last_id: None,
            numbering: EventNumbering::new(REQUIRED_STEPS),
            is_resumed: false,
            is_done: false,
        }
    }
}

impl Progress {
    /// Returns the length of the events that may be relayed, and why the next one may not.
    fn accept(&mut self, events: &[u8]) -> (usize, Option<&'static str>) {
        let mut accepted = 0;
        for event in complete_events(events) {
            if let Some(problem) = self.find_problem(event) {
                return (accepted, Some(problem));
            }
            accepted += event.len();
            if event.is_comment() {
                continue;
            }
            self.count += 1;
            if let EventId::Number(id) = event.id() {
                let last = self.last_id.replace(id).filter(|_| !self.is_resumed);
                if let Some(last) = last {
                    self.numbering.learn(last, id);
                }
            }
            self.is_resumed = false;
            if event.is_done() {
                self.is_done = true;
                break;
            }
        }
        (accepted, None)
    }

    fn find_problem(&mut self, event: SseEvent<'_>) -> Option<&'static str> {
        if !event.is_well_formed() {
            return Some("the upstream sent text that is no event");
        }
        if self.is_resumed
            && let (Some(last), EventId::Number(id)) = (self.last_id, event.id())
            && !self.numbering.accepts(last, id)
        {
            return Some("the upstream did not go on at the next event");
        }
        None
    }
}

/// The state for resuming an interrupted stream.
struct StreamResume {
    sender: AttemptSender,
    template: Arc<RequestTemplate>,
    shard: Arc<PoolShard>,
    /// The attempt that began the stream.
    attempt: String,
    /// The number of resumes since the last event.
    recent_resumes: u32,
    /// The total number of resumes, from which their attempts are numbered.
    total_resumes: u32,
    /// The number of events at the last resume.
    last_offset: u64,
}

impl StreamResume {
    fn start(&mut self, offset: u64, failed_upstream: Option<Name>) -> Option<ResumeFuture> {
        if offset > self.last_offset {
            self.last_offset = offset;
            self.recent_resumes = 0;
        }
        let state = &self.sender.state;
        let dispatch_request = &self.template.dispatch_request;
        let pool = self.shard.pool();
        if self.recent_resumes >= MAX_RESUMES || !state.take_retry(&dispatch_request.customer, pool)
        {
            return None;
        }
        self.recent_resumes += 1;
        self.total_resumes += 1;
        let point = ResumePoint {
            attempt: self.attempt.clone(),
            offset,
        };
        let request_id = &self.template.request_id;
        log::info!(target: "relay", "Resuming the stream of request {request_id} after event {offset}.");
        let deadline = state.now() + self.template.max_wait;
        let number = format!("r{}", self.total_resumes);
        let resume_attempt = ResumeAttempt {
            sender: self.sender.clone(),
            template: self.template.clone(),
            shard: self.shard.clone(),
            deadline,
        };
        Some(Box::pin(resume_attempt.run(number, point, failed_upstream)))
    }
}

/// An attempt to resume a stream on another upstream.
struct ResumeAttempt {
    sender: AttemptSender,
    template: Arc<RequestTemplate>,
    shard: Arc<PoolShard>,
    deadline: Time,
}

impl ResumeAttempt {
    async fn run(
        self,
        number: String,
        point: ResumePoint,
        failed_upstream: Option<Name>,
    ) -> Result<(UpstreamResponse, Assignment), AttemptError> {
        let id = self.sender.state.next_request();
        let avoid = failed_upstream.into_iter().collect();
        let dispatch_request = self.template.dispatch_request(id, self.deadline, avoid);
        let waited = self.shard.acquire(dispatch_request).await;
        let assignment =
            waited.map_err(|_| AttemptError::not_sent("no upstream was free to resume"))?;
        let sent = self.sender.send(
            &self.template,
            &assignment,
            &number,
            self.deadline,
            Some(&point),
        );
        match sent.await {
            Ok(response) => Ok((response, assignment)),
            Err(error) => {
                assignment.health().mark_failed();
                Err(error)
            }
        }
    }
}

/// Detects an upstream that has sent nothing for too long.
struct Watchdog {
    limit: Duration,
    /// The start of the current wait.
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

    /// Ends the current wait, as data was received.
    fn reset(&mut self) {
        self.since = None;
    }

    /// Completes when nothing was received within the limit.
    ///
    /// The timer keeps running while data arrives and is restarted only after it
    /// has expired, since a restart for each chunk would cost more than the chunk
    /// itself. Time in which the caller does not read does not count.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.since.get_or_insert_with(Instant::now);
        loop {
            let remaining = self.limit.saturating_sub(since.elapsed());
            let start =
                || -> Pin<Box<dyn Future<Output = ()> + Send>> { Box::pin(sleep(remaining)) };
            let timer = self.timer.get_or_insert_with(start);
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
            if since.elapsed() >= self.limit {
                return Poll::Ready(());
            }
        }
    }
}

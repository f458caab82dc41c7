//! Reads the bodies of requests into memory that a budget bounds.

use crate::{
    Body, BodyError,
    body_budget::{Accounts, BodyId, BudgetLimits, Grant},
    from_bytes,
};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use parking_lot::Mutex;
use sequoiawing_runtime::{Clock, timeout};
use sequoiawing_types::Time;
use std::{
    collections::HashMap,
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
    time::Duration,
};
use thiserror::Error;

/// The size of the buffers of bodies, in bytes. They are used again, so that those of ended
/// bodies do not remain in the allocator beside new ones.
const SEGMENT_BYTES: usize = 16 * 1024;

/// The part of the budget below which it counts as free again after it was exhausted, so
/// that not each refusal is logged.
const FREE_SHARE: usize = 2;

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub enum UploadError {
    /// It is larger than is accepted.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no room for it beside other bodies.
    #[error("there is no memory for the body now")]
    NoRoom,
    /// It was ended so that others have room.
    #[error("the body arrived too slowly while memory was short")]
    Ended,
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The connection failed.
    #[error("the body broke off: {0}")]
    Broken(hyper::Error),
}

/// The counts of a budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// The bytes that are held.
    pub held: usize,
    /// The bytes that may be held.
    pub total: usize,
    /// The bodies for which there was no room.
    pub refused: u64,
    /// The uploads that were ended for others.
    pub ended: u64,
}

/// Bounds the bytes of all bodies that a process holds.
///
/// Clones share the budget.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    limits: BudgetLimits,
    state: Mutex<State>,
    refused: AtomicU64,
    ended: AtomicU64,
}

#[derive(Debug)]
struct State {
    accounts: Accounts,
    /// The tasks that are woken when their upload is to end.
    ends: HashMap<BodyId, Waker>,
    /// The tasks that are woken when their upload may have room.
    waits: HashMap<BodyId, Waker>,
    /// Buffers that are used again.
    free: Vec<Vec<u8>>,
    is_exhausted: bool,
}

/// The room that one body takes, which is released on drop.
#[derive(Debug)]
struct Room {
    shared: Arc<Shared>,
    id: BodyId,
}

/// A buffer of a body, whose bytes are released on drop.
struct Segment {
    room: Arc<Room>,
    bytes: Vec<u8>,
    reserved: usize,
}

/// Bytes for which room is reserved.
struct Held {
    bytes: Bytes,
    _room: Arc<Room>,
}

impl Shared {
    fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    /// Wakes all uploads that wait for room.
    fn wake_waits(state: &mut State) {
        for (_, waker) in state.waits.drain() {
            waker.wake();
        }
    }

    fn reserve(&self, id: BodyId, bytes: usize) -> Grant {
        let mut state = self.state.lock();
        let grant = state.accounts.reserve(self.now(), id, bytes);
        if grant != Grant::Granted && !state.is_exhausted {
            state.is_exhausted = true;
            let held = state.accounts.held();
            log::warn!(
                target: "http", held = held, budget = self.limits.total, wanted = bytes;
                "The memory for bodies is exhausted; uploads are ended or refused."
            );
        }
        match &grant {
            Grant::Wait(ended) => {
                self.ended.fetch_add(ended.len() as u64, Ordering::Relaxed);
                for id in ended {
                    // An upload that waits for room itself ends when it is refused.
                    let wakers = [state.ends.remove(id), state.waits.remove(id)];
                    wakers.into_iter().flatten().for_each(Waker::wake);
                }
            }
            Grant::Refused => {
                if !state.accounts.is_ending(id) {
                    self.refused.fetch_add(1, Ordering::Relaxed);
                }
            }
            Grant::Granted => {}
        }
        grant
    }

    fn check_free(&self, state: &mut State) {
        let held = state.accounts.held();
        if state.is_exhausted && held < self.limits.total / FREE_SHARE {
            state.is_exhausted = false;
            log::info!(
                target: "http", held = held, budget = self.limits.total,
                refused = self.refused.load(Ordering::Relaxed),
                ended = self.ended.load(Ordering::Relaxed);
                "The memory for bodies is free again."
            );
        }
    }

    fn release(&self, id: BodyId, bytes: usize, buffer: Vec<u8>) {
        let mut state = self.state.lock();
        state.accounts.release(id, bytes);
        if buffer.capacity() == SEGMENT_BYTES {
            let mut buffer = buffer;
            buffer.clear();
            state.free.push(buffer);
        }
        self.check_free(&mut state);
        Self::wake_waits(&mut state);
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        state.accounts.end(self.id);
        state.ends.remove(&self.id);
        state.waits.remove(&self.id);
        self.shared.check_free(&mut state);
        Shared::wake_waits(&mut state);
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.room.shared.release(self.room.id, self.reserved, bytes);
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Room {
    /// Waits until bytes are reserved.
    async fn reserve(&self, bytes: usize) -> Result<(), UploadError> {
        poll_fn(|cx| {
            // The waker is registered before, so that no release in between is missed.
            let waker = cx.waker().clone();
            self.shared.state.lock().waits.insert(self.id, waker);
            match self.shared.reserve(self.id, bytes) {
                Grant::Granted => Poll::Ready(Ok(())),
                Grant::Wait(_) => Poll::Pending,
                Grant::Refused => Poll::Ready(Err(self.refusal())),
            }
        })
        .await
    }

    fn is_ending(&self) -> bool {
        self.shared.state.lock().accounts.is_ending(self.id)
    }

    fn refusal(&self) -> UploadError {
        if self.is_ending() {
            UploadError::Ended
        } else {
            UploadError::NoRoom
        }
    }

    /// Waits until this upload is to end.
    async fn wait_for_end(&self) -> UploadError {
        poll_fn(|cx| {
            let waker = cx.waker().clone();
            self.shared.state.lock().ends.insert(self.id, waker);
            if self.is_ending() {
                return Poll::Ready(UploadError::Ended);
            }
            Poll::Pending
        })
        .await
    }
}

impl BodyBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: BudgetLimits) -> Self {
        Self(Arc::new(Shared {
            clock: Clock::start(),
            limits,
            state: Mutex::new(State {
                accounts: Accounts::new(limits),
                ends: HashMap::new(),
                waits: HashMap::new(),
                free: Vec::new(),
                is_exhausted: false,
            }),
            refused: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }))
    }

    /// Returns the counts for metrics.
    pub fn counts(&self) -> BudgetCounts {
        BudgetCounts {
            held: self.0.state.lock().accounts.held(),
            total: self.0.limits.total,
            refused: self.0.refused.load(Ordering::Relaxed),
            ended: self.0.ended.load(Ordering::Relaxed),
        }
    }

    /// Reads a body of at most `limit` bytes that arrives within `time_limit`.
    ///
    /// Room is reserved before bytes are read. One that announces more than the limit is
    /// refused unread.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, does not arrive or has no room.
    pub async fn read(
        &self,
        body: Incoming,
        limit: usize,
        time_limit: Duration,
    ) -> Result<HeldBody, UploadError> {
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let announced = body.size_hint().exact();
        let announced = announced.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
        if announced.is_some_and(|size| size > limit) {
            return Err(UploadError::TooLarge(limit));
        }
        let expected = announced.unwrap_or(limit);
        let id = {
            let mut state = self.0.state.lock();
            state.accounts.begin(self.0.now(), expected)
        };
        let room = Arc::new(Room {
            shared: self.0.clone(),
            id,
        });
        let ended = async { Err(room.wait_for_end().await) };
        let reading = read_frames(body, &room, announced, limit);
        let result = timeout(time_limit, ended.or(reading)).await;
        let segments = result.unwrap_or(Err(UploadError::TimedOut))?;
        if !self.0.state.lock().accounts.keep(id) {
            return Err(UploadError::Ended);
        }
        let segments = segments.into_iter().map(Bytes::from_owner);
        Ok(HeldBody::new(segments.collect()))
    }

    /// Begins a body that is never ended for others, such as a response.
    pub fn begin_kept(&self) -> KeptRoom {
        let mut state = self.0.state.lock();
        let id = state.accounts.begin_kept(self.0.now());
        drop(state);
        let shared = self.0.clone();
        KeptRoom(Arc::new(Room { shared, id }))
    }
}

/// The room of a body that is never ended for others.
#[derive(Debug)]
pub struct KeptRoom(Arc<Room>);

impl KeptRoom {
    /// Takes room for further bytes, for which incomplete uploads are ended if there is no
    /// other room; returns whether there is some. If they `must` be held, they are counted
    /// in any case.
    pub fn grow(&self, bytes: usize, must: bool) -> bool {
        let shared = &self.0.shared;
        match shared.reserve(self.0.id, bytes) {
            Grant::Granted => return true,
            Grant::Refused if !must => return false,
            // Uploads that end release their bytes at once.
            Grant::Wait(_) | Grant::Refused => {}
        }
        shared.state.lock().accounts.force(self.0.id, bytes);
        true
    }

    /// Returns the bytes, whose room is released when their last clone is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _room: self.0,
        })
    }
}

/// Reads a body into segments.
async fn read_frames(
    body: Incoming,
    room: &Arc<Room>,
    announced: Option<usize>,
    limit: usize,
) -> Result<Vec<Segment>, UploadError> {
    let mut body = body;
    let mut segments: Vec<Segment> = Vec::new();
    let mut size = 0;
    loop {
        if segments.last().is_none_or(Segment::is_full) && announced != Some(size) {
            segments.push(Segment::reserve(room, announced.map(|a| a - size)).await?);
        }
        let Some(frame) = body.frame().await else {
            break;
        };
        let Ok(part) = frame.map_err(UploadError::Broken)?.into_data() else {
            continue;
        };
        size += part.len();
        if size > limit {
            return Err(UploadError::TooLarge(limit));
        }
        {
            let now = room.shared.now();
            let mut state = room.shared.state.lock();
            state.accounts.record_progress(now, room.id);
        }
        let mut rest = &part[..];
        while !rest.is_empty() {
            if segments.last().is_none_or(Segment::is_full) {
                let missing = announced.map(|a| a.saturating_sub(size) + rest.len());
                segments.push(Segment::reserve(room, missing).await?);
            }
            if let Some(segment) = segments.last_mut() {
                rest = segment.fill(rest);
            }
        }
    }
    Ok(segments)
}

impl Segment {
    /// Waits for room for the next bytes of a body, of which `missing` are to come if that
    /// is known.
    async fn reserve(room: &Arc<Room>, missing: Option<usize>) -> Result<Self, UploadError> {
        let reserved = missing.map_or(SEGMENT_BYTES, |missing| missing.min(SEGMENT_BYTES));
        let reserved = reserved.max(1);
        room.reserve(reserved).await?;
        let buffer = if reserved == SEGMENT_BYTES {
            room.shared.state.lock().free.pop()
        } else {
            None
        };
        Ok(Self {
            room: room.clone(),
            bytes: buffer.unwrap_or_else(|| Vec::with_capacity(reserved)),
            reserved,
        })
    }

    fn is_full(&self) -> bool {
        self.bytes.len() >= self.reserved
    }

    /// Takes as many bytes as fit; returns the others.
    fn fill<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let count = bytes.len().min(self.reserved - self.bytes.len());
        let (taken, rest) = bytes.split_at(count);
        self.bytes.extend_from_slice(taken);
        rest
    }
}

/// A complete body in memory, in one or more parts. Its room is released when the last
/// clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    parts: Arc<[Bytes]>,
    size: usize,
}

impl HeldBody {
    fn new(parts: Arc<[Bytes]>) -> Self {
        let size = parts.iter().map(Bytes::len).sum();
        Self { parts, size }
    }

    /// Returns the size in bytes.
    pub fn len(&self) -> usize {
        self.size
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Returns the parts in order.
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }

    /// Returns the bytes in one piece, for which they are copied if there are more parts.
    /// Nothing bounds the copy.
    pub fn to_bytes(&self) -> Bytes {
        match &*self.parts {
            [] => Bytes::new(),
            [part] => part.clone(),
            parts => Bytes::from(parts.concat()),
        }
    }

    /// Returns the body of a message with its length.
    pub fn to_body(&self) -> Body {
        if let [part] = &*self.parts {
            return from_bytes(part.clone());
        }
        let parts = PartsBody {
            parts: self.parts.clone(),
            next: 0,
            missing: self.size,
        };
        parts.boxed_unsync()
    }
}

/// Sends the parts of a body, whose length is known.
struct PartsBody {
    parts: Arc<[Bytes]>,
    next: usize,
    missing: usize,
}

impl HttpBody for PartsBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let part = self.parts.get(self.next).cloned();
        Poll::Ready(part.map(|part| {
            self.next += 1;
            self.missing -= part.len();
            Ok(Frame::data(part))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.missing as u64)
    }
}

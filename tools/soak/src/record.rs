//! What callers and runners saw, as the judge reads it.

use crate::runner::Brittle;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Returns the milliseconds of the clock that all processes of a host share.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    seconds * 1000 + u64::try_from(time.tv_nsec).unwrap_or_default() / 1_000_000
}

/// How the answer to a caller ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// By its length, its last chunk, or an orderly end of the connection if it has neither.
    Whole,
    /// The connection broke before the end.
    Broken,
    /// The caller went away.
    Abandoned,
}

/// A request as its caller sent it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Sent {
    /// When it was sent, in milliseconds.
    pub at: u64,
    /// The identity of this try.
    pub attempt: String,
    /// The service that its route leads to.
    pub service: String,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// The most runners to which it may be sent.
    pub max_attempts: usize,
    /// The time that the caller waits, in milliseconds.
    pub deadline: u64,
    /// The try that brought the first event of the stream that this one takes up.
    pub resumes: Option<String>,
    /// The gateway that the caller chose.
    pub gateway: usize,
}

/// One line of a record.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A caller sent a request.
    Sent(Sent),
    /// A caller received the head of an answer.
    Head {
        /// The try.
        attempt: String,
        /// The status.
        status: u16,
        /// Whether it has a runner's signature.
        is_sealed: bool,
        /// The identity that the answer echoes.
        echo: Option<String>,
    },
    /// A caller received an event.
    Event {
        /// When, in milliseconds.
        at: u64,
        /// The try.
        attempt: String,
        /// The whole text of the event, without the empty line.
        text: String,
    },
    /// An answer ended at its caller.
    Ended {
        /// When, in milliseconds.
        at: u64,
        /// The try.
        attempt: String,
        /// How.
        end: End,
        /// What came that is no event, or the whole body of an answer that is no stream.
        body: String,
    },
    /// A request reached a runner.
    Arrival {
        /// When, in milliseconds.
        at: u64,
        /// The try.
        attempt: String,
        /// The runner's service.
        service: String,
        /// The incarnation of the runner.
        runner: String,
        /// The software version of the runner.
        version: String,
        /// The time left that the request names, in milliseconds.
        deadline: Option<u64>,
        /// The event behind which a stream goes on.
        after: Option<u64>,
        /// Whether the runner ran it.
        ran: bool,
        /// The status with which the runner answers, 0 if it breaks off before the head.
        status: u16,
        /// The time for which the runner wants no requests, in milliseconds.
        #[serde(default)]
        retry_after: Option<u64>,
    },
    /// A runner is about to send a stream whose end only the end of the connection tells.
    Unframed {
        /// The try.
        attempt: String,
        /// The incarnation of the runner.
        runner: String,
    },
    /// A runner that goes on running ends a stream before its last event, in an orderly way.
    Stopped {
        /// The try.
        attempt: String,
        /// The incarnation of the runner.
        runner: String,
    },
    /// A runner is about to send an event, or the body of an answer.
    Made {
        /// The try.
        attempt: String,
        /// The incarnation of the runner.
        runner: String,
        /// The whole text.
        text: String,
    },
    /// A runner fell over since it had to reject too much.
    Fell {
        /// When, in milliseconds.
        at: u64,
        /// The incarnation of the runner.
        runner: String,
        /// Its service.
        service: String,
        /// The time in which its service was brittle.
        brittle: Brittle,
        /// The tries that it rejected within the last second.
        rejected: Vec<String>,
    },
    /// A controller acknowledged that a runner leaves.
    Departed {
        /// When, in milliseconds.
        at: u64,
        /// The incarnation of the runner.
        runner: String,
    },
    /// A fault was injected.
    Fault {
        /// When, in milliseconds.
        at: u64,
        /// What was done.
        what: String,
        /// The process that was killed, stopped or started: the incarnation of a runner, or
        /// `gateway-` or `controller-` and its index.
        process: Option<String>,
    },
}

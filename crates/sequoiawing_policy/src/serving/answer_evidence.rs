//! Whether an answer that ended with its connection is complete.
//!
//! The kernel ends the connections of a killed process in order, as a process ends its
//! own. See [docs/design/answer-ends.md](../../../../../docs/design/answer-ends.md).

use sequoiawing_types::Time;
use std::time::Duration;

/// The first answers of a pool for which evidence is collected. Each costs a connection; with
/// 64 the new connections of a small deployment tripled.
const FIRST_ANSWERS: u32 = 4;

/// The answers with a length or chunks after an answer without them, until which requests
/// need evidence. Few upstreams of a pool may answer without a length, and for some time.
const FRAMED_ANSWERS: u32 = 256;

/// How the answers of a pool have told where they end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FramingHistory {
    /// The answers with a length or chunks since the last one without them.
    framed: u32,
    /// Whether there was one without them in the last [`FRAMED_ANSWERS`].
    has_unframed: bool,
}

impl FramingHistory {
    /// Records an answer; `is_framed` is whether it had a length or chunks.
    pub fn record(&mut self, is_framed: bool) {
        if is_framed {
            self.framed = self.framed.saturating_add(1);
            self.has_unframed &= self.framed < FRAMED_ANSWERS;
        } else {
            self.framed = 0;
            self.has_unframed = true;
        }
    }

    /// Returns whether the next answer may end with its connection.
    pub fn needs_evidence(&self) -> bool {
        self.has_unframed || self.framed < FIRST_ANSWERS
    }
}

/// How late the timer of [`Standstills`] may fire on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(200);

/// Remembers when this process last stood still, by the delays of a periodic timer.
///
/// What arrives just after that may be as old as the pause.
#[derive(Clone, Copy, Debug)]
pub struct Standstills {
    interval: Duration,
    last_tick: Time,
    last_end: Option<Time>,
}

impl Standstills {
    /// Starts with a timer that fires each `interval` from `now` on.
    pub fn new(now: Time, interval: Duration) -> Self {
        Self {
            interval,
            last_tick: now,
            last_end: None,
        }
    }

    /// Records that the timer has fired.
    pub fn tick(&mut self, now: Time) {
        if self.is_late(now) {
            self.last_end = Some(now);
        }
        self.last_tick = now;
    }

    /// Returns whether this process may have stood still between `since` and `now`.
    pub fn has_stood_still(&self, now: Time, since: Time) -> bool {
        self.is_late(now) || self.last_end.is_some_and(|end| end >= since)
    }

    fn is_late(&self, now: Time) -> bool {
        now.since(self.last_tick) > self.interval + TOLERANCE
    }
}

/// How often the connection to an upstream is replaced if it is known to stay open for longer.
const LONG_INTERVAL: Duration = Duration::from_millis(500);

/// How often it is replaced at least, also while it is not known how long it stays open.
/// Upstreams that close connections sooner cannot be observed.
const SHORT_INTERVAL: Duration = Duration::from_millis(100);

/// How long it is believed that a connection was closed for its age. Its upstream may have
/// ended, too.
const LIMIT_TTL: Duration = Duration::from_mins(1);

/// How long the upstreams of a pool leave connections without requests open.
///
/// A connection that an upstream closes in order shows no death, and nothing else either. So
/// each is replaced before, at half of the time that another one was seen open.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IdleTolerance {
    /// The greatest age of an open connection.
    open: Duration,
    /// Until when no other one is left open, since an upstream has closed one.
    limited_until: Time,
}

impl IdleTolerance {
    /// Returns how long after its opening a connection is replaced.
    pub fn interval(&self) -> Duration {
        (self.open / 2).clamp(SHORT_INTERVAL, LONG_INTERVAL)
    }

    /// Returns whether a connection should be left open to learn for how long it is.
    pub fn is_unknown(&self, now: Time) -> bool {
        now >= self.limited_until && self.open < LONG_INTERVAL * 2
    }

    /// Records that a connection of this age was open.
    pub fn record_open(&mut self, age: Duration) {
        self.open = self.open.max(age);
    }

    /// Records that a connection of this age was closed.
    pub fn record_closed(&mut self, now: Time, age: Duration) {
        self.open = self.open.min(age / 2);
        self.limited_until = now + LIMIT_TTL;
    }
}

/// Numbers the processes that listened at an address, as observed by a connection that is
/// replaced from time to time.
///
/// Only the process that accepted a connection answers on it. Two observations with the same
/// number, with an answer on the connection at the second, show that one process lived from
/// the first to the second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessChain {
    number: u64,
}

impl ProcessChain {
    /// Records that a connection was opened while none was open before.
    pub fn begin(&mut self) {
        self.number += 1;
    }

    /// Records that a connection has replaced another one. `has_answered` is whether the
    /// process of the former one answered on it after the new one was opened: that process
    /// then accepted the new one too.
    pub fn replace(&mut self, has_answered: bool) {
        self.number += u64::from(!has_answered);
    }

    /// Returns the number of the process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether the process with this number is known to have lived until now.
    /// `has_answered` is whether the current process has just answered on its connection.
    pub fn has_lived(&self, number: u64, has_answered: bool) -> bool {
        has_answered && self.number == number
    }
}

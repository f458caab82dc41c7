use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

/// The parts of a window that are counted apart.
const PARTS: u32 = 10;

/// How much of the limits is used, in percent; hosts count their windows apart
/// from those who judge.
const USED_PERCENT: u64 = 60;

/// How often requests to a pool may be sent again, over all hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryLimits {
    /// The repeats that each request pays for, in thousandths.
    pub ratio: u64,
    /// The repeats in a window beyond those, over all hosts.
    pub slack: u64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Time,
    requests: u64,
    repeats: u64,
}

/// Counts the requests and repeats of one pool on one host.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    parts: VecDeque<Part>,
}

impl RetryWindow {
    /// Notes the first sending of a request.
    pub fn note_request(&mut self, now: Time, limits: &RetryLimits) {
        self.part(now, limits).requests += 1;
    }

    /// Counts a repeat if the limits have room for it; `hosts` share the slack.
    pub fn take(&mut self, now: Time, limits: &RetryLimits, hosts: u32) -> bool {
        self.part(now, limits);
        let requests: u64 = self.parts.iter().map(|p| p.requests).sum();
        let repeats: u64 = self.parts.iter().map(|p| p.repeats).sum();
        let share = limits.slack * 1_000 / u64::from(hosts.max(1));
        let allowed = (requests * limits.ratio + share) * USED_PERCENT / 100;
        let has_room = (repeats + 1) * 1_000 <= allowed;
        if has_room {
            self.part(now, limits).repeats += 1;
        }
        has_room
    }

    fn part(&mut self, now: Time, limits: &RetryLimits) -> &mut Part {
        let is_old = |p: &Part| now.since(p.start) >= limits.window;
        while self.parts.front().is_some_and(is_old) {
            self.parts.pop_front();
        }
        let span = limits.window / PARTS;
        let is_current = |p: &Part| now.since(p.start) < span;
        if !self.parts.back().is_some_and(is_current) {
            self.parts.push_back(Part {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.parts.back_mut().expect("one was just added")
    }
}

use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

/// The time in which hubs learn of a host that has started, and other hosts of it
/// by the hubs' replies; several reporting intervals.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How long the largest number of hosts counts. Hubs no longer count the hosts of
/// another half after some time, though these use their shares.
const RETENTION: Duration = Duration::from_mins(10);

/// Divides the part of its share that a host in its first window has earned by its
/// time in touch with hubs.
const YOUNG_DIVISOR: u128 = 2;

/// Divides the part of its share that a host has from the first reply of a hub, so that
/// a host that has just started may retry where few share the slack.
const FIRST_DIVISOR: u64 = 16;

/// The number of hosts that share the slack of the retry limits, as known on one
/// host.
///
/// A host that has just started may follow another process on the same machine that
/// used its share, or belong to a fleet that the hubs do not know yet. It begins with a
/// part of its share, which grows with the time in which hubs have replied, and has the
/// whole after a window.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// The numbers of hosts that were named, with the last time of each, in order of
    /// time; those before a larger one are left out.
    named: VecDeque<(Time, u32)>,
    /// When the first and the last reply of a hub arrived.
    replies: Option<(Time, Time)>,
}

impl FleetSize {
    /// Records the number of hosts that a reply of a hub names.
    pub fn record(&mut self, now: Time, hosts: u32) {
        while self.named.back().is_some_and(|(_, named)| *named <= hosts) {
            self.named.pop_back();
        }
        self.named.push_back((now, hosts));
        let is_old = |(at, _): &(Time, u32)| now.since(*at) > RETENTION;
        while self.named.len() > 1 && self.named.front().is_some_and(is_old) {
            self.named.pop_front();
        }
        let first = self.replies.map_or(now, |(first, _)| first);
        self.replies = Some((first, now));
    }

    /// Returns the largest number of hosts that was named recently; 0 if none was.
    pub fn hosts(&self) -> u32 {
        self.named.front().map_or(0, |(_, hosts)| *hosts)
    }

    /// Returns this host's share of `slack` retries per window, in thousandths of a
    /// retry.
    pub fn share(&self, slack: u64, window: Duration) -> u64 {
        let Some((first, last)) = self.replies else {
            return 0;
        };
        let whole = slack * 1_000 / u64::from(self.hosts().max(1));
        let in_touch = last.since(first);
        if in_touch >= window + SETTLE_TIME {
            return whole;
        }
        let divisor = (window.as_micros() * YOUNG_DIVISOR).max(1);
        let young = u128::from(whole) * in_touch.as_micros() / divisor;
        let young = u64::try_from(young).unwrap_or(whole);
        (whole / FIRST_DIVISOR + young).min(whole)
    }
}

use super::rate::{MICRO, earned};
use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

/// How long the demand of a host counts after a request, and how long a token is kept
/// without one.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// How long a host trusts in its issuer without a grant from it. By then it uses an
/// equal share of the rate.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a host reports of its tokens for one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenReport {
    /// The issuer of the tokens.
    pub term: u64,
    /// The tokens that it knows to be granted, in total.
    pub granted: u64,
    /// The tokens that the host has used, in total.
    pub used: u64,
    /// The tokens that the host has returned unused, in total.
    pub returned: u64,
    /// The number of tokens that the host would use now.
    pub wanted: u32,
}

/// The tokens of one host for one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenHolder {
    term: u64,
    granted: u64,
    used: u64,
    returned: u64,
    /// The requests in the current window, and in the one before.
    demand: (u32, u32),
    window_start: Time,
    /// When the issuer was last heard.
    issuer_heard: Option<Time>,
    /// The micro-tokens of the equal share that is used without an issuer.
    own_share: i128,
    own_share_at: Option<Time>,
}

impl TokenHolder {
    /// Applies a grant of the issuer of a term: the tokens granted to this host in total,
    /// and those of them that the issuer knows to be settled; 0 if it grants none.
    ///
    /// Tokens of an earlier issuer are dropped, and its late grants are ignored. Tokens
    /// from before this host knew the issuer are returned, since it may have used them
    /// before it lost its state.
    pub fn apply_grant(&mut self, now: Time, term: u64, granted: u64, settled: u64) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.granted = granted;
            self.used = 0;
            self.returned = granted;
        }
        self.granted = self.granted.max(granted);
        self.used += settled.saturating_sub(self.used + self.returned);
        self.issuer_heard = Some(now);
    }

    /// Returns whether a request may be sent now; `hosts` share the rate if there is no
    /// issuer.
    pub fn has_token(&mut self, now: Time, rate: RequestRate, hosts: u32) -> bool {
        self.earn_share(now, rate, hosts);
        self.unused() > 0 || self.own_share >= MICRO
    }

    /// Returns whether the issuer has granted a token, and was heard lately. There is no
    /// share without an issuer: hosts that use theirs at one moment would exceed the rate
    /// of a second.
    pub fn has_granted(&self, now: Time) -> bool {
        self.unused() > 0 && self.is_heard(now)
    }

    /// Takes a token that the issuer has granted.
    pub fn take_granted(&mut self) {
        self.used += self.unused().min(1);
    }

    /// Returns all tokens if the issuer was not heard lately: it may have granted them anew
    /// after a time.
    pub fn expire(&mut self, now: Time) {
        if !self.is_heard(now) {
            self.return_all();
        }
    }

    fn is_heard(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) <= ISSUER_TIMEOUT;
        self.issuer_heard.is_some_and(is_recent)
    }

    /// Takes a token for a request, which must have been counted as demand.
    pub fn take(&mut self) {
        if self.unused() > 0 {
            self.used += 1;
        } else {
            self.own_share -= MICRO;
        }
    }

    /// Counts a request for which a token is wanted.
    pub fn record_demand(&mut self, now: Time) {
        self.roll(now);
        self.demand.0 = self.demand.0.saturating_add(1);
    }

    /// Returns all tokens to the issuer.
    pub fn return_all(&mut self) {
        self.returned += self.unused();
    }

    fn unused(&self) -> u64 {
        self.granted.saturating_sub(self.used + self.returned)
    }

    /// Returns the tokens that are not needed to the issuer, and what it should know.
    pub fn report(&mut self, now: Time) -> TokenReport {
        self.roll(now);
        let wanted = self.demand.0.max(self.demand.1);
        self.returned += self.unused().saturating_sub(u64::from(wanted));
        TokenReport {
            term: self.term,
            granted: self.granted,
            used: self.used,
            returned: self.returned,
            wanted,
        }
    }

    /// Earns this host's share while the issuer is silent.
    fn earn_share(&mut self, now: Time, rate: RequestRate, hosts: u32) {
        let span = now.since(self.own_share_at.unwrap_or(now));
        self.own_share_at = Some(now);
        if self.is_heard(now) {
            self.own_share = 0;
            return;
        }
        let share = earned(rate, span) / i128::from(hosts.max(1));
        self.own_share = (self.own_share + share).min(MICRO);
    }

    fn roll(&mut self, now: Time) {
        let passed = now.since(self.window_start);
        if passed < DEMAND_WINDOW {
            return;
        }
        let is_next = passed < DEMAND_WINDOW * 2;
        self.demand = (0, if is_next { self.demand.0 } else { 0 });
        self.window_start = now;
    }
}

use super::{NamedLimit, NamedRate, TokenHolder, TokenReport, rate::time_for};
use crate::serving::cold::{ColdPeriod, WARM_UP};
use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

/// What the issuer tells a host of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ToldLimit {
    /// The limit that the upstream named last, to any host.
    pub named: NamedRate,
    /// The issuer.
    pub term: u64,
    /// The tokens that it has granted to this host, in total; 0 if none is left.
    pub granted: u64,
    /// Those of them that it knows to be used or returned.
    pub settled: u64,
    /// The number of requests of all hosts that found no token lately.
    pub unmet: u32,
}

/// What a host reports of the limit of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostLimitReport {
    /// What the last answer to this host said; `None` if there was none.
    pub named: Option<NamedRate>,
    /// The tokens of this host.
    pub tokens: TokenReport,
}

/// The limit of one upstream, as one host knows and keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostLimit {
    /// The limit that was named last, to this host or another.
    named: NamedLimit,
    /// What the last answer to this host said.
    own: Option<NamedRate>,
    told: ToldLimit,
    tokens: TokenHolder,
    cold: ColdPeriod,
    /// The requests per second that it takes while it is cold.
    cold_rate: Option<RequestRate>,
}

impl HostLimit {
    fn rate(&self) -> Option<RequestRate> {
        self.named.rate()
    }

    /// Applies a change of the time for which the upstream is cold; `rate` is what it takes
    /// meanwhile, or `None` if it is never cold. Returns whether it turned cold, if it did
    /// or turned warm.
    pub(crate) fn set_cold<F>(
        &mut self,
        now: Time,
        rate: Option<RequestRate>,
        change: F,
    ) -> Option<bool>
    where
        F: FnOnce(&mut ColdPeriod),
    {
        let was_cold = self.cold.is_cold(now);
        if rate.is_some() {
            change(&mut self.cold);
        } else {
            self.cold = ColdPeriod::default();
        }
        self.cold_rate = rate;
        let is_cold = self.cold.is_cold(now);
        if is_cold && !was_cold {
            // Tokens of a named limit were granted for longer windows.
            self.tokens.return_all();
        }
        (is_cold != was_cold).then_some(is_cold)
    }

    /// Takes the upstream as warm.
    pub(crate) fn end_cold(&mut self) {
        self.cold = ColdPeriod::default();
        self.cold_rate = None;
    }

    /// Returns the time for which the upstream is cold.
    pub(crate) fn cold(&self) -> &ColdPeriod {
        &self.cold
    }

    /// Applies an answer to a request that was sent at `sent`; returns whether the limit
    /// changed.
    pub(crate) fn observe(&mut self, now: Time, sent: Time, rate: Option<RequestRate>) -> bool {
        let former = self.rate();
        if self.named.observe(now, sent, rate) {
            self.own = self.named.last();
        }
        self.has_changed(former)
    }

    /// Applies what the issuer tells; returns whether the limit changed.
    pub(crate) fn apply(&mut self, now: Time, told: ToldLimit) -> bool {
        let former = self.rate();
        self.named.merge(told.named);
        if self.cold.is_reported(now) {
            self.tokens.expire(now);
        }
        self.tokens
            .apply_grant(now, told.term, told.granted, told.settled);
        if told.term >= self.told.term {
            self.told = told;
        }
        self.has_changed(former)
    }

    /// Returns whether the limit differs from a former one. Tokens that were granted at
    /// a higher rate are returned.
    fn has_changed(&mut self, former: Option<RequestRate>) -> bool {
        let rate = self.rate();
        if rate.is_some() && rate < former {
            self.tokens.return_all();
        }
        rate != former
    }

    /// Returns whether a request may be sent now; `draw` is its number from 0 to 1.
    pub(crate) fn permits(&mut self, now: Time, hosts: u32, draw: f64) -> bool {
        if self.cold.needs_token(now, draw) {
            return self.tokens.has_granted(now);
        }
        match self.rate() {
            Some(rate) => self.tokens.has_token(now, rate, hosts),
            None => true,
        }
    }

    /// Counts a request that is sent; `is_new` if it has not been refused before.
    pub(crate) fn take(&mut self, now: Time, is_new: bool, draw: f64) {
        let is_cold = self.cold.needs_token(now, draw);
        if !is_cold && self.rate().is_none() {
            return;
        }
        if is_new {
            self.tokens.record_demand(now);
        }
        if is_cold {
            self.tokens.take_granted();
        } else {
            self.tokens.take();
        }
    }

    /// Records a request that found no token; returns when to come back.
    pub(crate) fn refuse(&mut self, now: Time, is_new: bool) -> Duration {
        if is_new {
            self.tokens.record_demand(now);
        }
        let unmet = u64::from(self.told.unmet) + 1;
        let named = self.rate().map(|rate| time_for(rate, unmet));
        let turn = self.cold_turn(now, unmet);
        named.max(turn).unwrap_or(Duration::ZERO)
    }

    /// Returns the time until a cold upstream takes a request after others.
    fn cold_turn(&self, now: Time, unmet: u64) -> Option<Duration> {
        let end = self.cold.end().filter(|end| now < *end + WARM_UP)?;
        let turn = time_for(self.cold_rate?, unmet);
        Some(turn.min((end + WARM_UP).since(now)))
    }

    /// Returns what the issuer should know; `None` if neither this host nor the issuer
    /// knows a limit and the upstream is not cold.
    pub(crate) fn report(&mut self, now: Time) -> Option<HostLimitReport> {
        if !self.cold.is_reported(now) {
            self.rate().or(self.told.named.rate)?;
        }
        Some(HostLimitReport {
            named: self.own,
            tokens: self.tokens.report(now),
        })
    }
}

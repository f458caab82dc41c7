use super::{NamedLimit, NamedRate, TokenHolder, TokenReport, rate::time_for};
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
}

impl HostLimit {
    fn rate(&self) -> Option<RequestRate> {
        self.named.rate()
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

    /// Returns whether a request may be sent now.
    pub(crate) fn permits(&mut self, now: Time, hosts: u32) -> bool {
        match self.rate() {
            Some(rate) => self.tokens.has_token(now, rate, hosts),
            None => true,
        }
    }

    /// Counts a request that is sent; `is_new` if it has not been refused before.
    pub(crate) fn take(&mut self, now: Time, is_new: bool) {
        if self.rate().is_none() {
            return;
        }
        if is_new {
            self.tokens.record_demand(now);
        }
        self.tokens.take();
    }

    /// Records a request that found no token; returns when to come back.
    pub(crate) fn refuse(&mut self, now: Time, is_new: bool) -> Duration {
        if is_new {
            self.tokens.record_demand(now);
        }
        let unmet = u64::from(self.told.unmet) + 1;
        self.rate()
            .map_or(Duration::ZERO, |rate| time_for(rate, unmet))
    }

    /// Returns what the issuer should know; `None` if neither this host nor the issuer
    /// knows a limit.
    pub(crate) fn report(&mut self, now: Time) -> Option<HostLimitReport> {
        self.rate().or(self.told.named.rate)?;
        Some(HostLimitReport {
            named: self.own,
            tokens: self.tokens.report(now),
        })
    }
}

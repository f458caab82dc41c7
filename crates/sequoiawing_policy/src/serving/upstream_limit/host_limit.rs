use super::{NamedLimit, TokenHolder, TokenReport, issuer::NamedRate, rate::time_for};
use sequoiawing_types::{RequestRate, Time};
use std::time::Duration;

/// What the issuer tells a host of one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ToldLimit {
    /// The limit that the upstream named last, to any host.
    pub named: NamedRate,
    /// The issuer.
    pub term: u64,
    /// The tokens that it has granted to this host, in total.
    pub granted: u64,
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
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostLimit {
    own: NamedLimit,
    told: ToldLimit,
    tokens: TokenHolder,
}

impl HostLimit {
    pub(crate) fn new() -> Self {
        Self {
            own: NamedLimit::default(),
            told: ToldLimit::default(),
            tokens: TokenHolder::default(),
        }
    }

    /// Returns the limit that was named last, to this host or another.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        let own = self.own.observed();
        if own.is_some_and(|own| own >= self.told.named.observed) {
            self.own.rate()
        } else {
            self.told.named.rate
        }
    }

    /// Applies an answer to a request that was sent at `sent`; returns whether the limit
    /// changed.
    pub(crate) fn observe(&mut self, now: Time, sent: Time, rate: Option<RequestRate>) -> bool {
        let former = self.rate();
        self.own.observe(now, sent, rate);
        self.rate() != former
    }

    /// Applies what the issuer tells; returns whether the limit changed.
    pub(crate) fn apply(&mut self, now: Time, told: ToldLimit) -> bool {
        let former = self.rate();
        self.tokens.apply_grant(now, told.term, told.granted);
        if told.term >= self.told.term {
            self.told = told;
        }
        self.rate() != former
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn permits(&mut self, now: Time, hosts: u32) -> bool {
        match self.rate() {
            Some(rate) => self.tokens.has_token(now, rate, hosts),
            None => true,
        }
    }

    /// Counts a request that is sent.
    pub(crate) fn take(&mut self, now: Time) {
        if self.rate().is_some() {
            self.tokens.take(now);
        }
    }

    /// Records a request that found no token; returns when to come back.
    pub(crate) fn refuse(&mut self, now: Time) -> Duration {
        self.tokens.record_demand(now);
        let unmet = u64::from(self.told.unmet) + 1;
        self.rate()
            .map_or(Duration::ZERO, |rate| time_for(rate, unmet))
    }

    /// Returns what the issuer should know; `None` if neither this host nor the issuer
    /// knows a limit.
    pub(crate) fn report(&mut self, now: Time) -> Option<HostLimitReport> {
        self.rate().or(self.told.named.rate)?;
        let named = self.own.observed().map(|observed| NamedRate {
            rate: self.own.rate(),
            observed,
        });
        let tokens = self.tokens.report(now);
        Some(HostLimitReport { named, tokens })
    }
}

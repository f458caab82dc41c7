//! The retry budget of a pool on one gateway.

use crate::{GatewayExchange, GatewayState};
use sequoiawing_types::{Name, Time};

/// What a retry is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryCause {
    /// The attempt before failed.
    Failure,
    /// The upstream is silent; the attempt before goes on.
    Silence,
    /// A stream broke off and goes on at another upstream.
    Resumption,
}

impl RetryCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Failure => "failure",
            Self::Silence => "silence",
            Self::Resumption => "resumption",
        }
    }
}

impl GatewayState {
    /// Counts a new request to a pool, which adds to the retry budget.
    pub(crate) fn record_request(&self, pool: &Name) {
        let (now, limits) = (self.now(), self.settings.retry_limits());
        let mut retries = self.retries.lock();
        let window = retries.entry(pool.clone()).or_default();
        window.record_request(now, &limits);
    }

    /// Takes a retry from the budget of the request's pool; returns whether one was
    /// left.
    pub(crate) fn take_retry(&self, exchange: &GatewayExchange, cause: RetryCause) -> bool {
        let (now, limits) = (self.now(), self.settings.retry_limits());
        let pool = &exchange.pool;
        let fleet = self.cluster.lock().fleet_size.clone();
        let mut retries = self.retries.lock();
        let window = retries.entry(pool.clone()).or_default();
        let decision = window.try_retry(now, &limits, &fleet);
        drop(retries);
        if let Some(meters) = &self.meters {
            meters.record_retry(pool, cause.as_str(), decision.is_granted);
        }
        let age = now.since(Time::ZERO).as_millis();
        log::info!(
            target: "gateway", request = exchange.meta.id.as_str(), pool = pool.as_str(),
            reason = cause.as_str(), granted = decision.is_granted,
            requests = decision.requests, retries = decision.retries, limit = decision.limit,
            hosts = fleet.hosts(), share = decision.share,
            age_ms = u64::try_from(age).unwrap_or(u64::MAX);
            "Retry budget of the pool checked."
        );
        decision.is_granted
    }
}

//! The limits that upstreams name, and this gateway's tokens for them.

use crate::GatewayState;
use sequoiawing_link::{LimitUpdate, ObservedLimit, TokenUse};
use sequoiawing_policy::serving::{NamedRate, ToldLimit};
use sequoiawing_types::Time;
use std::time::Duration;

impl GatewayState {
    /// Returns the limited upstreams with this gateway's tokens, for the hubs. Tokens
    /// that are not needed are returned.
    pub(crate) fn report_limits(&self) -> Vec<TokenUse> {
        let now = self.now();
        let reports = self.balancer.lock().report_limits(now);
        let uses = reports.into_iter().map(|(upstream, epoch, report)| {
            let named = report.named.map(|named| ObservedLimit {
                rate: named.rate,
                age: millis(now.since(named.observed)),
            });
            TokenUse {
                upstream,
                epoch,
                named,
                term: report.tokens.term,
                granted: report.tokens.granted,
                used: report.tokens.used,
                returned: report.tokens.returned,
                wanted: report.tokens.wanted,
            }
        });
        uses.collect()
    }

    /// Applies the limits and tokens in a hub's reply.
    pub(crate) fn apply_limits(&self, now: Time, update: &LimitUpdate) {
        let mut balancer = self.balancer.lock();
        for limit in &update.limits {
            let age = Duration::from_millis(limit.named.age);
            let grant = limit.grants.first().cloned().unwrap_or_default();
            let told = ToldLimit {
                named: NamedRate {
                    rate: limit.named.rate,
                    observed: Time::ZERO + now.since(Time::ZERO + age),
                },
                term: update.term,
                granted: grant.granted,
                settled: grant.settled,
                unmet: limit.unmet,
            };
            if balancer.apply_limit(now, &limit.upstream, limit.epoch, told) {
                log::info!(
                    target: "gateway", upstream = limit.upstream.as_str(), start = limit.epoch,
                    limit = limit.named.rate.map(|rate| rate.to_string()),
                    age_ms = limit.named.age, term = update.term;
                    "Limit of the upstream changed, as told by a hub."
                );
            }
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

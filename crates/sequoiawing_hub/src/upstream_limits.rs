//! Grants tokens for upstreams that name limits, at the leader's hub, and passes
//! them on at the others.

use crate::hub::HubState;
use sequoiawing_link::{LimitUpdate, ObservedLimit, TokenGrant, TokenUse, UpstreamLimit};
use sequoiawing_policy::serving::{
    ColdUpstream, LimitReport, LimitedUpstream, NamedRate, PeerView, TokenIssuer, TokenReport,
};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// How often tokens are granted. A shorter interval would wake gateways more often
/// than their reports arrive.
const GRANT_INTERVAL: Duration = Duration::from_millis(50);

/// How long the leader's grants are passed on without an update of them; gateways
/// then take the issuer for lost.
const UPDATE_TTL: Duration = Duration::from_secs(1);

/// The limits of upstreams and the tokens granted for them.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    issuer: TokenIssuer,
    /// The limits as of the last update by the leader, and when it was received.
    current: Option<(Time, LimitUpdate)>,
}

impl UpstreamLimits {
    /// Records what a gateway reported `age` ago.
    pub(crate) fn record(
        &mut self,
        now: Time,
        gateway: (&Name, u64),
        age: Duration,
        uses: &[TokenUse],
    ) {
        for used in uses {
            let named = used.named.map(|named| NamedRate {
                rate: named.rate,
                observed: time_before(now, age + Duration::from_millis(named.age)),
            });
            let report = LimitReport {
                upstream: used.upstream.clone(),
                epoch: used.epoch,
                named,
                tokens: TokenReport {
                    term: used.term,
                    granted: used.granted,
                    used: used.used,
                    returned: used.returned,
                    wanted: used.wanted,
                },
            };
            self.issuer.record(now, gateway, age, &report);
        }
    }

    /// Grants the tokens that are due, as the leader of a term; returns whether there
    /// are any.
    pub(crate) fn grant(
        &mut self,
        now: Time,
        term: u64,
        view: PeerView,
        cold: Vec<ColdUpstream>,
    ) -> bool {
        if self.issuer.term() != term {
            log::info!(
                target: "hub", term = term, limits = self.issuer.limits().len();
                "Granting tokens for limited upstreams."
            );
            self.issuer.set_term(now, term);
        }
        self.issuer.set_cold(now, cold);
        let has_granted = self.issuer.advance(now, view);
        let limits = self.issuer.limits();
        let limits = limits.into_iter().map(|limit| to_limit(now, limit));
        let limits = limits.collect();
        self.current = Some((now, LimitUpdate { term, limits }));
        has_granted
    }

    /// Sets the limits that the leader's hub passed on, unless they are of an older
    /// term; returns whether they changed.
    pub(crate) fn set_update(&mut self, now: Time, update: LimitUpdate) -> bool {
        let known = self.current.as_ref().map(|(_, known)| known);
        if known.is_some_and(|known| known.term > update.term) {
            return false;
        }
        let grants = |update: &LimitUpdate| -> Vec<Vec<TokenGrant>> {
            update.limits.iter().map(|l| l.grants.clone()).collect()
        };
        let has_changed = known.map(grants) != Some(grants(&update));
        self.current = Some((now, update));
        has_changed
    }

    /// Returns the limits with all grants, for other hubs.
    pub(crate) fn update(&self, now: Time) -> Option<LimitUpdate> {
        let (at, update) = self.current.as_ref()?;
        let passed = now.since(*at);
        if passed > UPDATE_TTL {
            return None;
        }
        let mut update = update.clone();
        for limit in &mut update.limits {
            limit.named.age += millis(passed);
        }
        Some(update)
    }

    /// Returns the limits with the grants of one gateway.
    pub(crate) fn update_for(&self, now: Time, gateway: (&Name, u64)) -> Option<LimitUpdate> {
        let mut update = self.update(now)?;
        for limit in &mut update.limits {
            let is_own = |g: &TokenGrant| (&g.host, g.incarnation) == gateway;
            limit.grants.retain(is_own);
        }
        Some(update)
    }

    /// Returns whether a gateway has been granted more than it knows of.
    pub(crate) fn has_news(&self, now: Time, gateway: (&Name, u64), uses: &[TokenUse]) -> bool {
        let Some((at, update)) = &self.current else {
            return false;
        };
        if now.since(*at) > UPDATE_TTL {
            return false;
        }
        uses.iter().any(|known| {
            let limit = update.limits.iter().find(|l| l.upstream == known.upstream);
            let mut grants = limit.into_iter().flat_map(|l| &l.grants);
            let own = grants.find(|g| (&g.host, g.incarnation) == gateway);
            own.is_some_and(|own| update.term > known.term || own.granted > known.granted)
        })
    }
}

impl HubState {
    /// Records the tokens of a gateway as of `age` ago.
    pub(crate) fn record_tokens(&self, gateway: (&Name, u64), age: Duration, tokens: &[TokenUse]) {
        if !tokens.is_empty() {
            let now = self.now();
            self.limits.lock().record(now, gateway, age, tokens);
        }
    }

    /// Grants the tokens that are due if this host leads.
    pub(crate) fn grant_tokens(&self) {
        let Some(leadership) = self.handle.leadership() else {
            return;
        };
        let now = self.now();
        let (hosts, missing) = self.usage.lock().count_gateways(now);
        let view = PeerView {
            hosts,
            missing,
            is_isolated: false,
        };
        let cold = self.cold_upstreams(now);
        if self.limits.lock().grant(now, leadership.term, view, cold) {
            self.notify_granted();
        }
    }

    /// Returns the upstreams that are cold.
    fn cold_upstreams(&self, now: Time) -> Vec<ColdUpstream> {
        let tables = self.handle.tables();
        let pools = tables.catalog().into_iter().flat_map(|c| &c.pools);
        let rates = pools.filter_map(|pool| Some((&pool.name, pool.cold.rate()?)));
        let rates: HashMap<&Name, RequestRate> = rates.collect();
        if rates.is_empty() {
            return Vec::new();
        }
        let roster = self.roster.lock();
        let cold = roster.cold(now).filter_map(|(state, left)| {
            Some(ColdUpstream {
                upstream: state.name.clone(),
                epoch: state.epoch,
                left,
                grants: self.settings.cold.grants(*rates.get(&state.pool)?),
            })
        });
        cold.collect()
    }

    /// Wakes the waiting requests of gateways with new tokens, and of other hubs.
    pub(crate) fn notify_granted(&self) {
        self.grants.set(self.grants.get() + 1);
    }
}

/// Grants tokens while this host leads, until shutdown starts.
pub(crate) async fn grant_tokens(state: Arc<HubState>, shutdown: Shutdown) {
    while shutdown.or(sleep(GRANT_INTERVAL)).await.is_some() {
        state.grant_tokens();
    }
}

fn to_limit(now: Time, limit: LimitedUpstream) -> UpstreamLimit {
    let grants = limit.grants.into_iter().map(|grant| TokenGrant {
        host: grant.host,
        incarnation: grant.incarnation,
        granted: grant.granted,
        settled: grant.settled,
    });
    UpstreamLimit {
        upstream: limit.upstream,
        epoch: limit.epoch,
        named: ObservedLimit {
            rate: limit.named.rate,
            age: millis(now.since(limit.named.observed)),
        },
        unmet: limit.unmet,
        grants: grants.collect(),
    }
}

/// Returns the time `age` before `now`, or the start of this process if that is later.
fn time_before(now: Time, age: Duration) -> Time {
    Time::ZERO + now.since(Time::ZERO + age)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

use super::{
    NamedLimit, NamedRate, TokenReport,
    rate::{MICRO, earned},
};
use crate::serving::{
    ColdGrants, ColdUpstream, PeerView,
    cold::{SETTLE, WARM_UP},
};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{collections::BTreeMap, time::Duration};

/// How long the tokens of a host that is not heard count as usable. A crashed host is
/// restarted or replaced within this time.
const ACCOUNT_TIMEOUT: Duration = Duration::from_secs(20);

/// The tokens that hosts may hold at any rate, in micro-tokens: a few of them can then
/// send their next request at once.
const BURST: i128 = 3 * MICRO;

/// The span whose tokens hosts may hold beyond [`BURST`]. A token that was used is granted
/// anew only after the reports of a few hubs have reached the issuer.
const BURST_SPAN: Duration = Duration::from_millis(1_500);

/// How long a limit is kept that no host has reported.
const LIMIT_TIMEOUT: Duration = Duration::from_mins(1);

/// How long hosts may still use tokens of the last issuer: its grants are passed on for a
/// second, and hosts trust in them for 1.5 s.
const FORMER_GRANTS_TTL: Duration = Duration::from_millis(2_500);

/// What one host reports of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: Name,
    /// The start of the upstream.
    pub epoch: u64,
    /// What its last answer to the host said; `None` if there was no answer.
    pub named: Option<NamedRate>,
    /// The tokens of the host.
    pub tokens: TokenReport,
}

/// The tokens that a host has been granted for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantedTokens {
    /// The host.
    pub host: Name,
    /// The run of the host's process.
    pub incarnation: u64,
    /// The tokens, in total since the issuer's start.
    pub granted: u64,
    /// Those of them that the host has reported as used or returned.
    pub settled: u64,
}

/// An upstream that names a limit, or named one lately.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitedUpstream {
    /// The upstream.
    pub upstream: Name,
    /// Its start.
    pub epoch: u64,
    /// What its last answer to any host said.
    pub named: NamedRate,
    /// The number of requests that hosts want to send beyond their tokens.
    pub unmet: u32,
    /// The hosts that have tokens.
    pub grants: Vec<GrantedTokens>,
}

#[derive(Clone, Debug)]
struct Account {
    incarnation: u64,
    granted: u64,
    used: u64,
    returned: u64,
    wanted: u32,
    heard: Time,
    /// The turn in which it was last granted a token.
    turn: u64,
}

impl Account {
    fn new(incarnation: u64, now: Time) -> Self {
        Self {
            incarnation,
            granted: 0,
            used: 0,
            returned: 0,
            wanted: 0,
            heard: now,
            turn: 0,
        }
    }

    fn settled(&self) -> u64 {
        self.used + self.returned
    }

    fn unused(&self) -> u64 {
        self.granted.saturating_sub(self.settled())
    }

    fn unmet(&self) -> u64 {
        u64::from(self.wanted).saturating_sub(self.unused())
    }
}

#[derive(Clone, Debug)]
struct Limit {
    epoch: u64,
    named: NamedLimit,
    reported: Time,
    /// The micro-tokens that may be granted.
    credit: i128,
    updated: Time,
    turn: u64,
    accounts: BTreeMap<Name, Account>,
    /// The tokens that are granted while the upstream is cold, and until when it is.
    cold: Option<(ColdGrants, Time)>,
}

impl Limit {
    fn new(epoch: u64, now: Time, credit: i128) -> Self {
        Self {
            epoch,
            named: NamedLimit::default(),
            reported: now,
            credit,
            updated: now,
            turn: 0,
            accounts: BTreeMap::new(),
            cold: None,
        }
    }

    /// Returns the tokens that are granted for a cold upstream.
    fn cold(&self, now: Time) -> Option<ColdGrants> {
        let (grants, end) = self.cold?;
        (now < end + WARM_UP + SETTLE).then_some(grants)
    }

    /// Returns the tokens that hosts may use at once, in micro-tokens.
    fn burst(rate: RequestRate) -> i128 {
        BURST + earned(rate, BURST_SPAN)
    }

    /// Returns the tokens that hosts hold, in micro-tokens.
    fn unused(&self) -> i128 {
        let unused = self.accounts.values().map(Account::unused);
        i128::from(unused.sum::<u64>()) * MICRO
    }

    fn advance(&mut self, now: Time, view: PeerView) -> bool {
        let span = now.since(self.updated);
        self.updated = self.updated.max(now);
        let kept = |a: &mut Account| now.since(a.heard) <= ACCOUNT_TIMEOUT;
        self.accounts.retain(|_, account| kept(account));
        // Hosts that are out of touch use their equal share of a named limit.
        let hosts = i128::from(view.hosts.max(1));
        let connected = (hosts - i128::from(view.missing)).max(0);
        let named = self.named.rate().map(|rate| {
            let share = earned(rate, span) * connected / hosts;
            (share, Self::burst(rate))
        });
        let cold = self.cold(now);
        let cold = cold.map(|grants| (grants.earned(span), grants.held));
        let (share, held) = match (named, cold) {
            (Some(named), Some(cold)) => (named.0.min(cold.0), named.1.min(cold.1)),
            (Some(only), None) | (None, Some(only)) => only,
            (None, None) => return false,
        };
        self.credit = (self.credit + share).min(held - self.unused());
        let mut has_granted = false;
        while self.credit >= MICRO && self.grant_next() {
            self.credit -= MICRO;
            has_granted = true;
        }
        has_granted
    }

    /// Grants a token to the host that has waited longest; returns whether one wants it.
    fn grant_next(&mut self) -> bool {
        let wanting = self.accounts.values_mut().filter(|a| a.unmet() > 0);
        let Some(account) = wanting.min_by_key(|a| a.turn) else {
            return false;
        };
        self.turn += 1;
        account.turn = self.turn;
        account.granted += 1;
        true
    }

    fn describe(&self, upstream: &Name) -> LimitedUpstream {
        let unmet: u64 = self.accounts.values().map(Account::unmet).sum();
        let holders = self.accounts.iter().filter(|(_, a)| a.unused() > 0);
        let grants = holders.map(|(host, account)| GrantedTokens {
            host: host.clone(),
            incarnation: account.incarnation,
            granted: account.granted,
            settled: account.settled(),
        });
        LimitedUpstream {
            upstream: upstream.clone(),
            epoch: self.epoch,
            named: self.named.last().unwrap_or_default(),
            unmet: u32::try_from(unmet).unwrap_or(u32::MAX),
            grants: grants.collect(),
        }
    }
}

/// Grants tokens to the hosts that send requests to limited upstreams.
///
/// The tokens that hosts hold and those that may be granted at once are bounded. So a
/// window of any length has at most 3 requests and 1.5 seconds' worth of them beyond the
/// rate, whatever is delayed or lost.
#[derive(Clone, Debug, Default)]
pub struct TokenIssuer {
    term: u64,
    /// The begin of the term.
    begun: Time,
    limits: BTreeMap<Name, Limit>,
}

impl TokenIssuer {
    /// Returns the term of the issuer.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Starts to issue tokens in a new term.
    ///
    /// Hosts may still hold tokens of the last issuer, so that nothing is granted until
    /// these would have been granted again.
    pub fn set_term(&mut self, now: Time, term: u64) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.begun = now;
        for limit in self.limits.values_mut() {
            limit.accounts.clear();
            let named = limit.named.rate().map_or(0, Limit::burst);
            let cold = limit.cold(now).map_or(0, |grants| grants.held);
            limit.credit = -named.max(cold);
            limit.updated = now;
        }
    }

    /// Records the upstreams that are cold. Tokens for one that turns cold are granted from
    /// nothing, so that they are spread evenly.
    pub fn set_cold<I>(&mut self, now: Time, cold: I)
    where
        I: IntoIterator<Item = ColdUpstream>,
    {
        let has_former = now < self.begun + FORMER_GRANTS_TTL;
        for ColdUpstream {
            upstream,
            epoch,
            left,
            grants,
        } in cold
        {
            let limit = self.limits.entry(upstream);
            let limit = limit.or_insert_with(|| Limit::new(epoch, now, 0));
            if limit.epoch > epoch {
                continue;
            }
            if limit.epoch < epoch {
                *limit = Limit::new(epoch, now, 0);
            }
            if limit.cold(now).is_none() {
                let debt = if has_former { -grants.held } else { 0 };
                limit.credit = limit.credit.min(debt);
            }
            limit.cold = Some((grants, now + left));
            limit.reported = now;
        }
    }

    /// Records the report of a host that was sent `age` ago.
    pub fn record(&mut self, now: Time, host: (&Name, u64), age: Duration, report: &LimitReport) {
        let known = self.limits.get(&report.upstream);
        if known.is_some_and(|limit| limit.epoch > report.epoch) {
            return;
        }
        if known.is_none_or(|limit| limit.epoch < report.epoch) {
            let Some(rate) = report.named.and_then(|named| named.rate) else {
                self.limits.remove(&report.upstream);
                return;
            };
            // A host that knows an issuer may hold tokens of another one.
            let has_issuer = report.tokens.term > 0;
            let credit = if has_issuer { -Limit::burst(rate) } else { 0 };
            let limit = Limit::new(report.epoch, now, credit);
            self.limits.insert(report.upstream.clone(), limit);
        }
        let Some(limit) = self.limits.get_mut(&report.upstream) else {
            return;
        };
        if let Some(named) = report.named {
            limit.named.merge(named);
        }
        limit.reported = now;
        let (name, incarnation) = host;
        let account = limit.accounts.entry(name.clone());
        let account = account.or_insert_with(|| {
            // An account that ended continues where its host is.
            let is_own = report.tokens.term == self.term;
            let known = if is_own {
                report.tokens
            } else {
                TokenReport::default()
            };
            Account {
                granted: known.granted,
                used: known.used,
                returned: known.returned,
                ..Account::new(incarnation, now)
            }
        });
        if incarnation < account.incarnation {
            return;
        }
        if incarnation > account.incarnation {
            *account = Account::new(incarnation, now);
        }
        let heard = Time::ZERO + now.since(Time::ZERO + age);
        if heard >= account.heard {
            account.heard = heard;
            account.wanted = report.tokens.wanted;
        }
        if report.tokens.term == self.term {
            account.used = account.used.max(report.tokens.used);
            let returned = report.tokens.returned.saturating_sub(account.returned);
            // What was never used may be granted again.
            limit.credit += i128::from(returned.min(account.unused())) * MICRO;
            account.returned += returned;
        }
    }

    /// Grants the tokens that are due; returns whether any were granted.
    pub fn advance(&mut self, now: Time, view: PeerView) -> bool {
        self.limits
            .retain(|_, limit| now.since(limit.reported) <= LIMIT_TIMEOUT);
        let mut has_granted = false;
        for limit in self.limits.values_mut() {
            has_granted |= limit.advance(now, view);
        }
        has_granted
    }

    /// Returns the limited upstreams with the tokens of all hosts.
    pub fn limits(&self) -> Vec<LimitedUpstream> {
        let limits = self.limits.iter();
        limits.map(|(name, limit)| limit.describe(name)).collect()
    }
}

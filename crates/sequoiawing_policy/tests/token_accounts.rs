//! Tokens of hosts and issuers that lose their state, and limits that fall.

use sequoiawing_policy::serving::{LimitReport, NamedRate, PeerView, TokenHolder, TokenIssuer};
use sequoiawing_types::{Name, RequestRate, Time};
use std::time::Duration;

const TERM: u64 = 3;

/// An issuer and the holder of one host, without delays.
struct Pair {
    now: Time,
    term: u64,
    rate: RequestRate,
    issuer: TokenIssuer,
    holder: TokenHolder,
}

impl Pair {
    fn new(rate: f64) -> Self {
        let mut issuer = TokenIssuer::default();
        issuer.set_term(Time::ZERO, TERM);
        Self {
            now: Time::ZERO,
            term: TERM,
            rate: RequestRate::per_second(rate).expect("the rate must be valid"),
            issuer,
            holder: TokenHolder::default(),
        }
    }

    /// Lets time pass in which the host wants more requests than the rate allows.
    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            for _ in 0..5 {
                self.holder.record_demand(self.now);
            }
            self.exchange();
        }
    }

    fn exchange(&mut self) {
        let host = Name::from("host");
        let named = NamedRate {
            rate: Some(self.rate),
            observed: self.now,
        };
        let report = LimitReport {
            upstream: Name::from("runner"),
            epoch: 1,
            named: Some(named),
            tokens: self.holder.report(self.now),
        };
        self.issuer
            .record(self.now, (&host, 1), Duration::ZERO, &report);
        let view = PeerView {
            hosts: 1,
            missing: 0,
            is_isolated: false,
        };
        self.issuer.advance(self.now, view);
        self.tell();
    }

    /// Tells the host what the issuer has granted.
    fn tell(&mut self) {
        let limits = self.issuer.limits();
        let mut grants = limits.iter().flat_map(|limit| &limit.grants);
        let (granted, settled) = grants.next().map_or((0, 0), |g| (g.granted, g.settled));
        self.holder
            .apply_grant(self.now, self.term, granted, settled);
    }

    /// Uses all tokens of the host, and returns their number.
    fn use_all(&mut self) -> u64 {
        let mut used = 0;
        while self.holder.has_token(self.now, self.rate, 1) {
            self.holder.take();
            used += 1;
        }
        used
    }
}

// Guards against tokens that are used twice by a host that forgot it had used them.
#[test]
fn a_host_that_lost_its_state_has_no_tokens() {
    let mut pair = Pair::new(2.0);
    pair.pass(Duration::from_secs(10));
    assert!(pair.use_all() > 0, "the host must have had tokens");
    pair.holder = TokenHolder::default();
    pair.tell();
    assert_eq!(pair.use_all(), 0);
}

// Guards against tokens that are used twice by a host that forgot it had reported them.
#[test]
fn a_host_that_lost_its_state_uses_only_new_tokens() {
    let mut pair = Pair::new(2.0);
    pair.pass(Duration::from_secs(10));
    pair.use_all();
    pair.exchange();
    pair.use_all();
    let named = pair.holder.report(pair.now);
    pair.holder = TokenHolder::default();
    pair.holder.apply_grant(pair.now, TERM, 0, 0);
    pair.holder.apply_grant(
        pair.now,
        TERM,
        named.granted + 1,
        named.used + named.returned,
    );
    assert_eq!(pair.use_all(), 1);
}

// Guards against a host that gets no tokens any more once it has lost its state.
#[test]
fn a_host_that_lost_its_state_gets_tokens_again() {
    let mut pair = Pair::new(2.0);
    pair.pass(Duration::from_secs(10));
    pair.holder = TokenHolder::default();
    pair.pass(Duration::from_secs(3));
    assert!(pair.use_all() > 0, "the host must get tokens again");
}

// Guards against a host that gets no tokens any more after a long partition.
#[test]
fn a_host_whose_account_ended_gets_tokens_again() {
    let mut pair = Pair::new(2.0);
    for _ in 0..10 {
        pair.pass(Duration::from_secs(1));
        pair.use_all();
    }
    for _ in 0..30 {
        pair.now = pair.now + Duration::from_secs(1);
        let view = PeerView {
            hosts: 1,
            missing: 1,
            is_isolated: false,
        };
        pair.issuer.advance(pair.now, view);
    }
    pair.holder.apply_grant(pair.now, TERM, 0, 0);
    pair.pass(Duration::from_secs(3));
    assert!(pair.use_all() > 0, "the host must get tokens again");
}

// Guards against a burst of tokens from before a limit fell.
#[test]
fn tokens_of_a_higher_limit_are_returned() {
    let mut pair = Pair::new(20.0);
    pair.pass(Duration::from_secs(5));
    pair.rate = RequestRate::per_second(1.0).expect("the rate must be valid");
    pair.holder.return_all();
    assert_eq!(pair.use_all(), 0);
    pair.exchange();
    let used = pair.use_all();
    assert!(used <= 5, "{used} tokens were granted at the lower limit");
}

// Guards against a burst of the tokens of two issuers, of which the second had not
// heard of the limit.
#[test]
fn an_issuer_that_first_hears_of_a_limit_may_have_had_a_predecessor() {
    let mut pair = Pair::new(2.0);
    pair.pass(Duration::from_secs(10));
    pair.issuer = TokenIssuer::default();
    pair.issuer.set_term(pair.now, TERM + 1);
    pair.term = TERM + 1;
    pair.pass(Duration::from_secs(2));
    assert_eq!(pair.use_all(), 0);
    pair.pass(Duration::from_secs(4));
    assert!(pair.use_all() > 0, "the host must get tokens again");
}

//! Tests when claims of calls that run at most once expire, and by which clock.

use sequoiawing_tables::{Claim, ClaimId, ClaimState, Command, Outcome, Tables};
use sequoiawing_types::{Name, Ran};

/// Returns the command by which a router with its clock at `now` claims a call
/// for 60 seconds.
fn claim(key: &str, attempt: &str, now: u64) -> Command {
    Command::Claim {
        id: id(key),
        claim: Claim {
            attempt: attempt.to_owned(),
            digest: String::new(),
            state: ClaimState::Open,
            until: now + 30,
            expiry: now + 60,
        },
        now,
    }
}

fn id(key: &str) -> ClaimId {
    ClaimId {
        customer: Name::from("daily"),
        route: Name::from("licences"),
        key: key.to_owned(),
    }
}

fn is_claimed(tables: &mut Tables, command: Command) -> bool {
    match tables.apply(command) {
        Outcome::Claimed => true,
        Outcome::Taken(_) => false,
        other => panic!("{other:?}"),
    }
}

#[test]
fn expired_claims_are_removed() {
    let mut tables = Tables::default();
    for i in 0..100 {
        assert!(is_claimed(&mut tables, claim(&format!("k{i}"), "a", i)));
    }
    assert!(!is_claimed(&mut tables, claim("k70", "b", 120)));
    assert!(is_claimed(&mut tables, claim("k20", "b", 120)));
    assert_eq!(
        tables.claim_count(),
        40,
        "39 unexpired claims and the new one"
    );
}

#[test]
fn claim_that_replaces_unexecuted_one_keeps_its_own_expiry() {
    let mut tables = Tables::default();
    assert!(is_claimed(&mut tables, claim("k", "a", 0)));
    tables.apply(Command::Settle {
        id: id("k"),
        attempt: "a".to_owned(),
        state: ClaimState::Ended(Ran::No),
    });
    assert!(is_claimed(&mut tables, claim("k", "b", 50)));
    assert!(is_claimed(&mut tables, claim("other", "c", 70)));
    assert!(!is_claimed(&mut tables, claim("k", "d", 71)));
}

#[test]
fn snapshot_preserves_claim_expiry() {
    let mut tables = Tables::default();
    assert!(is_claimed(&mut tables, claim("early", "a", 0)));
    assert!(is_claimed(&mut tables, claim("late", "a", 30)));
    let json = serde_json::to_string(&tables).expect("tables serialize to JSON");
    let mut restored: Tables = serde_json::from_str(&json).expect("tables deserialize from JSON");
    assert_eq!(restored, tables);
    assert!(is_claimed(&mut restored, claim("new", "b", 70)));
    assert_eq!(restored.claim_count(), 2, "one claim has expired");
    assert!(!is_claimed(&mut restored, claim("late", "b", 70)));
}

/// The clock of the log's leader, in seconds.
const LEADER_CLOCK: u64 = 1_000_000;

#[test]
fn router_with_fast_clock_does_not_expire_claims() {
    let mut tables = Tables::default();
    assert!(is_claimed(
        &mut tables,
        claim("k", "a", LEADER_CLOCK).with_leader_clock(LEADER_CLOCK)
    ));
    let ahead = claim("other", "b", LEADER_CLOCK * 1_000).with_leader_clock(LEADER_CLOCK + 1);
    assert!(is_claimed(&mut tables, ahead));
    assert!(!is_claimed(
        &mut tables,
        claim("k", "c", LEADER_CLOCK).with_leader_clock(LEADER_CLOCK + 2)
    ));
}

#[test]
fn claim_of_router_with_slow_clock_keeps_its_lifetime() {
    let mut tables = Tables::default();
    assert!(is_claimed(
        &mut tables,
        claim("k", "a", 5).with_leader_clock(LEADER_CLOCK)
    ));
    assert!(!is_claimed(
        &mut tables,
        claim("k", "b", LEADER_CLOCK).with_leader_clock(LEADER_CLOCK + 59)
    ));
    assert!(is_claimed(
        &mut tables,
        claim("k", "c", LEADER_CLOCK).with_leader_clock(LEADER_CLOCK + 60)
    ));
}

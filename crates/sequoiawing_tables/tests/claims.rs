//! Claims of calls that run at most once: when they are forgotten, and by whose
//! clock.

use sequoiawing_tables::{Claim, ClaimId, ClaimState, Command, Outcome, Tables};
use sequoiawing_types::{Name, Ran};

/// Returns the claim of an attempt that a router whose clock shows `now` makes
/// for a minute.
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
fn claims_are_forgotten_when_they_expire() {
    let mut tables = Tables::default();
    for i in 0..100 {
        assert!(is_claimed(&mut tables, claim(&format!("k{i}"), "a", i)));
    }
    assert!(!is_claimed(&mut tables, claim("k70", "b", 120)));
    assert!(is_claimed(&mut tables, claim("k20", "b", 120)));
    assert_eq!(tables.claim_count(), 40, "39 that last, and the new one");
}

#[test]
fn a_claim_in_place_of_one_that_did_not_run_lasts_its_own_time() {
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
fn a_snapshot_keeps_when_claims_expire() {
    let mut tables = Tables::default();
    assert!(is_claimed(&mut tables, claim("early", "a", 0)));
    assert!(is_claimed(&mut tables, claim("late", "a", 30)));
    let json = serde_json::to_string(&tables).expect("tables are JSON");
    let mut read: Tables = serde_json::from_str(&json).expect("they are read back");
    assert_eq!(read, tables);
    assert!(is_claimed(&mut read, claim("new", "b", 70)));
    assert_eq!(read.claim_count(), 2, "one has expired");
    assert!(!is_claimed(&mut read, claim("late", "b", 70)));
}

/// The clock of the log's leader in these tests.
const LEADER: u64 = 1_000_000;

#[test]
fn a_router_years_ahead_expires_no_claim() {
    let mut tables = Tables::default();
    assert!(is_claimed(
        &mut tables,
        claim("k", "a", LEADER).with_leader_clock(LEADER)
    ));
    let ahead = claim("other", "b", LEADER * 1_000).with_leader_clock(LEADER + 1);
    assert!(is_claimed(&mut tables, ahead));
    assert!(!is_claimed(
        &mut tables,
        claim("k", "c", LEADER).with_leader_clock(LEADER + 2)
    ));
}

#[test]
fn the_claim_of_a_router_years_behind_lasts_as_long() {
    let mut tables = Tables::default();
    assert!(is_claimed(
        &mut tables,
        claim("k", "a", 5).with_leader_clock(LEADER)
    ));
    assert!(!is_claimed(
        &mut tables,
        claim("k", "b", LEADER).with_leader_clock(LEADER + 59)
    ));
    assert!(is_claimed(
        &mut tables,
        claim("k", "c", LEADER).with_leader_clock(LEADER + 60)
    ));
}

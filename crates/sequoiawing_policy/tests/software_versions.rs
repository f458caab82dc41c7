//! Tests which upstreams may go on with a stream, and what is known of its origin.

use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    Balancer, BalancerRequest, PickResult, SoftwareVersion, StreamOrigins,
};
use sequoiawing_types::{Name, Time};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The time for which origins are kept.
const RETENTION: Duration = Duration::from_mins(5);

/// The number of origins that are kept.
const CAPACITY: u64 = 32_768;

fn upstream(name: &str, epoch: u64, software: Option<&str>) -> UpstreamState {
    UpstreamState {
        name: Name::from(name),
        pool: Name::from("pool"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
        epoch,
        sequence: 1,
        slots: 4,
        software: software.map(Name::from),
        ..UpstreamState::default()
    }
}

fn announced(software: &str) -> SoftwareVersion {
    SoftwareVersion::Announced(Name::from(software))
}

/// Returns the upstream that is chosen for the rest of a stream that `began` began.
fn choose(began: &UpstreamState, known: &[UpstreamState]) -> Option<String> {
    let mut balancer = Balancer::default();
    for state in known {
        balancer.update(&RosterEntry {
            state: Arc::new(state.clone()),
            gone: false,
        });
    }
    let request = BalancerRequest {
        pool: Name::from("pool"),
        software: Some(SoftwareVersion::of(began)),
        ..BalancerRequest::default()
    };
    match balancer.pick(Time::ZERO, &request) {
        PickResult::Assigned(assignment) => {
            assert_eq!(Some(assignment.software), request.software);
            Some(assignment.name.to_string())
        }
        PickResult::NoUpstream => None,
        other => panic!("{other:?}"),
    }
}

macro_rules! choices {
    ($($name:ident: $began:expr, [$($known:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (a, b): (Start, Other) = (upstream, |software| upstream("b", 1, software));
            let began: UpstreamState = $began(a);
            let known: Vec<UpstreamState> = vec![$($known(a, b)),*];
            assert_eq!(choose(&began, &known).as_deref(), $expected);
        }
    )*};
}

type Start = fn(&str, u64, Option<&str>) -> UpstreamState;
type Other = fn(Option<&str>) -> UpstreamState;

// Guard against a stream that goes on at an upstream of another or of an unknown software
// version.
choices! {
    another_upstream_of_the_version_goes_on:
        |a: Start| a("a", 1, Some("v1")), [|_: Start, b: Other| b(Some("v1"))] => Some("b");
    an_upstream_of_another_version_does_not_go_on:
        |a: Start| a("a", 1, Some("v1")), [|_: Start, b: Other| b(Some("v2"))] => None;
    an_upstream_of_unknown_version_does_not_go_on:
        |a: Start| a("a", 1, Some("v1")), [|_: Start, b: Other| b(None)] => None;
    unknown_versions_are_not_the_same:
        |a: Start| a("a", 1, None), [|_: Start, b: Other| b(None)] => None;
    the_same_start_has_the_same_unknown_version:
        |a: Start| a("a", 1, None), [|a: Start, _: Other| a("a", 1, None)] => Some("a");
    a_later_start_may_have_another_unknown_version:
        |a: Start| a("a", 1, None), [|a: Start, _: Other| a("a", 2, None)] => None;
    a_later_start_with_another_version_does_not_go_on:
        |a: Start| a("a", 1, Some("v1")), [|a: Start, _: Other| a("a", 2, Some("v2"))] => None;
    upstreams_that_name_no_version_are_a_version:
        |a: Start| a("a", 1, Some("")), [|_: Start, b: Other| b(Some(""))] => Some("b");
    upstreams_that_name_a_version_differ_from_those_that_name_none:
        |a: Start| a("a", 1, Some("")), [|_: Start, b: Other| b(Some("v1"))] => None;
}

macro_rules! mixed {
    ($($name:ident: [$($software:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = Balancer::default();
            let versions: &[Option<&str>] = &[$($software),*];
            for (epoch, software) in (1..).zip(versions) {
                let state = Arc::new(upstream(&format!("u{epoch}"), epoch, *software));
                balancer.update(&RosterEntry { state, gone: false });
            }
            let pool = Name::from("pool");
            assert_eq!(balancer.has_other_software(&pool, &announced("v1")), $expected);
        }
    )*};
}

// Guard against origins that wait for the next regular report while a pool has several
// software versions: a stream whose gateway dies before is refused.
mixed! {
    a_pool_of_one_version_is_not_mixed: [Some("v1"), Some("v1")] => false;
    a_pool_of_two_versions_is_mixed: [Some("v1"), Some("v2")] => true;
    a_pool_with_an_unknown_version_is_mixed: [Some("v1"), None] => true;
    an_empty_pool_is_not_mixed: [] => false;
}

#[test]
fn an_origin_is_known_until_it_expires() {
    let mut origins = StreamOrigins::default();
    origins.record(Time::ZERO, 7, &announced("v1"));
    let last = Time::ZERO + RETENTION.saturating_sub(Duration::from_millis(1));
    assert_eq!(origins.get(last, 7), Some(&announced("v1")));
    assert_eq!(origins.get(last, 8), None);
    assert_eq!(origins.get(Time::ZERO + RETENTION, 7), None);
    assert!(origins.is_empty());
}

// Guards against a stream that goes on at the wrong version because a caller has used an
// id for two streams.
#[test]
fn an_id_of_two_streams_of_different_versions_is_unknown() {
    let mut origins = StreamOrigins::default();
    for software in ["v1", "v1"] {
        origins.record(Time::ZERO, 7, &announced(software));
    }
    assert_eq!(origins.get(Time::ZERO, 7), Some(&announced("v1")));
    for software in ["v2", "v1"] {
        origins.record(Time::ZERO, 7, &announced(software));
        assert_eq!(origins.get(Time::ZERO, 7), None);
    }
}

#[test]
fn the_oldest_origins_are_dropped_above_the_capacity() {
    let mut origins = StreamOrigins::default();
    for attempt in 0..=CAPACITY {
        origins.record(Time::ZERO, attempt, &announced("v1"));
    }
    assert_eq!(origins.get(Time::ZERO, 0), None);
    assert_eq!(origins.get(Time::ZERO, 1), Some(&announced("v1")));
    assert_eq!(origins.len() as u64, CAPACITY);
}

#[test]
fn origins_are_reported_once_and_in_parts() {
    let mut origins = StreamOrigins::default();
    for attempt in 1..=5 {
        origins.record(Time::ZERO, attempt, &announced("v1"));
    }
    let attempts = |found: &[(u64, &SoftwareVersion)]| -> Vec<u64> {
        found.iter().map(|(attempt, _)| *attempt).collect()
    };
    let (stamp, first) = origins.since(0, 3);
    assert_eq!(attempts(&first), [1, 2, 3]);
    let (stamp, second) = origins.since(stamp, 3);
    assert_eq!(attempts(&second), [4, 5]);
    assert_eq!(origins.since(stamp, 3), (stamp, Vec::new()));
    let (_, again) = origins.since(0, 9);
    assert_eq!(attempts(&again), [1, 2, 3, 4, 5]);
}

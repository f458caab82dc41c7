//! Upstreams that want no requests from a host for some time.

mod world;

use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, Balancer, BalancerRequest, PickResult, PlaceCandidate,
};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};
use world::{Load, World};

/// The time for which an upstream asks in these tests.
const BACKOFF: Duration = Duration::from_secs(4);

/// The time after the end of a backoff in which all requests are sent again.
const RESUMED: Duration = Duration::from_millis(200);

fn upstream(name: &str, epoch: u64, port: u16) -> UpstreamState {
    UpstreamState {
        name: Name::from(name),
        pool: Name::from("pool"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], port))),
        epoch,
        sequence: epoch,
        slots: 8,
        ..UpstreamState::default()
    }
}

fn list(balancer: &mut Balancer, state: UpstreamState, gone: bool) {
    let state = Arc::new(state);
    balancer.update(&RosterEntry { state, gone });
}

fn request() -> BalancerRequest {
    BalancerRequest {
        pool: Name::from("pool"),
        ..BalancerRequest::default()
    }
}

fn assign(balancer: &mut Balancer, now: Time) -> Assignment {
    match balancer.pick(now, &request()) {
        PickResult::Assigned(assignment) => assignment,
        other => panic!("no upstream was assigned: {other:?}"),
    }
}

fn is_backing_off(balancer: &mut Balancer, now: Time) -> bool {
    matches!(balancer.pick(now, &request()), PickResult::BackingOff(_))
}

macro_rules! lasting_backoffs {
    ($($name:ident: $disturb:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = Balancer::default();
            list(&mut balancer, upstream("a", 1, 80), false);
            let now = Time::from_millis(1_000);
            let earlier = assign(&mut balancer, now);
            balancer.request_backoff(now, &Name::from("a"), BACKOFF);
            assert!(is_backing_off(&mut balancer, now));
            let disturb: fn(&mut Balancer, Time, &Assignment) = $disturb;
            disturb(&mut balancer, now + Duration::from_millis(500), &earlier);
            let last = now + BACKOFF.saturating_sub(Duration::from_millis(1));
            assert!(is_backing_off(&mut balancer, last));
            assert_eq!(balancer.backoff(last, &Name::from("a")), Some(Duration::from_millis(1)));
            assign(&mut balancer, now + BACKOFF + RESUMED);
        }
    )*};
}

// Guard against requests before the end of the time for which an upstream wanted none,
// because something else ended the backoff.
lasting_backoffs! {
    a_backoff_ends_by_itself: |_, _, _| ();
    a_backoff_outlives_an_earlier_success: |b, now, earlier| b.end(now, earlier.key, AttemptOutcome::Succeeded);
    a_backoff_outlives_a_failure_to_connect: |b, now, earlier| b.end(now, earlier.key, AttemptOutcome::Unreachable);
    a_backoff_outlives_a_silent_upstream_that_goes_on: |b, now, earlier| {
        b.set_responsive(now, earlier.key, false);
        b.set_responsive(now, earlier.key, true);
    };
    a_backoff_outlives_a_tunnel: |b, now, earlier| {
        b.end(now, earlier.key, AttemptOutcome::Unreachable);
        b.end_backoff(now, &earlier.name);
    };
    a_backoff_outlives_a_full_upstream: |b, now, earlier| b.end(now, earlier.key, AttemptOutcome::Full);
    a_backoff_outlives_a_shorter_one: |b, now, _| {
        assert!(!b.request_backoff(now, &Name::from("a"), Duration::from_secs(1)));
    };
    a_backoff_outlives_a_backoff_of_zero: |b, now, _| {
        assert!(!b.request_backoff(now, &Name::from("a"), Duration::ZERO));
    };
    a_backoff_outlives_a_silence_of_all: |b, _, _| b.set_silent(&HashSet::from([Name::from("a")]));
    a_backoff_outlives_an_entry_that_flaps: |b, _, _| {
        list(b, upstream("a", 1, 80), true);
        list(b, upstream("a", 1, 80), false);
    };
    a_backoff_outlives_a_new_address: |b, _, _| list(b, upstream("a", 1, 81), false);
    a_backoff_outlives_a_new_start: |b, _, _| list(b, upstream("a", 2, 80), false);
    a_backoff_outlives_a_change_of_pools: |b, _, _| {
        list(b, UpstreamState { pool: Name::from("other"), ..upstream("a", 1, 80) }, false);
        list(b, upstream("a", 1, 80), false);
    };
}

#[test]
fn a_longer_backoff_replaces_a_shorter_one() {
    let mut balancer = Balancer::default();
    list(&mut balancer, upstream("a", 1, 80), false);
    let name = Name::from("a");
    assert!(balancer.request_backoff(Time::ZERO, &name, Duration::from_secs(1)));
    assert!(balancer.request_backoff(Time::ZERO, &name, BACKOFF));
    assert!(is_backing_off(&mut balancer, Time::from_millis(3_999)));
}

// Guards against a request that waited for a place at an upstream and is sent to it after
// the upstream has asked for none.
#[test]
fn a_place_is_not_used_during_a_backoff() {
    let mut balancer = Balancer::default();
    list(&mut balancer, upstream("a", 1, 80), false);
    let candidate = PlaceCandidate {
        name: Name::from("a"),
        epoch: 1,
        slots: 8,
        tolerance: RequestRate::per_second(5.0).expect("a valid rate"),
    };
    balancer.request_backoff(Time::ZERO, &candidate.name, BACKOFF);
    let now = Time::from_millis(1_000);
    let placed = balancer.assign_place(now, &request(), &candidate);
    assert!(placed.is_none(), "{placed:?}");
    let alone = balancer.assign_alone(now, &request(), &[candidate]);
    assert!(alone.is_none(), "{alone:?}");
}

macro_rules! departures {
    ($($name:ident: $disturb:expr => $is_used:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = Balancer::default();
            list(&mut balancer, upstream("a", 2, 80), false);
            assert!(balancer.record_departure(&Name::from("a"), 2));
            let disturb: fn(&mut Balancer) = $disturb;
            disturb(&mut balancer);
            let pick = balancer.pick(Time::from_millis(1_000), &request());
            assert_eq!(matches!(pick, PickResult::Assigned(_)), $is_used, "{pick:?}");
        }
    )*};
}

// Guard against requests to an upstream that has said that it leaves, because of a report
// that does not know it yet.
departures! {
    a_departure_holds: |_| () => false;
    a_departure_outlives_an_older_report: |b| list(b, upstream("a", 2, 80), false) => false;
    a_departure_outlives_an_entry_that_flaps_once: |b| {
        list(b, upstream("a", 2, 80), true);
        list(b, upstream("a", 2, 80), false);
    } => false;
    a_departure_outlives_a_silence_of_all_others: |b| {
        list(b, upstream("b", 1, 81), false);
        b.set_silent(&HashSet::from([Name::from("b")]));
    } => false;
    a_departure_ends_with_a_new_start: |b| list(b, upstream("a", 3, 80), false) => true;
    a_departure_of_an_earlier_start_is_no_news: |b| {
        list(b, upstream("a", 3, 80), false);
        assert!(!b.record_departure(&Name::from("a"), 1));
    } => true;
}

#[test]
fn requests_go_to_the_other_upstreams() {
    let mut balancer = Balancer::default();
    list(&mut balancer, upstream("a", 1, 80), false);
    list(&mut balancer, upstream("b", 1, 81), false);
    balancer.request_backoff(Time::ZERO, &Name::from("a"), BACKOFF);
    for _ in 0..4 {
        let assignment = assign(&mut balancer, Time::from_millis(1_000));
        assert_eq!(assignment.name, Name::from("b"));
    }
    assert_eq!(balancer.common_backoff(Time::ZERO, &request()), None);
}

// Guards against callers that are told to come back while all upstreams still want no
// requests, or together.
#[test]
fn refused_callers_come_back_apart_after_the_first_end() {
    let mut balancer = Balancer::default();
    list(&mut balancer, upstream("a", 1, 80), false);
    list(&mut balancer, upstream("b", 1, 81), false);
    balancer.request_backoff(Time::ZERO, &Name::from("a"), BACKOFF);
    balancer.request_backoff(Time::ZERO, &Name::from("b"), BACKOFF * 2);
    let retries = (0..100_u64).map(|seed| {
        let request = BalancerRequest { seed, ..request() };
        let retry = balancer.common_backoff(Time::ZERO, &request);
        retry.expect("all upstreams want no requests")
    });
    let retries: HashSet<Duration> = retries.collect();
    let within = BACKOFF + RESUMED..=BACKOFF + RESUMED * 2;
    assert!(
        retries.iter().all(|retry| within.contains(retry)),
        "{retries:?}"
    );
    assert!(retries.len() > 90, "{retries:?}");
}

macro_rules! loads {
    ($($name:ident: { $($field:ident: $value:expr),* };)*) => {$(
        #[test]
        fn $name() {
            let load = Load { $($field: $value),* };
            for seed in 0..3 {
                let figures = World::new(seed, load, true).run();
                let without = World::new(seed, load, false).run();
                println!("{load:?} seed {seed}: {figures:?}, without those upstreams {without:?}");
                assert_eq!(figures.violations, 0, "seed {seed}");
                let least = f64::from(without.served) * 0.9;
                assert!(f64::from(figures.served) >= least, "seed {seed}");
                assert!(figures.latest_return <= Duration::from_millis(300), "seed {seed}");
                assert!(figures.most_at_once <= load.slots, "seed {seed}");
            }
        }
    )*};
}

// Guard against a pool that serves less than its other upstreams can while some of it wants
// no requests, and against a rush when these serve again.
loads! {
    six_hosts_and_half_of_few_upstreams: { hosts: 6, upstreams: 6, resting: 3, slots: 6, demand: 0.9 };
    six_hosts_and_all_but_one_upstream: { hosts: 6, upstreams: 6, resting: 5, slots: 6, demand: 0.9 };
    eighty_hosts_and_half_of_many_upstreams: { hosts: 80, upstreams: 40, resting: 20, slots: 24, demand: 0.9 };
    eighty_hosts_below_the_room_of_the_rest: { hosts: 80, upstreams: 40, resting: 10, slots: 24, demand: 0.5 };
}

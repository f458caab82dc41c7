//! Tests which upstream a gateway chooses.

use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    Assignment, AttemptOutcome, Balancer, BalancerRequest, NamedRate, PickResult, PromptPart,
    ReportedLoad, ToldLimit,
};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

const SLOTS: u32 = 4;

fn upstream(name: &str, models: &[&str]) -> UpstreamState {
    UpstreamState {
        name: Name::from(name),
        pool: Name::from("pool"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
        epoch: 1,
        sequence: 1,
        slots: SLOTS,
        loaded: models.iter().map(|m| Name::from(*m)).collect(),
        ..UpstreamState::default()
    }
}

fn listed(state: UpstreamState, gone: bool) -> RosterEntry {
    let state = Arc::new(state);
    RosterEntry { state, gone }
}

fn balancer(upstreams: Vec<UpstreamState>) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.set_cache_tokens(&Name::from("pool"), 10_000);
    for state in upstreams {
        balancer.update(&listed(state, false));
    }
    balancer
}

fn request(model: &str) -> BalancerRequest {
    BalancerRequest {
        pool: Name::from("pool"),
        model: Some(Name::from(model)),
        ..BalancerRequest::default()
    }
}

fn prompt(ids: &[(u64, u64)]) -> Arc<[PromptPart]> {
    let parts = ids.iter();
    parts
        .map(|(id, tokens)| PromptPart {
            id: *id,
            tokens: *tokens,
        })
        .collect()
}

fn send(balancer: &mut Balancer, now: Time, request: &BalancerRequest) -> Assignment {
    match balancer.pick(now, request) {
        PickResult::Assigned(assigned) => assigned,
        other => panic!("no upstream was assigned: {other:?}"),
    }
}

/// Returns the name of the chosen upstream, or the reason why there is none.
fn describe(pick: &PickResult) -> &str {
    match pick {
        PickResult::Assigned(assigned) => assigned.name.as_str(),
        PickResult::NeedsPlace(_) => "needs a place",
        PickResult::Full(_) => "full",
        PickResult::Limited(_) => "limited",
        PickResult::BackingOff(_) => "backing off",
        PickResult::NotLoaded => "not loaded",
        PickResult::Evacuated => "evacuated",
        PickResult::NoUpstream => "no upstream",
    }
}

macro_rules! picks {
    ($($name:ident: $prepare:expr, $request:expr => $pick:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m", "n"])]);
            let prepare: fn(&mut Balancer) = $prepare;
            prepare(&mut balancer);
            let pick = balancer.pick(Time::ZERO, &$request);
            assert_eq!(describe(&pick), $pick);
        }
    )*};
}

picks! {
    chooses_upstream_with_model: |_| (), request("n") => "b";
    finds_none_with_model: |_| (), request("o") => "not loaded";
    ignores_other_pools: |_| (), BalancerRequest { pool: Name::from("other"), ..request("m") } => "no upstream";
    ignores_leaving_upstream: |b| b.update(&listed(UpstreamState { leaving: true, ..upstream("b", &["n"]) }, false)),
        request("n") => "not loaded";
    ignores_removed_upstream: |b| b.update(&listed(upstream("b", &["n"]), true)), request("n") => "not loaded";
    ignores_silent_upstream: |b| b.set_silent(&HashSet::from([Name::from("b")])), request("n") => "not loaded";
    uses_silent_upstreams_if_all_are_silent:
        |b| b.set_silent(&HashSet::from([Name::from("a"), Name::from("b")])), request("n") => "b";
    ignores_tried_upstream: |_| (), BalancerRequest { tried: vec![Name::from("b")], ..request("n") } => "not loaded";
    ignores_upstream_that_evicts_model: |b| b.set_evicted([(Name::from("b"), Name::from("n"))]),
        request("n") => "not loaded";
    uses_upstream_with_finished_load:
        |b| b.set_expected([(Name::from("a"), Name::from("o"), Time::ZERO)]), request("o") => "a";
    ignores_upstream_that_still_loads:
        |b| b.set_expected([(Name::from("a"), Name::from("o"), Time::from_millis(5))]),
        request("o") => "not loaded";
    ignores_upstream_without_adapter: |_| (),
        BalancerRequest { adapter: Some(Name::from("m:x")), ..request("m") } => "not loaded";
    chooses_upstream_with_adapter:
        |b| b.set_expected([(Name::from("b"), Name::from("m:x"), Time::ZERO)]),
        BalancerRequest { adapter: Some(Name::from("m:x")), ..request("m") } => "b";
}

#[test]
fn requests_are_balanced_by_load() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let first = send(&mut balancer, Time::ZERO, &request("m"));
    let second = send(&mut balancer, Time::ZERO, &request("m"));
    assert_ne!(first.name, second.name);
}

#[test]
fn reported_load_counts_until_it_expires() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let first = send(&mut balancer, Time::ZERO, &request("m"));
    let load = ReportedLoad {
        running: 3,
        waiting: 0,
        slots: SLOTS,
    };
    balancer.report(Time::ZERO, first.key, load);
    balancer.end(Time::ZERO, first.key, AttemptOutcome::Succeeded);
    for _ in 0..2 {
        assert_ne!(
            send(&mut balancer, Time::ZERO, &request("m")).name,
            first.name
        );
    }
    let later = Time::ZERO + Duration::from_secs(5);
    assert_eq!(send(&mut balancer, later, &request("m")).name, first.name);
}

#[test]
fn prompt_goes_to_cached_prefix() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let sharing = |last| BalancerRequest {
        parts: prompt(&[(1, 6_000), (last, 500)]),
        ..request("m")
    };
    let first = send(&mut balancer, Time::ZERO, &sharing(2));
    assert_eq!(first.uncached, 6_500);
    let second = send(&mut balancer, Time::ZERO, &sharing(3));
    assert_eq!((second.name, second.uncached), (first.name, 500));
}

#[test]
fn full_upstream_gets_nothing_until_a_request_ends() {
    let mut balancer = balancer(vec![upstream("a", &["m"])]);
    let mut sent = Vec::new();
    loop {
        match balancer.pick(Time::ZERO, &request("m")) {
            PickResult::Assigned(assigned) => sent.push(assigned),
            PickResult::Full(_) => break,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(sent.len(), 6, "all slots, and half as many queued");
    balancer.end(Time::ZERO, sent[0].key, AttemptOutcome::Succeeded);
    send(&mut balancer, Time::ZERO, &request("m"));
}

#[test]
fn backoff_of_unreachable_upstream_grows() {
    let mut balancer = balancer(vec![upstream("a", &["m"])]);
    let mut now = Time::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..3 {
        let assigned = send(&mut balancer, now, &request("m"));
        balancer.end(now, assigned.key, AttemptOutcome::Unreachable);
        let start = now;
        while !matches!(balancer.pick(now, &request("m")), PickResult::Assigned(_)) {
            now = now + Duration::from_millis(10);
        }
        pauses.push(now.since(start));
    }
    assert!(pauses.is_sorted() && pauses[0] < pauses[2], "{pauses:?}");
}

#[test]
fn model_on_unreachable_upstream_is_not_loaded() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["n"])]);
    let assigned = send(&mut balancer, Time::ZERO, &request("m"));
    balancer.end(Time::ZERO, assigned.key, AttemptOutcome::Unreachable);
    assert!(matches!(
        balancer.pick(Time::ZERO, &request("m")),
        PickResult::NotLoaded
    ));
    assert_eq!(balancer.unreachable(Time::ZERO), [Name::from("a")]);
}

#[test]
fn failing_upstream_is_chosen_last() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let failing = send(&mut balancer, Time::ZERO, &request("m"));
    balancer.end(Time::ZERO, failing.key, AttemptOutcome::Failed);
    for _ in 0..3 {
        assert_ne!(
            send(&mut balancer, Time::ZERO, &request("m")).name,
            failing.name
        );
    }
}

#[test]
fn only_upstream_is_retried_immediately_after_abort() {
    let mut balancer = balancer(vec![upstream("a", &["m"])]);
    let broken = send(&mut balancer, Time::ZERO, &request("m"));
    balancer.end(Time::ZERO, broken.key, AttemptOutcome::Aborted);
    send(&mut balancer, Time::ZERO, &request("m"));
    assert_eq!(balancer.unreachable(Time::ZERO), Vec::<Name>::new());
}

#[test]
fn upstream_that_aborted_is_chosen_last() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let broken = send(&mut balancer, Time::ZERO, &request("m"));
    balancer.end(Time::ZERO, broken.key, AttemptOutcome::Aborted);
    let next = send(&mut balancer, Time::ZERO, &request("m"));
    assert_ne!(next.name, broken.name);
}

// Guards against an upstream that stays out of use after a short silence.
#[test]
fn silent_upstream_that_went_on_is_chosen_at_once() {
    let mut balancer = balancer(vec![upstream("a", &["m"])]);
    let key = send(&mut balancer, Time::ZERO, &request("m")).key;
    balancer.set_responsive(Time::ZERO, key, false);
    assert_eq!(balancer.unreachable(Time::ZERO), [Name::from("a")]);
    let pick = balancer.pick(Time::ZERO, &request("m"));
    assert_eq!(describe(&pick), "not loaded");
    balancer.set_responsive(Time::ZERO, key, true);
    assert_eq!(balancer.unreachable(Time::ZERO), Vec::<Name>::new());
    send(&mut balancer, Time::ZERO, &request("m"));
}

#[test]
fn simultaneous_silence_of_many_requests_counts_once() {
    let mut balancer = balancer(vec![upstream("a", &["m"])]);
    let key = send(&mut balancer, Time::ZERO, &request("m")).key;
    for _ in 0..SLOTS {
        balancer.set_responsive(Time::ZERO, key, false);
    }
    send(&mut balancer, Time::from_millis(250), &request("m"));
}

macro_rules! contacts {
    ($($name:ident: $ends:expr, after $millis:literal => unreachable $unreachable_count:literal, reached $reached:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut balancer = balancer(vec![upstream("a", &["m"])]);
            let key = send(&mut balancer, Time::ZERO, &request("m")).key;
            for outcome in $ends {
                balancer.end(Time::ZERO, key, outcome);
            }
            let now = Time::from_millis($millis);
            assert_eq!(balancer.unreachable(now).len(), usize::from($unreachable_count));
            assert_eq!(balancer.reached(now).len(), usize::from($reached));
        }
    )*};
}

contacts! {
    unreachable_upstream_is_reported: [AttemptOutcome::Unreachable], after 0 => unreachable true, reached false;
    unreachable_upstream_is_reported_beyond_first_backoff: [AttemptOutcome::Unreachable], after 2_000 => unreachable true, reached false;
    report_of_unreachable_upstream_expires: [AttemptOutcome::Unreachable], after 4_000 => unreachable false, reached false;
    later_answer_clears_unreachable_report: [AttemptOutcome::Unreachable, AttemptOutcome::Succeeded], after 0 => unreachable false, reached true;
    refusal_counts_as_reached: [AttemptOutcome::Full], after 0 => unreachable false, reached true;
    cancelled_request_reports_nothing: [AttemptOutcome::Cancelled], after 0 => unreachable false, reached false;
    recent_answer_is_reported: [AttemptOutcome::Succeeded], after 500 => unreachable false, reached true;
    old_answer_is_not_reported: [AttemptOutcome::Succeeded], after 1_000 => unreachable false, reached false;
}

/// Returns two upstreams, of which the first has a limit and two tokens.
fn limited_balancer(now: Time) -> Balancer {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["n"])]);
    let mut told = ToldLimit {
        named: NamedRate {
            rate: RequestRate::per_second(2.0),
            observed: now,
        },
        term: 1,
        ..ToldLimit::default()
    };
    for granted in [0, 2] {
        told.granted = granted;
        balancer.apply_limit(now, &Name::from("a"), 1, told);
    }
    balancer
}

#[test]
fn a_limited_upstream_gets_a_request_for_each_token() {
    let now = Time::from_millis(1_000);
    let mut balancer = limited_balancer(now);
    let picks = (0..3).map(|_| describe(&balancer.pick(now, &request("m"))).to_owned());
    assert_eq!(picks.collect::<Vec<_>>(), ["a", "a", "limited"]);
    assert!(balancer.unreachable(now).is_empty());
}

#[test]
fn an_upstream_without_a_limit_is_chosen_when_the_tokens_are_used() {
    let now = Time::from_millis(1_000);
    let mut balancer = limited_balancer(now);
    balancer.update(&listed(upstream("c", &["m"]), false));
    for _ in 0..4 {
        send(&mut balancer, now, &request("m"));
    }
    let load = balancer.pick(now, &request("m"));
    assert_eq!(describe(&load), "c");
}

// Guards against tokens that are hoarded for a request that waits.
#[test]
fn a_waiting_request_counts_once_as_demand() {
    let now = Time::from_millis(1_000);
    let mut balancer = limited_balancer(now);
    for _ in 0..3 {
        balancer.pick(now, &request("m"));
    }
    let waiting = BalancerRequest {
        is_waiting: true,
        ..request("m")
    };
    for _ in 0..20 {
        assert_eq!(describe(&balancer.pick(now, &waiting)), "limited");
    }
    let reports = balancer.report_limits(now);
    assert_eq!(reports[0].2.tokens.wanted, 3);
}

/// Guards against requests that wait for an adapter long after its load has ended: no
/// event says that it has.
#[test]
fn a_request_is_told_when_the_load_that_it_waits_for_ends() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let (now, ready) = (Time::from_millis(100), Time::from_millis(140));
    let request = BalancerRequest {
        adapter: Some(Name::from("m:a1")),
        ..request("m")
    };
    assert_eq!(balancer.next_expected(now, &request), None);
    let later = ready + Duration::from_millis(60);
    let loads = [
        ("a", "m:a1", later),
        ("b", "m:a1", ready),
        ("a", "m:a2", now),
    ];
    let loads = loads.map(|(upstream, model, at)| (Name::from(upstream), Name::from(model), at));
    balancer.set_expected(loads);
    assert!(matches!(
        balancer.pick(now, &request),
        PickResult::NotLoaded
    ));
    assert_eq!(balancer.next_expected(now, &request), Some(ready));
    let assigned = send(&mut balancer, ready, &request);
    assert_eq!(assigned.name, Name::from("b"));
    assert_eq!(balancer.next_expected(ready, &request), Some(later));
}

/// Lets an upstream name how many requests it can reject in a second.
fn name_tolerance(balancer: &mut Balancer, upstream: &str, model: &str, rate: Option<f64>) {
    let tried = ["a", "b"].iter().filter(|name| **name != upstream);
    let only = BalancerRequest {
        tried: tried.map(|name| Name::from(*name)).collect(),
        ..request(model)
    };
    let sent = send(balancer, Time::ZERO, &only);
    let rate = rate.and_then(RequestRate::per_second);
    balancer.observe_tolerance(Time::ZERO, sent.key, Time::ZERO, rate);
    balancer.end(Time::ZERO, sent.key, AttemptOutcome::Succeeded);
}

picks! {
    a_brittle_upstream_needs_a_place: |b| name_tolerance(b, "b", "n", Some(5.0)), request("n") => "needs a place";
    one_that_tolerates_nothing_needs_a_place: |b| name_tolerance(b, "b", "n", Some(0.0)), request("n") => "needs a place";
    one_that_has_not_answered_counts_like_its_pool: |b| name_tolerance(b, "b", "n", Some(5.0)),
        BalancerRequest { tried: vec![Name::from("b")], ..request("m") } => "needs a place";
    a_sound_upstream_beside_a_brittle_one_needs_none: |b| {
        name_tolerance(b, "a", "m", None);
        name_tolerance(b, "b", "n", Some(5.0));
    }, BalancerRequest { tried: vec![Name::from("b")], ..request("m") } => "a";
    a_sound_upstream_is_used_if_the_brittle_one_has_no_place: |b| {
        name_tolerance(b, "a", "m", None);
        name_tolerance(b, "b", "n", Some(5.0));
    }, BalancerRequest { crowded: vec![Name::from("b")], ..request("m") } => "a";
    brittle_upstreams_without_a_place_are_full: |b| name_tolerance(b, "b", "n", Some(5.0)),
        BalancerRequest { crowded: vec![Name::from("b")], ..request("n") } => "full";
    an_upstream_that_is_no_longer_brittle_needs_no_place: |b| {
        name_tolerance(b, "b", "n", Some(5.0));
        withdraw_tolerance(b);
    }, request("n") => "b";
}

/// Lets the upstream `b` answer a later request without naming a tolerance.
fn withdraw_tolerance(balancer: &mut Balancer) {
    let PickResult::NeedsPlace(candidates) = balancer.pick(Time::ZERO, &request("n")) else {
        panic!("the upstream must be brittle");
    };
    let sent = balancer.assign_place(Time::ZERO, &request("n"), &candidates[0]);
    let sent = sent.expect("the upstream must be there");
    let later = Time::from_millis(10);
    balancer.observe_tolerance(later, sent.key, later, None);
    balancer.end(later, sent.key, AttemptOutcome::Succeeded);
}

// Guards against a gateway that ends when an upstream reports a number that is too large.
#[test]
fn a_load_beyond_any_number_does_no_harm() {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["m"])]);
    let first = send(&mut balancer, Time::ZERO, &request("m"));
    let load = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
    };
    balancer.report(Time::ZERO, first.key, load);
    let second = send(&mut balancer, Time::ZERO, &request("m"));
    assert_ne!(first.name, second.name);
}

/// Returns a balancer whose upstreams start anew after one of them was brittle.
fn restarted_after_brittle() -> Balancer {
    let mut balancer = balancer(vec![upstream("a", &["m"]), upstream("b", &["n"])]);
    name_tolerance(&mut balancer, "a", "m", Some(5.0));
    for (name, model) in [("a", "m"), ("b", "n")] {
        let state = UpstreamState {
            epoch: 2,
            ..upstream(name, &[model])
        };
        balancer.update(&listed(state, false));
    }
    balancer
}

// Guards against brittle upstreams that all start anew at once and fall over again, since
// nobody knows yet that they are brittle.
#[test]
fn brittle_upstreams_that_all_start_anew_still_need_places() {
    let mut balancer = restarted_after_brittle();
    let pick = balancer.pick(Time::ZERO, &request("m"));
    assert_eq!(describe(&pick), "needs a place");
}

// Guards against places for upstreams whose next starts are sound.
#[test]
fn upstreams_whose_next_start_is_sound_need_no_places() {
    let mut balancer = restarted_after_brittle();
    let PickResult::NeedsPlace(candidates) = balancer.pick(Time::ZERO, &request("m")) else {
        panic!("no place is needed");
    };
    let placed = balancer.assign_place(Time::ZERO, &request("m"), &candidates[0]);
    let key = placed.expect("the upstream is there").key;
    balancer.observe_tolerance(Time::ZERO, key, Time::ZERO, None);
    balancer.end(Time::ZERO, key, AttemptOutcome::Succeeded);
    for model in ["m", "n"] {
        let pick = balancer.pick(Time::ZERO, &request(model));
        assert!(matches!(pick, PickResult::Assigned(_)), "{pick:?}");
    }
}

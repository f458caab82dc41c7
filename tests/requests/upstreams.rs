//! Upstreams that fail in every way, and what that costs a caller.

use crate::{
    cases,
    fleet::{Fleet, Seen, Setup, impatient, wait_until},
};
use hyper::Method;
use sequoiawing::{
    runtime::{Clock, sleep, spawn},
    standin::{Fault, Service},
};
use std::time::Duration;

/// Starts two services, the first of which fails.
async fn start(fault: Fault) -> Fleet {
    let fleet = Fleet::start(Setup {
        services: 2,
        settings: impatient(),
        ..Setup::default()
    })
    .await;
    fleet.services[0].set_fault(fault);
    fleet
}

/// How soon a leaving upstream must get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// The calls that are sent at once, so that both services get some.
const BATCH: usize = 8;

/// Sends calls until the failing service has had one, and returns the answers.
async fn send_until_failed(fleet: &Fleet, path: &str) -> Vec<Seen> {
    let mut answers = Vec::new();
    let reached = || {
        !fleet.services[0].calls().is_empty() || !fleet.services[0].recorded_requests().is_empty()
    };
    while !reached() {
        assert!(answers.len() < 100, "the failing service is never chosen");
        let first = answers.len();
        let calls: Vec<_> = (first..first + BATCH)
            .map(|i| {
                let call = fleet.call(path).with_body(format!("call {i}"));
                spawn(call.with_header("sequoiawing-deadline-ms", "2000").send())
            })
            .collect();
        for call in calls {
            answers.push(call.await);
        }
    }
    answers
}

/// Expects that every caller got the whole answer to its own call.
fn assert_own(answers: &[Seen]) {
    for (i, answer) in answers.iter().enumerate() {
        assert_eq!(answer.text(), format!("done: call {i}"), "{answer:?}");
    }
}

/// Expects that a fault costs a call that may be repeated nothing.
async fn assert_made_good(fault: Fault) {
    let fleet = start(fault).await;
    assert_own(&send_until_failed(&fleet, "/look").await);
}

/// Expects that a call that may not be repeated ran at most once, and that its
/// caller is told that nobody knows.
async fn assert_told(fault: Fault) {
    let fleet = start(fault).await;
    let answers = send_until_failed(&fleet, "/grant").await;
    let mut told = 0;
    for (i, answer) in answers.iter().enumerate() {
        if answer.status == 200 {
            assert_eq!(answer.text(), format!("done: call {i}"), "{answer:?}");
            continue;
        }
        assert_eq!(answer.code(), "upstream_failed", "{answer:?}");
        assert_eq!(answer.ran(), "unknown");
        told += 1;
    }
    assert!(told > 0);
    assert_eq!(fleet.runs(), answers.len());
}

/// Expects that an answer that breaks off in the middle is not whole.
async fn assert_broken(fault: Fault) {
    let fleet = start(fault).await;
    let answers = send_until_failed(&fleet, "/grant").await;
    let mut broken = 0;
    for (i, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200);
        match &answer.body {
            Ok(text) => assert_eq!(*text, format!("done: call {i}")),
            Err(_) => broken += 1,
        }
    }
    assert!(broken > 0);
    assert_eq!(fleet.runs(), answers.len());
}

/// Names the cases of one fault after the other.
macro_rules! faults {
    ($check:ident: $($name:ident: $fault:ident;)*) => {
        cases! { $($name { $check(Fault::$fault).await; })* }
    };
}

faults! { assert_made_good:
    a_frozen_upstream_is_made_good: Freeze;
    an_upstream_that_falls_silent_is_made_good: Stall;
    an_answer_that_breaks_off_is_made_good: Abort;
    a_crossed_answer_is_made_good: WrongAttempt;
    an_upstreams_error_is_made_good: Fail;
    an_upstream_that_takes_nothing_is_made_good: Refuse;
    rubbish_is_made_good: InvalidHttp;
    an_answer_without_a_length_is_made_good: Unframed;
    a_hang_up_is_made_good: Disconnect;
}

faults! { assert_told:
    a_frozen_upstream_is_told: Freeze;
    a_crossed_answer_is_told: WrongAttempt;
    rubbish_is_told: InvalidHttp;
    an_answer_without_a_length_is_told: Unframed;
    a_hang_up_is_told: Disconnect;
}

faults! { assert_broken:
    a_broken_answer_that_may_not_be_repeated_is_never_whole: Abort;
    a_silent_answer_that_may_not_be_repeated_is_cut_off: Stall;
}

cases! {
    an_upstream_that_takes_nothing_costs_no_call_anything {
        let fleet = start(Fault::Refuse).await;
        assert_own(&send_until_failed(&fleet, "/grant").await);
    }

    an_upstreams_own_error_is_relayed_when_nothing_better_comes {
        let fleet = start(Fault::Fail).await;
        fleet.services[1].set_fault(Fault::Fail);
        let answer = fleet.call("/look").send().await;
        assert_eq!((answer.status.as_u16(), answer.text()), (500, "the service failed"));
        assert_eq!(answer.ran(), "yes");
    }

    a_stray_answer_is_given_to_nobody {
        let fleet = start(Fault::ExtraResponse).await;
        fleet.services[1].set_fault(Fault::ExtraResponse);
        for i in 0..20 {
            let body = format!("call {i}");
            let answer = fleet.call("/look").with_body(body.clone()).send().await;
            assert_eq!(answer.text(), format!("done: {body}"));
        }
    }

    connections_that_close_when_idle_cost_no_call_anything {
        let fleet = start(Fault::CloseIdle).await;
        fleet.services[1].set_fault(Fault::CloseIdle);
        for path in ["/look", "/grant"] {
            for i in 0..20 {
                let body = format!("call {i}");
                let answer = fleet.call(path).with_body(body.clone()).send().await;
                assert_eq!(answer.text(), format!("done: {body}"));
            }
        }
        assert_eq!(fleet.runs(), 40);
    }

    an_answer_before_the_whole_request_is_relayed {
        let fleet = start(Fault::EarlyResponse).await;
        fleet.services[1].set_fault(Fault::EarlyResponse);
        for path in ["/look", "/grant"] {
            let answer = fleet.call(path).with_body("x".repeat(4_000_000)).send().await;
            assert_eq!(answer.text(), "done: ");
        }
    }

    a_dead_upstream_costs_no_call_anything {
        let fleet = start(Fault::None).await;
        fleet.services[0].stop();
        sleep(Duration::from_millis(20)).await;
        for i in 0..20 {
            let answer = fleet.call("/grant").with_body(format!("call {i}")).send().await;
            assert_eq!(answer.text(), format!("done: call {i}"));
        }
        assert_eq!(fleet.runs(), 20);
    }

    a_failing_pool_is_not_stormed {
        let fleet = start(Fault::Refuse).await;
        fleet.services[1].set_fault(Fault::Refuse);
        let clock = Clock::start();
        for _ in 0..20 {
            let calls: Vec<_> = (0..20).map(|_| spawn(fleet.call("/look").send())).collect();
            for call in calls {
                let answer = call.await;
                assert_eq!((answer.status.as_u16(), answer.ran().as_str()), (502, "no"));
                assert!(answer.headers.contains_key("retry-after"));
            }
        }
        let asked: u64 = fleet.services.iter().map(Service::received_calls).sum();
        // The first attempts, the saved retries, a fifth of the first attempts,
        // and one retry a second.
        let allowed = 400 + 100 + 80 + clock.elapsed().as_secs() + 1;
        assert!(asked <= allowed, "{asked} attempts, {allowed} allowed");
    }

    a_leaving_upstream_gets_no_new_work {
        let fleet = start(Fault::None).await;
        fleet.services[0].leave();
        sleep(LEAVE_LIMIT).await;
        let before = fleet.services[0].calls().len();
        for _ in 0..20 {
            assert_eq!(fleet.call("/look").send().await.status, 200);
        }
        assert_eq!(fleet.services[0].calls().len(), before);
    }

    a_get_is_forwarded_with_its_query {
        let fleet = start(Fault::None).await;
        let call = fleet.call("/look/strip?day=7&x=a%20b").with_method(Method::GET);
        assert_eq!(call.with_body("").send().await.status, 200);
        let seen = || {
            let all = fleet.services.iter().flat_map(Service::recorded_requests);
            std::future::ready(all.into_iter().any(|r| r.contains("/look/strip?day=7&x=a%20b")))
        };
        wait_until("it is seen", seen).await;
    }
}

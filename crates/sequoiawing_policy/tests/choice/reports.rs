use crate::fleet::{finish, handle, request, router, runner, send};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_policy::{DispatchEvent, Dispatcher};

const ROUTERS: usize = 40;
const RUNNERS: usize = 8;

/// The prompt prefix that is looked up in caches.
const PREFIX: u64 = 7;

/// Many routers have the same outdated report, in which one runner was idle.
/// They must not all choose that runner.
#[test]
fn routers_with_same_stale_report_choose_different_runners() {
    let mut sent = 0;
    for i in 0..ROUTERS {
        let mut dispatcher = router(i);
        for number in 0..RUNNERS {
            let running = if number == 3 { 0 } else { 2 };
            let state = UpstreamState {
                running,
                ..runner(number, 1)
            };
            handle(&mut dispatcher, 0, DispatchEvent::Announced(state.into()));
        }
        let upstream = send(&mut dispatcher, 1, request(1, 0));
        sent += usize::from(upstream.as_str() == "runner-3");
    }
    assert!(sent > 0, "the idle runner is chosen by some routers");
    assert!(
        sent <= ROUTERS / 2,
        "{sent} of {ROUTERS} routers chose the same runner"
    );
}

/// A late cache event still attracts the prompts that follow.
#[test]
fn late_cache_event_attracts_its_prompt() {
    let mut dispatcher = announced_router();
    let event = UpstreamState {
        stored: vec![PREFIX],
        ..runner(5, 2)
    };
    handle(
        &mut dispatcher,
        9_000,
        DispatchEvent::Announced(event.into()),
    );
    for id in 0..20 {
        let upstream = send(&mut dispatcher, 10_000 + id, request(id, PREFIX));
        assert_eq!(upstream.as_str(), "runner-5");
        finish(&mut dispatcher, 10_000 + id, id, true);
    }
}

/// Returns a router that has received an announcement of every runner.
fn announced_router() -> Dispatcher {
    let mut dispatcher = router(0);
    for number in 0..RUNNERS {
        handle(
            &mut dispatcher,
            0,
            DispatchEvent::Announced(runner(number, 1).into()),
        );
    }
    dispatcher
}

/// Without any cache event a router uses the record of its own requests.
#[test]
fn missing_cache_event_falls_back_to_own_requests() {
    let mut dispatcher = announced_router();
    let first = send(&mut dispatcher, 1, request(0, PREFIX));
    // Other prompts keep the first runner busier than the others.
    for id in 100..104 {
        send(&mut dispatcher, 1, request(id, 0));
    }
    for id in 1..10 {
        let upstream = send(&mut dispatcher, 1 + id, request(id, PREFIX));
        assert_eq!(upstream, first);
        finish(&mut dispatcher, 1 + id, id, true);
    }
}

/// A runner that has the cached prompt but is nearly full is not chosen.
#[test]
fn cached_prompt_does_not_overload_its_runner() {
    let mut dispatcher = announced_router();
    let event = UpstreamState {
        stored: vec![PREFIX],
        running: 13,
        ..runner(5, 2)
    };
    handle(&mut dispatcher, 1, DispatchEvent::Announced(event.into()));
    let upstream = send(&mut dispatcher, 2, request(1, PREFIX));
    assert_ne!(upstream.as_str(), "runner-5");
}

use crate::fleet::{SLOTS, finish, handle, request, router, runner, send};
use sequoiawing_policy::{DispatchEvent, DispatchRequest, Dispatcher};
use sequoiawing_types::{Name, Time};
use std::collections::VecDeque;

const RUNNERS: usize = 2;
const REQUESTS: u64 = 200;

/// The interval between ticks of the dispatcher, in milliseconds.
const TICK: u64 = 50;

/// The time at which the pool recovers, in milliseconds.
const RECOVERY: u64 = 10_000;

/// The duration of a request, in milliseconds.
const SERVICE: u64 = 500;

/// The number of attempts that is certainly a retry storm.
const RETRY_STORM: usize = 10_000;

/// A pool that fails every request immediately until it recovers.
#[derive(Default)]
struct FailingPool {
    now: u64,
    attempts: usize,
    /// The peak number of concurrent requests on one runner.
    peak: usize,
    /// The number of requests sent to a recovered runner while its first
    /// request was still running.
    premature: usize,
    recovered: Vec<Name>,
    running: Vec<(u64, u64, Name)>,
    done: Vec<u64>,
}

impl FailingPool {
    fn take(&mut self, dispatcher: &mut Dispatcher, assigned: Vec<(u64, Name)>) {
        let mut assigned = VecDeque::from(assigned);
        while let Some((id, upstream)) = assigned.pop_front() {
            if self.now >= RECOVERY {
                self.start(id, upstream);
                continue;
            }
            self.attempts += 1;
            assert!(
                self.attempts < RETRY_STORM,
                "retry storm: {RETRY_STORM} attempts"
            );
            assigned.extend(finish(dispatcher, self.now, id, false));
            let again = DispatchRequest {
                avoid: vec![upstream],
                ..request(id, 0)
            };
            assigned.extend(handle(dispatcher, self.now, DispatchEvent::Arrived(again)));
        }
    }

    fn start(&mut self, id: u64, upstream: Name) {
        let here = self
            .running
            .iter()
            .filter(|(_, _, on)| *on == upstream)
            .count();
        self.premature += usize::from(here > 0 && !self.recovered.contains(&upstream));
        self.peak = self.peak.max(here + 1);
        self.running.push((self.now + SERVICE, id, upstream));
    }

    fn end(&mut self, dispatcher: &mut Dispatcher) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|(at, _, _)| *at <= now);
        self.running = running;
        let ended: Vec<(u64, u64, Name)> = ended;
        for (_, id, upstream) in ended {
            self.done.push(id);
            self.recovered.push(upstream);
            let assigned = finish(dispatcher, now, id, true);
            self.take(dispatcher, assigned);
        }
    }

    /// Queues requests for the pool, half of which expire before it recovers,
    /// and simulates until `end`.
    fn run(end: u64) -> Self {
        let mut pool = Self::default();
        let mut dispatcher = router(0);
        for number in 0..RUNNERS {
            handle(
                &mut dispatcher,
                0,
                DispatchEvent::Announced(runner(number, 1).into()),
            );
        }
        for id in 0..REQUESTS {
            let deadline = if id % 2 == 0 { 60_000 } else { 9_000 };
            let deadline = Time::from_millis(deadline);
            let first = DispatchRequest {
                deadline,
                ..request(id, 0)
            };
            let assigned = handle(&mut dispatcher, 0, DispatchEvent::Arrived(first));
            pool.take(&mut dispatcher, assigned);
        }
        while pool.now < end {
            pool.now += TICK;
            pool.end(&mut dispatcher);
            let assigned = handle(&mut dispatcher, pool.now, DispatchEvent::Tick);
            pool.take(&mut dispatcher, assigned);
        }
        pool
    }
}

/// With backoffs that double from 500 ms, each runner is tried at 0, 0.5, 1.5,
/// 3.5 and 7.5 s, regardless of the number of queued requests.
#[test]
fn failing_pool_gets_no_retry_storm() {
    let pool = FailingPool::run(RECOVERY - TICK);
    let peak = 6 * RUNNERS;
    assert!(pool.attempts >= RUNNERS, "the runners are tried");
    assert!(
        pool.attempts <= peak,
        "{} attempts, at most {peak}",
        pool.attempts
    );
}

/// After recovery, the remaining requests must be served without overloading
/// the runners, and expired requests must not take up slots.
#[test]
fn recovered_pool_is_not_overloaded() {
    let pool = FailingPool::run(40_000);
    assert_eq!(pool.premature, 0, "each runner gets a single request first");
    assert!(
        pool.peak <= SLOTS as usize,
        "{} concurrent requests",
        pool.peak
    );
    let in_time = pool.done.iter().filter(|id| **id % 2 == 0).count();
    let expected = usize::try_from(REQUESTS / 2).unwrap_or(0);
    assert!(
        in_time + RUNNERS >= expected,
        "{in_time} of {expected} requests served"
    );
}

/// A runner that is ten times slower than the other gets fewer requests, but is
/// still tried.
#[test]
fn slow_runner_gets_fewer_requests_but_is_tried() {
    let mut dispatcher = router(0);
    for number in 0..RUNNERS {
        handle(
            &mut dispatcher,
            0,
            DispatchEvent::Announced(runner(number, 1).into()),
        );
    }
    let mut now = 0;
    let mut slow = 0;
    for id in 0..REQUESTS {
        let deadline = Time::from_millis(now + 60_000);
        let next = DispatchRequest {
            deadline,
            ..request(id, 0)
        };
        let upstream = send(&mut dispatcher, now, next);
        let is_slow = upstream.as_str() == "runner-0";
        slow += u64::from(is_slow);
        now += if is_slow { 5_000 } else { 500 };
        finish(&mut dispatcher, now, id, true);
    }
    assert!(slow > 0, "the slow runner is tried");
    assert!(
        slow * 5 < REQUESTS * 2,
        "{slow} of {REQUESTS} requests went to the slow runner"
    );
}

use crate::fleet::{SLOTS, finish, router, runner, send, tell, work};
use sequoiawing_policy::{DispatchEvent, Dispatcher, Work};
use sequoiawing_types::{Name, Time};
use std::collections::VecDeque;

const RUNNERS: usize = 2;
const REQUESTS: u64 = 200;

/// How often the dispatcher is told the time, in milliseconds.
const TICK: u64 = 50;

/// When the pool returns, in milliseconds.
const RETURN: u64 = 10_000;

/// How long a request runs, in milliseconds.
const SERVICE: u64 = 500;

/// The attempts that are a storm beyond doubt.
const STORM: usize = 10_000;

/// A pool that fails every request at once until it returns.
#[derive(Default)]
struct FailingPool {
    now: u64,
    attempts: usize,
    /// Most requests that ran at once on one runner.
    most: usize,
    /// The runners that were sent a second request after their return before a
    /// first one had succeeded.
    hasty: usize,
    proven: Vec<Name>,
    running: Vec<(u64, u64, Name)>,
    done: Vec<u64>,
}

impl FailingPool {
    fn take(&mut self, dispatcher: &mut Dispatcher, assigned: Vec<(u64, Name)>) {
        let mut assigned = VecDeque::from(assigned);
        while let Some((id, upstream)) = assigned.pop_front() {
            if self.now >= RETURN {
                self.start(id, upstream);
                continue;
            }
            self.attempts += 1;
            assert!(self.attempts < STORM, "a storm of attempts");
            assigned.extend(finish(dispatcher, self.now, id, false));
            let again = Work {
                avoid: vec![upstream],
                ..work(id, 0)
            };
            assigned.extend(tell(dispatcher, self.now, DispatchEvent::Arrived(again)));
        }
    }

    fn start(&mut self, id: u64, upstream: Name) {
        let here = self
            .running
            .iter()
            .filter(|(_, _, on)| *on == upstream)
            .count();
        self.hasty += usize::from(here > 0 && !self.proven.contains(&upstream));
        self.most = self.most.max(here + 1);
        self.running.push((self.now + SERVICE, id, upstream));
    }

    fn end(&mut self, dispatcher: &mut Dispatcher) {
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|(at, _, _)| *at <= now);
        self.running = running;
        let ended: Vec<(u64, u64, Name)> = ended;
        for (_, id, upstream) in ended {
            self.done.push(id);
            self.proven.push(upstream);
            let assigned = finish(dispatcher, now, id, true);
            self.take(dispatcher, assigned);
        }
    }

    /// Lets requests wait for the pool, of which every second one would come
    /// too late by its return, and returns what happened until `end`.
    fn run(end: u64) -> Self {
        let mut pool = Self::default();
        let mut dispatcher = router(0);
        for number in 0..RUNNERS {
            tell(
                &mut dispatcher,
                0,
                DispatchEvent::Announced(runner(number, 1).into()),
            );
        }
        for id in 0..REQUESTS {
            let deadline = if id % 2 == 0 { 60_000 } else { 9_000 };
            let deadline = Time::from_millis(deadline);
            let first = Work {
                deadline,
                ..work(id, 0)
            };
            let assigned = tell(&mut dispatcher, 0, DispatchEvent::Arrived(first));
            pool.take(&mut dispatcher, assigned);
        }
        while pool.now < end {
            pool.now += TICK;
            pool.end(&mut dispatcher);
            let assigned = tell(&mut dispatcher, pool.now, DispatchEvent::Tick);
            pool.take(&mut dispatcher, assigned);
        }
        pool
    }
}

/// With pauses that double from half a second, each runner is tried at 0, 0.5,
/// 1.5, 3.5 and 7.5 s, whatever waits.
#[test]
fn a_failing_pool_is_not_stormed() {
    let pool = FailingPool::run(RETURN - TICK);
    let most = 6 * RUNNERS;
    assert!(pool.attempts >= RUNNERS, "the runners are tried");
    assert!(
        pool.attempts <= most,
        "{} attempts, at most {most}",
        pool.attempts
    );
}

/// When the pool returns, what is left is served at the pool's own pace, and
/// what is too late by then takes nobody's place.
#[test]
fn a_pool_that_returns_does_not_collapse_again() {
    let pool = FailingPool::run(40_000);
    assert_eq!(pool.hasty, 0, "each runner is tried with one request first");
    assert!(pool.most <= SLOTS as usize, "{} at once", pool.most);
    let in_time = pool.done.iter().filter(|id| **id % 2 == 0).count();
    let expected = usize::try_from(REQUESTS / 2).unwrap_or(0);
    assert!(
        in_time + RUNNERS >= expected,
        "{in_time} of {expected} served"
    );
}

/// A runner ten times as slow as its twin gets less, but is tried again.
#[test]
fn a_slow_runner_is_left_and_tried_again() {
    let mut dispatcher = router(0);
    for number in 0..RUNNERS {
        tell(
            &mut dispatcher,
            0,
            DispatchEvent::Announced(runner(number, 1).into()),
        );
    }
    let mut now = 0;
    let mut slow = 0;
    for id in 0..REQUESTS {
        let deadline = Time::from_millis(now + 60_000);
        let next = Work {
            deadline,
            ..work(id, 0)
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
        "{slow} of {REQUESTS} went to the slow one"
    );
}

//! Randomized tests with fixed seeds. They guard against totals that are
//! exceeded and, while all hosts are connected, against requests that are
//! refused although a single bucket would admit them.

#[allow(dead_code, reason = "each test uses a part of the support module")]
mod support;

use rand::RngExt;
use sequoiawing_budget::Limits;
use sequoiawing_types::Time;
use std::time::Duration;
use support::{InjectedFault, Node, Settings, World};

/// The duration of each run in virtual time.
const SPAN: Duration = Duration::from_secs(12);

/// The range of the time between two faults, in milliseconds. Each run picks
/// one value.
const FAULT_INTERVAL: std::ops::Range<u64> = 100..1_500;

/// Sends requests from all routers, at `load` times the rate.
fn run_load(world: &mut World, load: f64, faults: bool) -> Result<(), String> {
    let pause = Duration::from_millis(world.rng.random_range(FAULT_INTERVAL));
    let mut fault = Time::ZERO + pause;
    let end = Time::ZERO + SPAN;
    let mean = world.settings.limits.burst / 50;
    #[allow(clippy::cast_precision_loss, reason = "the values are small")]
    let gap = mean as f64 / (world.settings.limits.rate() as f64 * load);
    while world.now < end {
        let factor = -world.rng.random::<f64>().max(1e-9).ln();
        let next = world.now + Duration::from_secs_f64(gap * factor);
        world.run_until(next)?;
        let c = world.rng.random_range(0..world.settings.centres);
        let r = world.rng.random_range(0..world.settings.routers);
        let tokens = world.rng.random_range(1..mean * 2);
        world.request(c, r, tokens);
        if faults && world.now >= fault {
            fault = world.now + pause;
            inject_random_fault(world);
        }
    }
    world.run_until(end)
}

/// Injects or ends a random fault.
fn inject_random_fault(world: &mut World) {
    let c = world.rng.random_range(0..world.settings.centres);
    let r = world.rng.random_range(0..world.settings.routers);
    match world.rng.random_range(0..14) {
        0 | 1 => world.network.heal(),
        2 => {
            world.network.cut(Node::Owner, Node::Centre(c));
            world.network.cut(Node::Centre(c), Node::Owner);
        }
        3 => world.network.cut(Node::Owner, Node::Centre(c)),
        4 => world.network.cut(Node::Centre(c), Node::Owner),
        5 => world.network.cut(Node::Centre(c), Node::Router(c, r)),
        6 => world.network.cut(Node::Router(c, r), Node::Centre(c)),
        7 => world.stop_owner(),
        8 | 9 if !world.has_owner() => world.start_owner(),
        10 => world.stop_leader(c),
        11 | 12 if !world.has_leader(c) => world.start_leader(c, r),
        13 => world.restart_router(c, r),
        _ => {}
    }
}

fn run_with_faults(settings: Settings, load: f64) -> (World, Result<(), String>) {
    let mut world = World::new(settings);
    world.network.loss = 0.05;
    world.network.repeat = 0.05;
    world.network.delay = (200, 5_000);
    let result = run_load(&mut world, load, true);
    (world, result)
}

fn assert_never_exceeds(seeds: std::ops::Range<u64>, load: f64) {
    let mut admitted = 0;
    for seed in seeds {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        let (world, result) = run_with_faults(settings, load);
        result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        admitted += world.checker.admitted;
    }
    assert!(admitted > 1_000, "only {admitted} requests were admitted");
}

macro_rules! total_cases {
    ($($name:ident: $seeds:expr, $load:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_never_exceeds($seeds, $load);
        }
    )*};
}

total_cases! {
    total_holds_at_half_the_rate: 0..24, 0.5;
    total_holds_at_the_rate: 100..124, 1.0;
    total_holds_at_five_times_the_rate: 200..224, 5.0;
}

fn assert_whole_rate_is_served(seeds: std::ops::Range<u64>, load: f64, exact: bool) {
    for seed in seeds {
        let settings = Settings {
            seed,
            exact,
            check_refusals: true,
            // Tags are older than the charges that carry them, so refunds after
            // the bucket was full are slightly lower than on a single host.
            slack: if exact {
                0
            } else {
                Settings::default().limits.burst / 10
            },
            ..Settings::default()
        };
        let mut world = World::new(settings);
        let result = run_load(&mut world, load, false);
        result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let wrong_refusals = world.wrong_refusals;
        assert_eq!(
            wrong_refusals, 0,
            "seed {seed}: refused although one bucket would admit the request"
        );
    }
}

macro_rules! rate_cases {
    ($($name:ident: $seeds:expr, $load:expr, $exact:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_whole_rate_is_served($seeds, $load, $exact);
        }
    )*};
}

rate_cases! {
    no_request_is_refused_below_the_rate: 0..12, 0.7, true;
    no_request_is_refused_wrongly_above_the_rate: 20..32, 3.0, true;
    refunds_are_available_again: 40..52, 2.0, false;
}

/// Runs a script that must pass, and then again with an injected fault, which
/// the checker must catch.
fn assert_fault_is_caught<F>(injected_fault: InjectedFault, limits: Limits, script: F)
where
    F: Fn(&mut World) -> Result<(), String>,
{
    let run = |injected_fault| {
        let settings = Settings {
            limits,
            injected_fault,
            ..Settings::default()
        };
        script(&mut World::new(settings))
    };
    assert_eq!(run(InjectedFault::None), Ok(()));
    run(injected_fault).expect_err("the checker missed the injected fault");
}

/// Sends requests from all routers, far above the rate.
fn send_overload(world: &mut World, span: Duration) -> Result<(), String> {
    let end = world.now + span;
    while world.now < end {
        for c in 0..world.settings.centres {
            for r in 0..world.settings.routers {
                let most = (world.settings.limits.burst / 50).max(1);
                let tokens = world.rng.random_range(1..=most);
                world.request(c, r, tokens);
            }
        }
        let next = world.now + Duration::from_millis(10);
        world.run_until(next)?;
    }
    Ok(())
}

fn tokens() -> Limits {
    Settings::default().limits
}

#[test]
fn catches_a_share_granted_before_release() {
    assert_fault_is_caught(InjectedFault::ShareBeforeRelease, tokens(), |world| {
        send_overload(world, Duration::from_secs(1))?;
        for c in 0..world.settings.centres {
            world.network.cut(Node::Centre(c), Node::Owner);
        }
        send_overload(world, Duration::from_secs(6))
    });
}

#[test]
fn catches_an_ignored_watermark() {
    assert_fault_is_caught(InjectedFault::WatermarkIgnored, tokens(), |world| {
        send_overload(world, Duration::from_secs(2))?;
        world.stop_owner();
        world.start_owner();
        send_overload(world, Duration::from_secs(3))
    });
}

#[test]
fn catches_accrual_that_does_not_stop() {
    assert_fault_is_caught(InjectedFault::AccrualNotStopped, tokens(), |world| {
        send_overload(world, Duration::from_secs(1))?;
        world.network.cut(Node::Owner, Node::Centre(0));
        send_overload(world, Duration::from_secs(6))
    });
}

#[test]
fn catches_a_lease_not_waited_out() {
    assert_fault_is_caught(InjectedFault::LeaseNotWaited, Limits::slots(6), |world| {
        send_overload(world, Duration::from_secs(1))?;
        for _ in 0..6 {
            world.network.cut(Node::Centre(0), Node::Router(0, 0));
            world.network.cut(Node::Router(0, 0), Node::Centre(0));
            send_overload(world, Duration::from_millis(700))?;
            world.network.heal();
            send_overload(world, Duration::from_millis(300))?;
        }
        Ok(())
    });
}

#[test]
fn slots_are_never_lent_twice() {
    for seed in 300..306 {
        let settings = Settings {
            seed,
            limits: Limits::slots(12),
            ..Settings::default()
        };
        let mut world = World::new(settings);
        world.network.loss = 0.05;
        world.network.repeat = 0.05;
        for _ in 0..40 {
            inject_random_fault(&mut world);
            let result = send_overload(&mut world, Duration::from_millis(200));
            result.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        }
        assert!(world.checker.admitted > 20, "seed {seed} admitted too few");
    }
}

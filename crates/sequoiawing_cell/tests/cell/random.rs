//! Injects random faults over fixed seeds. Guards against two leaders at once
//! and against a term with two leaderships, and checks that the checker detects
//! injected faults.

use crate::simulation::{InjectedFault, Simulation};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_types::Name;
use std::time::Duration;

const STEPS: u32 = 4_000;
const STEP: Duration = Duration::from_millis(20);

/// The clock speeds, in thousandths of true time, within the drift bound of 10
/// thousandths of the settings.
const SPEEDS: [u64; 3] = [990, 1_000, 1_010];

fn host(i: usize) -> Name {
    Name::from(format!("host-{i}"))
}

/// Runs one seed and returns the first violation, with the number of
/// leaderships.
fn run(number: u64, injected: InjectedFault) -> (Option<String>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut sim = Simulation::new(injected);
    for i in 0..5 {
        let speed = SPEEDS[rng.random_range(0..SPEEDS.len())];
        sim.start(&host(i), speed);
    }
    sim.change_member(&host(0), true);
    for _ in 0..STEPS {
        inject_faults(&mut sim, &mut rng);
        let mut network_rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
        sim.step(STEP, || {
            let lost = network_rng.random_ratio(1, 20);
            let delay = Duration::from_millis(network_rng.random_range(0..120));
            (!lost).then_some(delay)
        });
        if let Some(violation) = sim.violation() {
            return (Some(violation), sim.led.len());
        }
    }
    (check_recovery(&mut sim), sim.led.len())
}

/// Ends all faults and returns a violation if the members then do not follow
/// one leader.
fn check_recovery(sim: &mut Simulation) -> Option<String> {
    const DELAY: Duration = Duration::from_millis(1);
    sim.heal();
    for _ in 0..500 {
        sim.step(STEP, || Some(DELAY));
        if let Some(violation) = sim.violation() {
            return Some(violation);
        }
    }
    let leaderless = sim.members_without_leader();
    (!leaderless.is_empty()).then(|| format!("{leaderless:?} follow no leader"))
}

fn inject_faults<R>(sim: &mut Simulation, rng: &mut R)
where
    R: Rng,
{
    let one = host(rng.random_range(0..5));
    let other = host(rng.random_range(0..5));
    match rng.random_range(0..200) {
        0..3 => {
            sim.cut_links.insert((one, other));
        }
        3..6 => sim.cut_links.clear(),
        6..8 => {
            let speed = SPEEDS[rng.random_range(0..SPEEDS.len())];
            sim.start(&one, speed);
        }
        8 => {
            let span = Duration::from_millis(rng.random_range(100..4_000));
            sim.freeze(&one, span);
        }
        9..11 => {
            sim.change_member(&one, rng.random_ratio(2, 3));
        }
        11 => sim.resign(&one),
        12 => sim.stop(&one),
        13..40 => sim.publish_members(&one),
        _ => {}
    }
}

#[test]
fn no_two_leaders_at_once_over_all_seeds() {
    let mut led = 0;
    for seed in 0..60 {
        let (violation, leaders) = run(seed, InjectedFault::None);
        assert_eq!(violation, None, "seed {seed}");
        led += leaders;
    }
    assert!(
        led > 200,
        "too few leaderships for a meaningful check: {led}"
    );
}

macro_rules! caught {
    ($($name:ident: $injected:expr,)*) => {$(
        #[test]
        fn $name() {
            let caught = (0..60).any(|seed| run(seed, $injected).0.is_some());
            assert!(caught, "the checker does not detect {:?}", $injected);
        }
    )*};
}

caught! {
    catches_a_member_that_grants_every_promise: InjectedFault::GrantsAll,
    catches_member_changes_before_the_epoch_settled: InjectedFault::UnsettledChange,
}

/// Returns a cell of three whose leader, with a slow clock, is partitioned from
/// the other two, with fast clocks, at a time chosen by the seed.
fn partition_slow_leader(rng: &mut ChaCha8Rng, injected: InjectedFault) -> Simulation {
    let mut sim = Simulation::new(injected);
    sim.start(&host(0), SPEEDS[0]);
    sim.start(&host(1), SPEEDS[2]);
    sim.start(&host(2), SPEEDS[2]);
    for i in 0..3 {
        sim.log.members.insert(host(i));
    }
    sim.log.epoch = 1;
    sim.publish_members(&host(0));
    run_for(&mut sim, 2_000);
    sim.publish_members(&host(1));
    sim.publish_members(&host(2));
    run_for(&mut sim, rng.random_range(2_000..2_400));
    for i in 1..3 {
        sim.cut_links.insert((host(0), host(i)));
        sim.cut_links.insert((host(i), host(0)));
    }
    assert_eq!(sim.leaders().len(), 1, "no leader to partition");
    sim
}

fn isolate_leader(number: u64, injected: InjectedFault) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut sim = partition_slow_leader(&mut rng, injected);
    run_for(&mut sim, 4_000)
}

/// Restarts the other two members without their state while the partitioned
/// leader still holds its lease.
fn restart_followers(number: u64, injected: InjectedFault) -> Option<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut sim = partition_slow_leader(&mut rng, injected);
    for i in 1..3 {
        run_for(&mut sim, rng.random_range(0..400));
        sim.start(&host(i), SPEEDS[2]);
        sim.publish_members(&host(i));
    }
    run_for(&mut sim, 4_000)
}

/// Steps by one millisecond at a time and returns the first violation.
fn run_for(sim: &mut Simulation, millis: u32) -> Option<String> {
    const DELAY: Duration = Duration::from_micros(500);
    for _ in 0..millis {
        sim.step(Duration::from_millis(1), || Some(DELAY));
        if let Some(violation) = sim.violation() {
            return Some(violation);
        }
    }
    None
}

macro_rules! directed {
    ($($name:ident: $run:ident, $injected:expr, $caught:expr;)*) => {$(
        #[test]
        fn $name() {
            let caught = (0..100).find_map(|seed| $run(seed, $injected));
            assert_eq!(caught.is_some(), $caught, "{:?}: {caught:?}", $injected);
        }
    )*};
}

directed! {
    a_slow_leader_stops_before_its_promises_expire: isolate_leader, InjectedFault::None, false;
    catches_a_lease_that_ignores_drift: isolate_leader, InjectedFault::IgnoredDrift, true;
    restarted_members_wait_for_the_old_lease: restart_followers, InjectedFault::None, false;
    catches_a_member_that_does_not_wait_after_a_restart: restart_followers, InjectedFault::NoStartupWait, true;
}

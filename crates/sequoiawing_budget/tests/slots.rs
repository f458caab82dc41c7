//! Slots of loads that continue after their leader is lost. Guards against
//! slots that are lent twice, and checks that one connected data centre can use
//! all slots.

#[allow(dead_code, reason = "each test uses a part of the support module")]
#[allow(unused_imports, reason = "each test uses a part of the support module")]
mod support;

use rand::RngExt;
use std::time::Duration;
use support::{
    Node,
    loads::{Fault, LoadWorld, MAX_LOAD, SLOTS},
};

/// The number of faults in each run.
const FAULTS_PER_RUN: usize = 60;

/// Injects or ends a random fault.
fn inject_random_fault(world: &mut LoadWorld) {
    let c = world.rng.random_range(0..3);
    match world.rng.random_range(0..11) {
        0 | 1 => world.network.heal(),
        2 => {
            world.network.cut(Node::Owner, Node::Centre(c));
            world.network.cut(Node::Centre(c), Node::Owner);
        }
        3 => world.network.cut(Node::Owner, Node::Centre(c)),
        4 => world.network.cut(Node::Centre(c), Node::Owner),
        5 => world.stop_owner(),
        6 | 7 if !world.has_owner() => world.start_owner(),
        8 => world.stop_leader(c),
        9 | 10 if !world.has_leader(c) => world.start_leader(c),
        _ => {}
    }
}

/// Injects random faults and returns the number of started loads.
fn run_random_faults(seed: u64, fault: Fault) -> Result<u64, String> {
    let mut world = LoadWorld::new(seed, 3, fault);
    world.network.loss = 0.05;
    world.network.repeat = 0.05;
    for _ in 0..FAULTS_PER_RUN {
        let c = world.rng.random_range(0..3);
        let loads = world.rng.random_range(0..6);
        world.request_loads(c, loads);
        inject_random_fault(&mut world);
        let span = Duration::from_millis(world.rng.random_range(50..4_000));
        world.run(span)?;
    }
    Ok(world.started)
}

#[test]
fn slots_of_loads_are_never_lent_twice() {
    for seed in 0..40 {
        let started = run_random_faults(seed, Fault::None);
        let started = started.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(started > 20, "seed {seed}: only {started} loads");
    }
}

macro_rules! injected_fault_cases {
    ($($name:ident: $fault:ident;)*) => {$(
        #[test]
        fn $name() {
            let caught = (0..60).find(|seed| run_random_faults(*seed, Fault::$fault).is_err());
            println!("caught with seed {caught:?}");
            assert!(caught.is_some(), "no seed caught the injected fault");
        }
    )*};
}

injected_fault_cases! {
    catches_an_ignored_overrun: OverrunIgnored;
    catches_skipped_discovery: DiscoverySkipped;
}

/// Disconnects a data centre while another one uses its share.
fn disconnect_beside_busy_centre(seed: u64, fault: Fault) -> Result<(), String> {
    let mut world = LoadWorld::new(seed, 3, fault);
    world.run(Duration::from_secs(2))?;
    world.request_loads(0, 1_000);
    world.run(MAX_LOAD)?;
    world.network.cut(Node::Centre(1), Node::Owner);
    world.network.cut(Node::Owner, Node::Centre(1));
    world.request_loads(1, 1_000);
    world.run(MAX_LOAD * 4)
}

#[test]
fn catches_a_share_that_is_used_too_early() {
    for seed in 0..20 {
        assert_eq!(disconnect_beside_busy_centre(seed, Fault::None), Ok(()));
    }
    let caught = (0..20).find(|s| disconnect_beside_busy_centre(*s, Fault::ShareTooEarly).is_err());
    println!("caught with seed {caught:?}");
    assert!(caught.is_some(), "no seed caught the injected fault");
}

#[test]
fn one_data_centre_uses_all_slots_and_then_shares_them() {
    let mut world = LoadWorld::new(1, 3, Fault::None);
    world
        .run(Duration::from_secs(2))
        .expect("the slots are not exceeded");
    world.request_loads(0, 1_000);
    world.run(MAX_LOAD * 2).expect("the slots are not exceeded");
    assert_eq!(world.running(0) as u64, SLOTS);
    world.request_loads(1, 1_000);
    world.run(MAX_LOAD * 2).expect("the slots are not exceeded");
    assert!(
        world.running(1) > 0,
        "the second data centre uses its share"
    );
    assert!(
        world.running(0) > 0,
        "the first data centre keeps its share"
    );
}

#[test]
fn a_disconnected_data_centre_loads_with_its_share() {
    let mut world = LoadWorld::new(2, 3, Fault::None);
    world
        .run(Duration::from_secs(2))
        .expect("the slots are not exceeded");
    world.network.cut(Node::Centre(0), Node::Owner);
    world.network.cut(Node::Owner, Node::Centre(0));
    world.request_loads(0, 1_000);
    world
        .run(Duration::from_secs(1))
        .expect("the slots are not exceeded");
    assert_eq!(
        world.running(0),
        1,
        "the data centre keeps loading within its share"
    );
    world.run(MAX_LOAD * 3).expect("the slots are not exceeded");
    assert_eq!(world.running(0), 1);
}

//! Runs random faults over fixed seeds. Checks that the replica limits always
//! hold, and that the checker detects injected faults.

use crate::simulation::{CENTRES, HOSTS_PER_CENTRE, InjectedFault, MODELS, Simulation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEPS: u32 = 3_000;

const SEEDS: u64 = 24;

fn start(seed: u64, injected: InjectedFault) -> (Simulation, ChaCha8Rng) {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let simulation_rng = ChaCha8Rng::seed_from_u64(seed + 1_000);
    (Simulation::new(simulation_rng, injected), rng)
}

/// Joins the hosts of the first data centres one by one.
fn join_hosts(simulation: &mut Simulation, centres: usize) -> Option<String> {
    for i in 0..centres * HOSTS_PER_CENTRE {
        simulation.change_membership(i, true);
        for _ in 0..200 {
            for host in 0..simulation.hosts.len() {
                simulation.sync_tables(host);
            }
            simulation.step();
            if let Some(fault) = simulation.check_limits() {
                return Some(fault);
            }
        }
    }
    None
}

fn random_step(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let centre = rng.random_range(0..CENTRES);
    let host = rng.random_range(0..simulation.hosts.len());
    let model = rng.random_range(0..MODELS);
    match rng.random_range(0..400) {
        0..4 => simulation.disconnected[centre] = true,
        4..8 => simulation.disconnected[centre] = false,
        8..11 => simulation.restart(host),
        11 => simulation.hosts[host].is_alive = false,
        12..14 => simulation.change_membership(host, true),
        14 => simulation.change_membership(host, false),
        15 => simulation.set_replicas(model, rng.random_range(1..4)),
        16..50 => simulation.sync_tables(host),
        50..160 => {
            // Requests reach all hosts of the data centre, whichever leads it.
            for i in centre * HOSTS_PER_CENTRE..(centre + 1) * HOSTS_PER_CENTRE {
                simulation.demand(i, model);
            }
        }
        _ => {}
    }
}

/// Runs one seed. Returns the first violation, the number of loads, and the
/// number of loads in disconnected data centres.
fn run(seed: u64, injected: InjectedFault) -> (Option<String>, u32, u32) {
    let (mut simulation, mut rng) = start(seed, injected);
    let mut fault = join_hosts(&mut simulation, 2);
    for _ in 0..STEPS {
        if fault.is_some() {
            break;
        }
        random_step(&mut simulation, &mut rng);
        simulation.step();
        fault = simulation.check_limits();
    }
    (fault, simulation.loads, simulation.disconnected_loads)
}

#[test]
fn never_exceeds_the_replicas_over_all_seeds() {
    let (mut loads, mut disconnected_loads) = (0, 0);
    for seed in 0..SEEDS {
        let (fault, total, disconnected) = run(seed, InjectedFault::None);
        assert_eq!(fault, None, "seed {seed}");
        loads += total;
        disconnected_loads += disconnected;
    }
    println!("{loads} loads, {disconnected_loads} while disconnected");
    assert!(
        disconnected_loads > 100,
        "too few loads in disconnected data centres: {disconnected_loads}"
    );
}

macro_rules! caught {
    ($($name:ident: $injected:expr,)*) => {$(
        #[test]
        fn $name() {
            let caught = (0..SEEDS).find_map(|seed| Some((seed, run(seed, $injected).0?)));
            println!("{caught:?}");
            assert!(caught.is_some(), "the checker must detect {:?}", $injected);
        }
    )*};
}

caught! {
    catches_a_release_that_the_cell_did_not_record: InjectedFault::UnrecordedRelease,
    catches_a_grant_before_the_release: InjectedFault::EarlyGrant,
    catches_a_new_leader_with_stale_shares: InjectedFault::StaleShares,
}

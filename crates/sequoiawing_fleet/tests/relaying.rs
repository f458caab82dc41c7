//! Relays upstreams between registries over a network that loses, duplicates and
//! reorders messages while routers restart, and checks that all registries
//! converge.

mod network;

use network::Simulation;

/// The number of steps with a failing network.
const FAILING_STEPS: u32 = 400;

/// The number of steps after the network has recovered.
const RECOVERY_STEPS: u32 = 100;

/// The number of steps after upstreams have stopped moving between routers. The
/// state of an upstream that moves to a router whose index the others do not
/// know lags one step behind.
const SETTLED_STEPS: u32 = 5;

macro_rules! cases {
    ($($name:ident: $seed:expr,)*) => {$(
        #[test]
        fn $name() {
            check_convergence($seed);
        }
    )*};
}

cases! {
    routers_converge_over_seeds_from_0: 0..40,
    routers_converge_over_seeds_from_40: 40..80,
    routers_converge_over_seeds_from_80: 80..120,
}

fn check_convergence(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..FAILING_STEPS {
            simulation.step(true, true);
            simulation.check_known_states(seed);
        }
        for _ in 0..RECOVERY_STEPS {
            simulation.step(false, true);
        }
        for _ in 0..SETTLED_STEPS {
            simulation.step(false, false);
        }
        simulation.check_converged(seed);
    }
}

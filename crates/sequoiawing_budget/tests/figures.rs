//! Measures the cost of the protocol, and the requests that are refused when a
//! rate is divided among hosts. Run it with
//! `cargo test --release -p sequoiawing_budget --test figures -- --ignored --nocapture`.

#[allow(
    dead_code,
    unused_imports,
    reason = "each test uses a part of the support module"
)]
mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_types::Time;
use std::time::Duration;
use support::{Checker, Node, Settings, World};

/// The virtual time of each run.
const SPAN: Duration = Duration::from_mins(1);

/// The rate and burst of the customer, in tokens.
const RATE: u64 = 1_000;
const BURST: u64 = 4_000;

/// One request of a workload.
#[derive(Clone, Copy)]
struct Arrival {
    at: Time,
    centre: usize,
    router: usize,
    tokens: u64,
}

/// Returns bursts of requests at `load` times the rate on average. Each burst
/// prefers one data centre and one router.
fn generate_bursts(seed: u64, load: f64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = Time::ZERO + Duration::from_secs(2);
    while at < Time::ZERO + SPAN {
        let (home_centre, home_router) = (rng.random_range(0..3), rng.random_range(0..2));
        let count = rng.random_range(1..40);
        let mut sum = 0;
        for _ in 0..count {
            let is_home = rng.random_bool(0.8);
            let centre = if is_home {
                home_centre
            } else {
                rng.random_range(0..3)
            };
            let router = if is_home {
                home_router
            } else {
                rng.random_range(0..2)
            };
            let tokens = rng.random_range(10..150);
            sum += tokens;
            at = at + Duration::from_micros(rng.random_range(100..10_000));
            arrivals.push(Arrival {
                at,
                centre,
                router,
                tokens,
            });
        }
        let pause = f64::from(u32::try_from(sum).expect("the value fits in u32")) / 1_000.0 / load;
        at = at + Duration::from_secs_f64(pause);
    }
    arrivals
}

fn run_shared(arrivals: &[Arrival], is_cut: bool) -> World {
    let mut world = World::new(Settings {
        check_refusals: true,
        exact: true,
        ..Settings::default()
    });
    let joined = Time::ZERO + Duration::from_secs(1);
    world.run_until(joined).expect("the total is not exceeded");
    if is_cut {
        world.network.cut(Node::Owner, Node::Centre(0));
        world.network.cut(Node::Centre(0), Node::Owner);
    }
    for arrival in arrivals {
        world
            .run_until(arrival.at)
            .expect("the total is not exceeded");
        world.request(arrival.centre, arrival.router, arrival.tokens);
    }
    world
        .run_until(Time::ZERO + SPAN)
        .expect("the total is not exceeded");
    world
}

/// Returns the number of requests that are refused when the rate is divided
/// among the hosts, and how many of them one bucket would have admitted.
fn run_static_division(arrivals: &[Arrival]) -> (u64, u64) {
    let limits = Settings::default().limits;
    let mut checker = Checker::new(limits, 0);
    let mut levels = [[BURST / 6; 2]; 3];
    let mut last = Time::ZERO;
    let (mut refused, mut wrong_refusals, mut earned) = (0, 0, 0);
    for arrival in arrivals {
        earned += u64::try_from(arrival.at.since(last).as_micros()).expect("the value fits in u64")
            * RATE
            / 6;
        last = arrival.at;
        let whole = earned / 1_000_000;
        earned %= 1_000_000;
        for level in levels.iter_mut().flatten() {
            *level = (*level + whole).min(BURST / 6);
        }
        let level = &mut levels[arrival.centre][arrival.router];
        if *level >= arrival.tokens {
            *level -= arrival.tokens;
            checker.admit(arrival.at, arrival.tokens);
            continue;
        }
        refused += 1;
        let tokens = u32::try_from(arrival.tokens).expect("the value fits in u32");
        if checker.level(arrival.at) >= f64::from(tokens) {
            wrong_refusals += 1;
        }
    }
    (refused, wrong_refusals)
}

#[test]
#[ignore = "prints figures"]
fn refusals_beside_static_division() {
    for load in [0.5, 0.8, 1.0, 2.0] {
        let mut sums = [0; 8];
        for seed in 0..10 {
            let arrivals = generate_bursts(seed, load);
            let connected = run_shared(&arrivals, false);
            let cut = run_shared(&arrivals, true);
            let (refused, wrong_refusals) = run_static_division(&arrivals);
            let row = [
                arrivals.len() as u64,
                connected.refused,
                connected.wrong_refusals,
                cut.refused,
                cut.wrong_refusals,
                refused,
                wrong_refusals,
                0,
            ];
            sums.iter_mut().zip(row).for_each(|(s, r)| *s += r);
        }
        println!(
            "load {load}: {} requests; shared refused {} (wrongly {}); one data centre cut \
             off {} ({}); divided by host {} ({})",
            sums[0], sums[1], sums[2], sums[3], sums[4], sums[5], sums[6]
        );
    }
}

#[test]
#[ignore = "prints figures"]
fn messages_and_bytes() {
    for (name, load) in [
        ("idle", 0.0),
        ("half the rate", 0.5),
        ("five times the rate", 5.0),
    ] {
        let mut arrivals = if load > 0.0 {
            generate_bursts(1, load)
        } else {
            Vec::new()
        };
        arrivals.truncate(20_000);
        let world = run_shared(&arrivals, false);
        for place in [Node::Router(0, 0), Node::Centre(0), Node::Owner] {
            let (count, bytes) = world.network.sent.get(&place).copied().unwrap_or_default();
            let seconds = SPAN.as_secs();
            println!(
                "{name}: {place:?} sent {} messages and {} bytes a second",
                count / seconds,
                bytes / seconds
            );
        }
    }
}

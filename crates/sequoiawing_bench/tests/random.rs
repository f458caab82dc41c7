//! Runs random faults and bursts over fixed seeds, and checks at each step that
//! memory is never overcommitted, that no more replicas are loaded than
//! allotted, that no request runs twice or goes without an answer, and that a
//! leaving runner is given no work.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_bench::{
    Deployment, Fault, Policy, Request, RunnerSpec, Simulation, SimulationSettings, Violation,
};
use sequoiawing_types::{Name, Time};
use std::time::Duration;

const SEEDS: u64 = 60;
const SECS: u64 = 90;

/// Builds a deployment of six small runners, so that memory is always short.
fn deployment(rng: &mut ChaCha8Rng) -> Deployment {
    let mut deployment = Deployment::inkveld();
    deployment.pool.models.truncate(12);
    for model in &mut deployment.pool.models {
        model.memory = 1_024 * rng.random_range(1..5);
        model.replicas = 3 * rng.random_range(1..3);
    }
    deployment.runners = (0..6)
        .map(|i| RunnerSpec {
            memory: 1_024 * rng.random_range(5..10),
            slots: 3,
            fenced: rng.random_bool(0.6),
            ..deployment.runners[i].clone()
        })
        .collect();
    deployment
}

fn draw_request(rng: &mut ChaCha8Rng, deployment: &Deployment, at: Time) -> Request {
    let model = &deployment.pool.models[rng.random_range(0..12)];
    let customer = rng.random_range(0..deployment.customers.len());
    let adapter = model.adapters.first().filter(|_| rng.random_bool(0.3));
    Request {
        at,
        router: rng.random_range(0..deployment.routers.len()),
        customer: deployment.customers[customer].name.clone(),
        model: model.name.clone(),
        adapter: adapter.map(|a| Name::from(format!("{}:{a}", model.name))),
        prompt_tokens: 50,
        answer_tokens: rng.random_range(5..60),
        deadline: Duration::from_secs(rng.random_range(2..15)),
        prefix: 0,
    }
}

/// Draws a fault and, unless it is instantaneous, the delay and fault that end
/// it.
fn draw_fault(rng: &mut ChaCha8Rng, runners: usize) -> (Fault, Option<(u64, Fault)>) {
    let i = rng.random_range(0..runners);
    let delay_ms = rng.random_range(200..6_000);
    let centre = rng.random_range(0..3);
    match rng.random_range(0..11) {
        0 => (Fault::Kill(i), Some((delay_ms, Fault::Restart(i)))),
        1 => (Fault::KillInLoad(i), Some((delay_ms, Fault::Restart(i)))),
        2 => (Fault::Restart(i), None),
        3 => (Fault::Freeze(i), Some((delay_ms, Fault::Thaw(i)))),
        4 => (Fault::Hang(i), Some((delay_ms, Fault::Recover(i)))),
        5 => (Fault::FailLoads(i), Some((delay_ms, Fault::Recover(i)))),
        6 => (Fault::Mute(i), Some((delay_ms, Fault::Recover(i)))),
        7 => (Fault::LoseOrders(i), Some((delay_ms, Fault::Recover(i)))),
        8 => (Fault::NewLeader(centre), None),
        9 => (Fault::Cut(centre), Some((delay_ms, Fault::Heal(centre)))),
        _ => (
            Fault::StoreSpeed(0.25),
            Some((delay_ms, Fault::StoreSpeed(1.0))),
        ),
    }
}

fn run(seed: u64) -> Vec<Violation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let deployment = deployment(&mut rng);
    let settings = SimulationSettings {
        seed,
        announces_changes: seed.is_multiple_of(2),
        ..SimulationSettings::default()
    };
    let mut simulation = Simulation::new(deployment.clone(), Policy::Chosen, settings);
    let mut at = Time::from_millis(500);
    let end = Time::ZERO + Duration::from_secs(SECS);
    while at < end {
        for _ in 0..rng.random_range(1..8) {
            let delay = Duration::from_millis(rng.random_range(0..300));
            let request = draw_request(&mut rng, &deployment, at + delay);
            simulation.add_request(request);
        }
        if rng.random_bool(0.4) {
            let (fault, recovery) = draw_fault(&mut rng, deployment.runners.len());
            simulation.add_fault(at, fault);
            if let Some((millis, recovery)) = recovery {
                simulation.add_fault(at + Duration::from_millis(millis), recovery);
            }
        }
        at = at + Duration::from_millis(rng.random_range(50..1_500));
    }
    simulation.run_until(end + Duration::from_secs(30));
    simulation.finish();
    simulation.violations().to_vec()
}

macro_rules! seeds {
    ($($name:ident: $from:expr,)*) => {
        $(
            #[test]
            fn $name() {
                for seed in $from..$from + SEEDS / 4 {
                    let violations = run(seed);
                    let text: Vec<String> =
                        violations.iter().map(ToString::to_string).collect();
                    assert!(text.is_empty(), "seed {seed}:\n{}", text.join("\n"));
                }
            }
        )*
    };
}

seeds! {
    no_violations_in_the_first_quarter_of_seeds: 0,
    no_violations_in_the_second_quarter_of_seeds: SEEDS / 4,
    no_violations_in_the_third_quarter_of_seeds: SEEDS / 2,
    no_violations_in_the_fourth_quarter_of_seeds: SEEDS * 3 / 4,
}

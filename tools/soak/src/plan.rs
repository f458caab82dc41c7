//! The faults of a run, from its seed.

use crate::{
    caller::{PLAIN, STREAMS},
    links::LinkState,
    runner::{Brittle, Mode},
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::fmt;

/// The processes of a run.
#[derive(Clone, Copy, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an option of its own"
)]
pub struct Size {
    /// The number of controllers.
    pub controllers: usize,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of runners.
    pub runners: usize,
    /// The length of the run, in milliseconds.
    pub length: u64,
    /// Whether the runners of a service fall over at times when they reject too much.
    pub is_brittle: bool,
    /// Whether runners at times name the seconds for which they want no requests.
    pub has_backoffs: bool,
    /// Whether runners leave by a call at times, beside kills of the controllers that
    /// acknowledge it.
    pub has_departures: bool,
    /// Whether the IDs of events are not consecutive.
    pub has_sparse_ids: bool,
}

/// A fault, with the indices of the processes that it concerns.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Gateways are killed and start again.
    KillGateways(Vec<usize>),
    /// A gateway is told to end, and starts again when it has ended.
    TermGateway(usize),
    /// A gateway is stopped for so many milliseconds.
    StopGateway(usize, u64),
    /// A controller is killed and starts again after so many milliseconds.
    KillController(usize, u64),
    /// A controller is stopped for so many milliseconds.
    StopController(usize, u64),
    /// Runners are killed and start again after so many milliseconds, with another
    /// software version if told so.
    KillRunners(Vec<usize>, u64, bool),
    /// A runner is stopped for so many milliseconds.
    StopRunner(usize, u64),
    /// Runners misbehave for so many milliseconds.
    Misbehave(Vec<usize>, Box<Mode>, u64),
    /// A runner says at a controller that it leaves, and serves on; these controllers are
    /// killed right after the acknowledgement, and start again.
    Depart(usize, usize, Vec<usize>),
    /// All runners of a service are brittle for so many milliseconds.
    Brittle(&'static str, Brittle, u64),
    /// The links of a gateway to runners are disturbed for so many milliseconds.
    RunnerLinks(usize, LinkState, u64),
    /// The links of a gateway to hubs are disturbed for so many milliseconds.
    HubLinks(usize, LinkState, u64),
    /// The configuration is sent again with a higher version.
    Configure,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and when it begins, in milliseconds after the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it begins.
    pub at: u64,
    /// What happens.
    pub fault: Fault,
}

/// The time without faults at both ends of a run, in milliseconds.
const CALM: u64 = 4_000;

/// Draws the faults of a run. The same seed and size draw the same faults.
pub fn plan(seed: u64, size: &Size) -> Vec<Step> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let end = size.length.saturating_sub(CALM);
    let mut at = CALM;
    while at < end {
        scene(&mut random, size, at, &mut steps);
        at += random.random_range(2_000..6_000);
    }
    if size.is_brittle {
        add_brittle_times(seed, end, &mut steps);
    }
    if size.has_backoffs {
        add_backoffs(seed, size, end, &mut steps);
    }
    if size.has_departures {
        add_departures(seed, size, end, &mut steps);
    }
    steps.retain(|s| s.at < end);
    steps.sort_by_key(|s| s.at);
    steps
}

/// Adds the times in which a service is brittle. They are drawn apart, so that a seed keeps
/// its other faults.
fn add_brittle_times(seed: u64, end: u64, steps: &mut Vec<Step>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(1);
    let mut at = CALM;
    while at < end {
        let service = if random.random_bool(0.7) {
            STREAMS
        } else {
            PLAIN
        };
        let brittle = Brittle {
            tolerance: random.random_range(1..8),
            queue: random.random_range(0..5),
            ..Brittle::default()
        };
        let length = random.random_range(8_000..14_000);
        let fault = Fault::Brittle(service, brittle, length);
        steps.push(Step { at, fault });
        at += length + random.random_range(1_000..4_000);
    }
}

/// Adds the times in which runners refuse some requests and want no others for seconds,
/// and planned stops within them, beside slow runners in half of these times. They are drawn apart, as above.
fn add_backoffs(seed: u64, size: &Size, end: u64, steps: &mut Vec<Step>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(2);
    let mut at = CALM;
    while at < end {
        let runners = pick(&mut random, size.runners, 0.6);
        let mode = Mode {
            refuse: random.random_range(0.05..0.5),
            retry_after: f64::from(random.random_range(10..45_u32)) / 10.0,
            slow: if random.random_bool(0.5) { 40.0 } else { 1.0 },
            ..Mode::default()
        };
        let length = random.random_range(6_000..10_000);
        let fault = Fault::Misbehave(runners, Box::new(mode), length);
        steps.push(Step { at, fault });
        let gateway = random.random_range(0..size.gateways);
        let fault = Fault::TermGateway(gateway);
        steps.push(Step {
            at: at + random.random_range(0..length),
            fault,
        });
        at += length + random.random_range(500..2_000);
    }
}

/// Adds departures of runners. They are drawn apart, as above.
fn add_departures(seed: u64, size: &Size, end: u64, steps: &mut Vec<Step>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(3);
    let mut at = CALM;
    while at < end {
        let runner = random.random_range(0..size.runners);
        let controller = random.random_range(0..size.controllers);
        let killed = match random.random_range(0..3) {
            0 => Vec::new(),
            1 => vec![controller],
            _ => (0..size.controllers).collect(),
        };
        let fault = Fault::Depart(runner, controller, killed);
        steps.push(Step { at, fault });
        at += random.random_range(4_000..9_000);
    }
}

/// Adds faults that belong together.
fn scene(random: &mut ChaCha8Rng, size: &Size, at: u64, steps: &mut Vec<Step>) {
    let gateway = random.random_range(0..size.gateways);
    let runner = random.random_range(0..size.runners);
    let controller = random.random_range(0..size.controllers);
    let pause = random.random_range(500..5_000);
    let mut add = |at, fault| steps.push(Step { at, fault });
    match random.random_range(0..14) {
        // Restarts in series while runners refuse: each start may take a new share.
        0 | 1 => {
            let refusing = pick(random, size.runners, 0.9);
            let mode = Mode {
                errors: 0.6,
                refuse: random.random_range(0.3..0.9),
                twice: random.random_bool(0.3),
                ..Mode::default()
            };
            add(at, Fault::Misbehave(refusing, Box::new(mode), 9_000));
            let gateways = pick(random, size.gateways, 0.9);
            let gap = random.random_range(1_200..2_500);
            for i in 0..random.random_range(2..6) {
                let at = at + 1_000 + i * gap;
                add(at, Fault::KillGateways(gateways.clone()));
            }
        }
        2 => {
            let runners = pick(random, size.runners, 0.4);
            add(at, Fault::KillRunners(runners, 600, false));
        }
        3 => {
            let runners = pick(random, size.runners, 0.5);
            add(at, Fault::KillRunners(runners, 600, true));
        }
        4 => add(at, Fault::TermGateway(gateway)),
        5 => add(at, Fault::StopGateway(gateway, pause)),
        6 => add(at, Fault::KillController(controller, pause)),
        7 => add(at, Fault::StopController(controller, pause)),
        8 => add(at, Fault::StopRunner(runner, pause)),
        9 => {
            let runners = pick(random, size.runners, 0.7);
            let mode = Mode {
                cut: 0.3,
                early: 0.5,
                unframed: 0.5,
                anew: if random.random_bool(0.3) { 0.2 } else { 0.0 },
                ..Mode::default()
            };
            add(at, Fault::Misbehave(runners, Box::new(mode), 6_000));
        }
        10 => {
            let runners = pick(random, size.runners, 0.3);
            let mode = Mode {
                silent: random.random_bool(0.5),
                slow: 8.0,
                ..Mode::default()
            };
            add(at, Fault::Misbehave(runners, Box::new(mode), pause));
            add(at + 500, Fault::KillGateways(vec![gateway]));
        }
        11 => add(at, Fault::RunnerLinks(gateway, link_state(random), pause)),
        12 => {
            add(at, Fault::HubLinks(gateway, link_state(random), pause));
            add(at + 300, Fault::KillGateways(vec![gateway]));
        }
        _ => {
            for i in 0..3 {
                let at = at + i * 1_500;
                add(at, Fault::KillGateways(vec![gateway]));
            }
            add(at + 400, Fault::Configure);
        }
    }
}

fn link_state(random: &mut ChaCha8Rng) -> LinkState {
    match random.random_range(0..4) {
        0 => LinkState::Silent,
        1 => LinkState::OneWay,
        2 => LinkState::Reset,
        _ => LinkState::Late(random.random_range(50..800)),
    }
}

/// Picks a share of the processes, at least one.
fn pick(random: &mut ChaCha8Rng, number: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..number).collect();
    all.shuffle(random);
    all.retain(|_| random.random_bool(share));
    if all.is_empty() {
        all.push(random.random_range(0..number));
    }
    all
}

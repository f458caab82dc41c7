//! Simulates the retry budget of a pool on a fleet of gateways that are killed,
//! replaced and partitioned while all upstreams of the pool fail, and holds it
//! against the limits over all gateways.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_policy::serving::{FleetSize, RetryLimits, RetryWindow};
use sequoiawing_types::Time;
use std::{collections::HashMap, time::Duration};

const STEP_MS: u64 = 10;
/// The interval of a gateway's reports to its hub.
const REPORT_MS: u64 = 250;
/// How long a hub counts a gateway that stopped without an announcement.
const COUNTED_MS: u64 = 20_000;
const LENGTH_MS: u64 = 70_000;
const LIMITS: RetryLimits = RetryLimits {
    ratio: 200,
    slack: 52,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;
/// The step between the windows that are checked.
const JUDGE_STEP_MS: u64 = 50;
const SEEDS: u64 = 6;
/// The numbers of gateways, and the requests per second at each.
const FLEETS: [(usize, f64); 5] = [(6, 1.0), (6, 3.0), (6, 20.0), (80, 4.0), (300, 2.0)];

/// What happens to the fleet beside the failure of the pool.
#[derive(Clone, Copy, Debug, Default)]
struct Day {
    /// The gateways.
    hosts: usize,
    /// The requests per second at each gateway.
    rate: f64,
    /// The length of a burst of requests and of the pause behind it; 0 for an
    /// even rate.
    burst_ms: u64,
    /// The interval at which one gateway after the other is killed and started.
    restart_ms: u64,
    /// The interval at which all gateways are killed at the same time.
    herd_ms: u64,
    /// The interval at which one gateway leaves for good and a new one comes.
    churn_ms: u64,
    /// The interval at which all hubs lose their state.
    hub_restart_ms: u64,
    /// The time at which the fleet falls into two halves for good.
    split_ms: u64,
    /// The longest time from the grant of a retry to its arrival.
    delay_ms: u64,
}

/// A process of a gateway.
struct Gateway {
    name: u64,
    half: usize,
    started: u64,
    window: RetryWindow,
    fleet: FleetSize,
    /// When the next request arrives.
    next_request: f64,
    requests: u64,
    retries: u64,
}

impl Gateway {
    fn start(name: u64, half: usize, now: u64) -> Self {
        Self {
            name,
            half,
            started: now,
            window: RetryWindow::default(),
            fleet: FleetSize::default(),
            next_request: millis(now),
            requests: 0,
            retries: 0,
        }
    }

    /// Returns the time on the clock of the process.
    fn now(&self, now: u64) -> Time {
        Time::from_millis(now - self.started)
    }
}

/// The arrivals that the judge counts.
#[derive(Default)]
struct Arrivals {
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// The requests and retries of each process.
    processes: Vec<(u64, u64)>,
}

impl Arrivals {
    fn count(times: &[u64], from: u64, until: u64) -> u64 {
        let start = times.partition_point(|at| *at < from);
        let end = times.partition_point(|at| *at < until);
        u64::try_from(end - start).expect("a few thousand")
    }

    /// Returns the retries beyond the limits in the worst window, in thousandths,
    /// and the start of the window. Requests are counted in the window, in the one
    /// before it or in the one half a window before it, whichever has most.
    fn excess(&mut self) -> (i64, u64) {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let grid = (0..LENGTH_MS).step_by(usize::try_from(JUDGE_STEP_MS).expect("small"));
        let starts = grid.chain(self.retries.iter().copied());
        let excess = |from: u64| {
            let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|before| {
                let from = from.saturating_sub(before);
                let until = (from + WINDOW_MS).min(LENGTH_MS);
                Self::count(&self.requests, from, until)
            });
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = requests * LIMITS.ratio + LIMITS.slack * 1_000;
            let retries = Self::count(&self.retries, from, from + WINDOW_MS) * 1_000;
            retries.cast_signed() - allowed.cast_signed()
        };
        let worst = starts.map(|from| (excess(from), from)).max();
        worst.expect("there are windows")
    }
}

fn millis(now: u64) -> f64 {
    f64::from(u32::try_from(now).expect("small"))
}

fn is_due(now: u64, interval: u64) -> bool {
    interval > 0 && now > 0 && now.is_multiple_of(interval)
}

/// Simulates a day on which each attempt fails and is retried up to two times.
fn run(seed: u64, day: &Day) -> Arrivals {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut names = 0;
    let mut start = |half: usize, now: u64| {
        names += 1;
        Gateway::start(names, half, now)
    };
    let mut gateways: Vec<Gateway> = (0..day.hosts).map(|index| start(index % 2, 0)).collect();
    // When each hub last received a report of a gateway, directly or by the other.
    let mut hubs: [HashMap<u64, u64>; 2] = Default::default();
    let mut arrivals = Arrivals::default();
    let mut next = 0;
    for now in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        if is_due(now, day.restart_ms) {
            next = (next + 1) % day.hosts;
            let old = &gateways[next];
            arrivals.processes.push((old.requests, old.retries));
            gateways[next] = Gateway::start(old.name, old.half, now);
        }
        if is_due(now, day.herd_ms) {
            for gateway in &mut gateways {
                let ended = (gateway.requests, gateway.retries);
                arrivals.processes.push(ended);
                *gateway = Gateway::start(gateway.name, gateway.half, now);
            }
        }
        if is_due(now, day.churn_ms) {
            next = (next + 1) % day.hosts;
            let old = &gateways[next];
            arrivals.processes.push((old.requests, old.retries));
            gateways[next] = start(old.half, now);
        }
        if is_due(now, day.hub_restart_ms) {
            hubs = Default::default();
        }
        let is_split = day.split_ms > 0 && now >= day.split_ms;
        let is_burst = day.burst_ms == 0 || (now / day.burst_ms).is_multiple_of(2);
        let count = |hub: &HashMap<u64, u64>| {
            let present = hub.values().filter(|at| now - **at <= COUNTED_MS).count();
            u32::try_from(present).expect("small")
        };
        let mut counts = [count(&hubs[0]), count(&hubs[1])];
        for gateway in &mut gateways {
            let local = gateway.now(now);
            let age = now - gateway.started;
            if (age + gateway.name * 30).is_multiple_of(REPORT_MS) {
                for (half, hub) in hubs.iter_mut().enumerate() {
                    if half == gateway.half || !is_split {
                        let former = hub.insert(gateway.name, now);
                        let is_new = former.is_none_or(|at| now - at > COUNTED_MS);
                        counts[half] += u32::from(is_new);
                    }
                }
                gateway.fleet.record(local, counts[gateway.half]);
            }
            while gateway.next_request <= millis(now) {
                let gap = -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / day.rate;
                gateway.next_request += gap;
                // A gateway serves once a hub has replied.
                if is_burst && gateway.fleet.hosts() > 0 {
                    arrivals.requests.push(now);
                    gateway.requests += 1;
                    gateway.window.record_request(local, &LIMITS);
                    for _ in 0..2 {
                        let window = &mut gateway.window;
                        let decision = window.try_retry(local, &LIMITS, &gateway.fleet);
                        if decision.is_granted {
                            gateway.retries += 1;
                            let delay = rng.random_range(0..=day.delay_ms);
                            arrivals.retries.push(now + delay);
                        }
                    }
                }
            }
        }
    }
    let alive = gateways.iter().map(|g| (g.requests, g.retries));
    arrivals.processes.extend(alive);
    arrivals
}

/// Checks that no window has more retries than the limits allow, and that each
/// process is granted the retries that its own requests earn.
fn check(day: &Day) {
    let worst = (0..SEEDS).map(|seed| {
        let mut arrivals = run(seed, day);
        let (excess, from) = arrivals.excess();
        let (requests, retries) = (arrivals.requests.len(), arrivals.retries.len());
        // At least a quarter of the ratio is used.
        for (requests, retries) in &arrivals.processes {
            assert!(
                *retries >= requests * LIMITS.ratio / 4_000,
                "seed {seed}: a process got {retries} retries for {requests} requests"
            );
        }
        (excess, seed, from, requests, retries)
    });
    let worst = worst.max().expect("there are seeds");
    let (excess, seed, from, requests, retries) = worst;
    println!(
        "{} gateways, {}/s each, worst of {SEEDS} seeds: {excess} thousandths of a retry beyond the limits \
         (seed {seed}, window from {from} ms; day: {retries} retries, {requests} requests)",
        day.hosts, day.rate
    );
    assert!(
        excess <= 0,
        "seed {seed}: {excess} thousandths of a retry too many in the window from {from} ms"
    );
}

macro_rules! days {
    ($($(#[$doc:meta])* $name:ident: $day:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            for (hosts, rate) in FLEETS {
                check(&Day { hosts, rate, delay_ms: 20, ..$day });
            }
        }
    )*};
}

days! {
    a_failing_pool_gets_no_more_retries_than_allowed: Day::default();
    bursts_of_requests_get_no_more_retries_than_allowed: Day { burst_ms: 3_000, ..Day::default() };
    // Guards against slack that each start of a gateway grants anew.
    gateways_restarted_one_by_one_share_the_slack: Day { restart_ms: 500, ..Day::default() };
    // Guards against slack that each start of a gateway grants anew.
    gateways_restarted_at_once_share_the_slack: Day { herd_ms: 2_500, ..Day::default() };
    // Guards against slack that each start in a quick series grants anew.
    gateways_restarted_each_second_share_the_slack: Day { herd_ms: 1_000, ..Day::default() };
    // Guards against slack that each start in a quick series grants anew.
    gateways_restarted_each_half_second_share_the_slack: Day { herd_ms: 500, ..Day::default() };
    // Guards against gateways that take the whole slack before they know others.
    gateways_that_replace_others_share_the_slack: Day { churn_ms: 500, ..Day::default() };
    // Guards against larger shares after a hub has forgotten gateways.
    gateways_with_restarted_hubs_share_the_slack: Day { hub_restart_ms: 3_500, ..Day::default() };
    // Guards against larger shares in the halves of a partitioned fleet.
    partitioned_gateways_share_the_slack: Day { split_ms: 5_000, ..Day::default() };
    // Guards against larger shares of processes that know only their half.
    partitioned_and_restarted_gateways_share_the_slack: Day {
        split_ms: 5_000,
        herd_ms: 28_000,
        hub_restart_ms: 28_000,
        ..Day::default()
    };
}

#[test]
fn retries_that_arrive_late_stay_within_the_limits() {
    for (hosts, rate) in FLEETS {
        let delay_ms = 1_500;
        check(&Day {
            hosts,
            rate,
            burst_ms: 4_500,
            delay_ms,
            ..Day::default()
        });
    }
}

// Guards against a window that forgets retries early: those granted at the end of
// a bucket were forgotten with its start.
#[test]
fn no_window_has_two_shares_of_the_slack() {
    let limits = RetryLimits { ratio: 0, ..LIMITS };
    let mut fleet = FleetSize::default();
    for second in 0..=40 {
        fleet.record(Time::from_millis(second * 1_000), 1);
    }
    let mut window = RetryWindow::default();
    window.record_request(Time::from_millis(40_000), &limits);
    let mut grant = |millis| {
        let now = Time::from_millis(millis);
        let grants = (0..100).map(|_| window.try_retry(now, &limits, &fleet).is_granted);
        grants.filter(|is_granted| *is_granted).count() as u64
    };
    let first = grant(40_950);
    assert!(first > 0);
    let second: u64 = (0..1_000).map(|step| grant(40_951 + step * 10)).sum();
    assert!(
        first + second <= limits.slack,
        "{first} and {second} of {} within one window",
        limits.slack
    );
}

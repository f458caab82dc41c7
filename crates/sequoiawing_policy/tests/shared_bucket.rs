//! Tests a customer limit that several hosts share by delayed updates.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_policy::serving::{
    FleetSize, PeerView, RetryLimits, RetryWindow, SharedTokenBucket,
};
use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

const RATE: u64 = 98_000;
const BURST: u64 = 98_000;
/// The tokens of a regular request.
const COST: u64 = 716;
/// The tokens of a large request, and the fraction of large requests.
const LARGE: u64 = 9_190;
const LARGE_PART: f64 = 0.03;
const HOSTS: usize = 6;
/// The interval between updates of a host.
const INTERVAL: Duration = Duration::from_millis(250);
/// The window over which use is checked against the limit.
const WINDOW: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(1);

/// The hosts and the requests of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    hosts: usize,
    /// The requests in multiples of the rate.
    times: f64,
    /// The fraction of large requests.
    large: f64,
    /// How many hosts are partitioned from the others in the second half.
    isolated: usize,
    /// The time before the first request, in which the bucket fills.
    quiet: Duration,
}

impl Scenario {
    fn new(times: f64, isolated: usize) -> Self {
        Self {
            hosts: HOSTS,
            times,
            large: LARGE_PART,
            isolated,
            quiet: Duration::ZERO,
        }
    }

    /// Many hosts get large requests alone.
    fn large(hosts: usize, times: f64) -> Self {
        Self {
            hosts,
            large: 1.0,
            quiet: Duration::from_secs(3),
            ..Self::new(times, 0)
        }
    }
}

fn view(hosts: usize, is_isolated: bool, missing: u32) -> PeerView {
    let hosts = u32::try_from(hosts).expect("the number of hosts is small");
    PeerView {
        hosts,
        missing,
        is_isolated,
    }
}

struct Run {
    /// The times and units of admitted requests within the window.
    admitted: VecDeque<(Time, u64)>,
    peak: u64,
    total: u64,
    refused: u64,
    /// The numbers of admitted and refused large requests.
    large: [u64; 2],
}

/// Simulates requests for 20 seconds.
fn run(seed: u64, scenario: Scenario) -> Run {
    let Scenario {
        hosts,
        times,
        large,
        isolated,
        quiet,
    } = scenario;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buckets: Vec<SharedTokenBucket> = (0..hosts)
        .map(|_| SharedTokenBucket::new(Time::ZERO, RATE, BURST))
        .collect();
    let mut reported = vec![0; hosts];
    let mut now = Time::ZERO;
    let mut run = Run {
        admitted: VecDeque::new(),
        peak: 0,
        total: 0,
        refused: 0,
        large: [0; 2],
    };
    let mean = 716.0 + large * (9_190.0 - 716.0);
    let chance = times * 98_000.0 / mean / 1_000.0;
    let isolated_at = Time::from_millis(10_000);
    while now < Time::from_millis(20_000) {
        now = now + STEP;
        let is_isolated = |host: usize| now >= isolated_at && host < isolated;
        // The first hosts get more requests than the others.
        let mut due = if now < Time::ZERO + quiet {
            0.0
        } else {
            chance
        };
        while due > 0.0 && rng.random::<f64>() < due {
            due -= 1.0;
            let host = rng.random_range(0..hosts * 2) % (hosts + 2) % hosts;
            let missing = if now >= isolated_at { isolated } else { 0 };
            let view = view(
                hosts,
                is_isolated(host),
                u32::try_from(missing).expect("the number of hosts is small"),
            );
            let is_large = rng.random::<f64>() < large;
            let cost = if is_large { LARGE } else { COST };
            let is_admitted = buckets[host].admit(now, cost, view).is_ok();
            if is_admitted {
                run.admitted.push_back((now, cost));
                run.total += cost;
            } else {
                run.refused += 1;
            }
            if is_large {
                run.large[usize::from(!is_admitted)] += 1;
            }
        }
        for host in 0..hosts {
            let offset = Duration::from_millis(
                37 * u64::try_from(host).expect("the number of hosts is small"),
            );
            let offset = offset.as_millis() % INTERVAL.as_millis();
            let since = now.since(Time::ZERO).as_millis() + INTERVAL.as_millis() - offset;
            if is_isolated(host) || !since.is_multiple_of(INTERVAL.as_millis()) {
                continue;
            }
            reported[host] = buckets[host].used();
            let total = reported.iter().sum();
            let missing = if now >= isolated_at { isolated } else { 0 };
            let view = view(
                hosts,
                false,
                u32::try_from(missing).expect("the number of hosts is small"),
            );
            let draw = rng.random();
            buckets[host].apply_update(now, (total, reported[host]), false, view, draw);
        }
        while run
            .admitted
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= WINDOW)
        {
            run.admitted.pop_front();
        }
        run.peak = run
            .peak
            .max(run.admitted.iter().map(|(_, units)| units).sum());
    }
    run
}

/// The units that the platform tolerates in a window.
fn limit() -> u64 {
    (RATE * WINDOW.as_secs() + BURST) * 11 / 10 + 110_000
}

macro_rules! overload {
    ($($name:ident: $scenario:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..8 {
                let run = run(seed, $scenario);
                assert!(run.peak <= limit(), "seed {seed}: {} of {}", run.peak, limit());
            }
        }
    )*};
}

overload! {
    overload_stays_within_limit: Scenario::new(4.2, 0);
    heavy_overload_stays_within_limit: Scenario::new(12.0, 0);
    overload_stays_within_limit_with_half_of_hosts_isolated: Scenario::new(4.2, 3);
    overload_stays_within_limit_with_one_host_isolated: Scenario::new(4.2, 1);
    // Many hosts each admitted one more large request than the credit of all bears.
large_requests_at_some_hosts_stay_within_limit: Scenario::large(40, 100.0);
    large_requests_at_many_hosts_stay_within_limit: Scenario::large(100, 40.0);
}

#[test]
fn customer_within_rate_is_not_refused() {
    for seed in 0..8 {
        let run = run(seed, Scenario::new(0.55, 0));
        assert_eq!(run.refused, 0, "seed {seed}");
    }
}

// Guards against a bound on large requests that refuses customers within their rate.
#[test]
fn large_requests_within_the_rate_are_served_at_many_hosts() {
    let run = run(1, Scenario::large(200, 0.55));
    assert!(run.large[0] > 99 * run.large[1], "{:?}", run.large);
}

#[test]
fn large_requests_are_admitted_about_as_often_as_others() {
    let run = run(1, Scenario::new(3.0, 0));
    let all = 1.0 / 3.0;
    let large: u64 = run.large.iter().sum();
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let admitted = run.large[0] as f64 / large as f64;
    assert!(admitted > all / 2.0, "{admitted} of {large}");
}

#[test]
fn overload_uses_most_of_the_rate() {
    let run = run(1, Scenario::new(4.2, 0));
    assert!(run.total >= RATE * 20 * 9 / 10, "{}", run.total);
}

#[test]
fn refund_restores_credit() {
    let mut bucket = SharedTokenBucket::new(Time::ZERO, 10, 1_000);
    let view = view(HOSTS, false, 0);
    bucket
        .admit(Time::ZERO, 1_000, view)
        .expect("the bucket is full");
    bucket
        .admit(Time::ZERO, 1_000, view)
        .expect_err("the bucket is empty");
    bucket.refund(1_000);
    bucket
        .admit(Time::ZERO, 1_000, view)
        .expect("the credit was refunded");
    assert_eq!(
        bucket.used(),
        1_000,
        "the count of used units never decreases"
    );
}

/// Returns the size of a fleet whose hosts have known each other for 20 seconds.
fn fleet(hosts: u32) -> FleetSize {
    let mut fleet = FleetSize::default();
    fleet.record(Time::ZERO, hosts);
    fleet.record(Time::from_millis(20_000), hosts);
    fleet
}

#[test]
fn retries_stay_within_ratio_and_slack() {
    let limits = RetryLimits {
        ratio: 200,
        slack: 52,
        window: Duration::from_secs(10),
    };
    let fleet = fleet(6);
    let mut retries = 0;
    for _ in 0..HOSTS {
        let mut window = RetryWindow::default();
        let mut now = Time::ZERO;
        for _ in 0..100 {
            now = now + Duration::from_millis(50);
            window.record_request(now, &limits);
            retries += u64::from(window.try_retry(now, &limits, &fleet).is_granted);
        }
    }
    assert!(
        retries > 0 && retries <= 600 * 200 / 1_000 + 52,
        "{retries}"
    );
}

#[test]
fn retries_are_allowed_again_after_the_window() {
    let limits = RetryLimits {
        ratio: 0,
        slack: 4,
        window: Duration::from_secs(10),
    };
    let fleet = fleet(1);
    let mut window = RetryWindow::default();
    let mut try_retry = |millis| {
        let decision = window.try_retry(Time::from_millis(millis), &limits, &fleet);
        decision.is_granted
    };
    while try_retry(0) {}
    assert!(!try_retry(9_000));
    assert!(try_retry(10_000));
}

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

fn view(is_isolated: bool, missing: u32) -> PeerView {
    let hosts = u32::try_from(HOSTS).expect("the number of hosts is small");
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

/// Simulates requests at `times` the rate for 20 seconds. In the second half,
/// `isolated` hosts are partitioned from the others.
fn run(seed: u64, times: f64, isolated: usize) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut buckets: Vec<SharedTokenBucket> = (0..HOSTS)
        .map(|_| SharedTokenBucket::new(Time::ZERO, RATE, BURST))
        .collect();
    let mut reported = [0; HOSTS];
    let mut run = Run {
        admitted: VecDeque::new(),
        peak: 0,
        total: 0,
        refused: 0,
        large: [0; 2],
    };
    let mut now = Time::ZERO;
    let mean = 716.0 + LARGE_PART * (9_190.0 - 716.0);
    let chance = times * 98_000.0 / mean / 1_000.0;
    let isolated_at = Time::from_millis(10_000);
    while now < Time::from_millis(20_000) {
        now = now + STEP;
        let is_isolated = |host: usize| now >= isolated_at && host < isolated;
        // Two of the six hosts get half of the requests.
        let mut due = chance;
        while due > 0.0 && rng.random::<f64>() < due {
            due -= 1.0;
            let host = rng.random_range(0..HOSTS * 2) % (HOSTS + 2) % HOSTS;
            let missing = if now >= isolated_at { isolated } else { 0 };
            let view = view(
                is_isolated(host),
                u32::try_from(missing).expect("the number of hosts is small"),
            );
            let is_large = rng.random::<f64>() < LARGE_PART;
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
        for host in 0..HOSTS {
            let offset = Duration::from_millis(
                37 * u64::try_from(host).expect("the number of hosts is small"),
            );
            let since = now.since(Time::ZERO + offset).as_millis();
            if is_isolated(host) || !since.is_multiple_of(INTERVAL.as_millis()) {
                continue;
            }
            reported[host] = buckets[host].used();
            let total = reported.iter().sum();
            let missing = if now >= isolated_at { isolated } else { 0 };
            let view = view(
                false,
                u32::try_from(missing).expect("the number of hosts is small"),
            );
            buckets[host].apply_update(now, total, reported[host], false, view);
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
    ($($name:ident: $times:literal, $isolated:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..8 {
                let run = run(seed, $times, $isolated);
                assert!(run.peak <= limit(), "seed {seed}: {} of {}", run.peak, limit());
            }
        }
    )*};
}

overload! {
    overload_stays_within_limit: 4.2, 0;
    heavy_overload_stays_within_limit: 12.0, 0;
    overload_stays_within_limit_with_half_of_hosts_isolated: 4.2, 3;
    overload_stays_within_limit_with_one_host_isolated: 4.2, 1;
}

#[test]
fn customer_within_rate_is_not_refused() {
    for seed in 0..8 {
        let run = run(seed, 0.55, 0);
        assert_eq!(run.refused, 0, "seed {seed}");
    }
}

#[test]
fn large_requests_are_admitted_about_as_often_as_others() {
    let run = run(1, 3.0, 0);
    let all = 1.0 / 3.0;
    let large: u64 = run.large.iter().sum();
    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    let admitted = run.large[0] as f64 / large as f64;
    assert!(admitted > all / 2.0, "{admitted} of {large}");
}

#[test]
fn overload_uses_most_of_the_rate() {
    let run = run(1, 4.2, 0);
    assert!(run.total >= RATE * 20 * 9 / 10, "{}", run.total);
}

#[test]
fn refund_restores_credit() {
    let mut bucket = SharedTokenBucket::new(Time::ZERO, 10, 1_000);
    let view = view(false, 0);
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

//! A customer's rate over several hosts that hear of each other late.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_policy::serving::{RateView, RetryLimits, RetryWindow, SharedRate};
use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

const RATE: u64 = 98_000;
const BURST: u64 = 98_000;
/// The tokens of a usual request.
const COST: u64 = 716;
/// The tokens of a large request, and how many requests are large.
const LARGE: u64 = 9_190;
const LARGE_PART: f64 = 0.03;
const HOSTS: usize = 6;
/// How long hosts take to hear of each other.
const INTERVAL: Duration = Duration::from_millis(250);
/// The window in which use is judged.
const WINDOW: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(1);

fn view(is_cut_off: bool, missing: u32) -> RateView {
    let hosts = u32::try_from(HOSTS).expect("a few");
    RateView {
        hosts,
        missing,
        is_cut_off,
    }
}

struct Run {
    /// When what was admitted.
    admitted: VecDeque<(Time, u64)>,
    most: u64,
    total: u64,
    refused: u64,
    /// The large requests that were admitted and refused.
    large: [u64; 2],
}

/// Lets hosts admit `times` the rate for 20 seconds, some of them cut off in
/// the second half, and returns the most that was used in a window.
fn run(seed: u64, times: f64, cut: usize) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut rates: Vec<SharedRate> = (0..HOSTS)
        .map(|_| SharedRate::new(Time::ZERO, RATE, BURST))
        .collect();
    let mut told = [0; HOSTS];
    let mut run = Run {
        admitted: VecDeque::new(),
        most: 0,
        total: 0,
        refused: 0,
        large: [0; 2],
    };
    let mut now = Time::ZERO;
    let mean = 716.0 + LARGE_PART * (9_190.0 - 716.0);
    let chance = times * 98_000.0 / mean / 1_000.0;
    let cut_at = Time::from_millis(10_000);
    while now < Time::from_millis(20_000) {
        now = now + STEP;
        let is_cut = |host: usize| now >= cut_at && host < cut;
        // A quarter of the hosts gets half of the requests.
        let mut due = chance;
        while due > 0.0 && rng.random::<f64>() < due {
            due -= 1.0;
            let host = rng.random_range(0..HOSTS * 2) % (HOSTS + 2) % HOSTS;
            let missing = if now >= cut_at { cut } else { 0 };
            let view = view(is_cut(host), u32::try_from(missing).expect("a few"));
            let is_large = rng.random::<f64>() < LARGE_PART;
            let cost = if is_large { LARGE } else { COST };
            let is_admitted = rates[host].admit(now, cost, view).is_ok();
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
            let offset = Duration::from_millis(37 * u64::try_from(host).expect("a few"));
            let since = now.since(Time::ZERO + offset).as_millis();
            if is_cut(host) || !since.is_multiple_of(INTERVAL.as_millis()) {
                continue;
            }
            told[host] = rates[host].used();
            let total = told.iter().sum();
            let missing = if now >= cut_at { cut } else { 0 };
            let view = view(false, u32::try_from(missing).expect("a few"));
            rates[host].hear(now, total, told[host], false, view);
        }
        while run
            .admitted
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= WINDOW)
        {
            run.admitted.pop_front();
        }
        run.most = run
            .most
            .max(run.admitted.iter().map(|(_, units)| units).sum());
    }
    run
}

/// What the platform's rule allows in a window.
fn bound() -> u64 {
    (RATE * WINDOW.as_secs() + BURST) * 11 / 10 + 110_000
}

macro_rules! hot {
    ($($name:ident: $times:literal, $cut:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..8 {
                let run = run(seed, $times, $cut);
                assert!(run.most <= bound(), "seed {seed}: {} of {}", run.most, bound());
            }
        }
    )*};
}

hot! {
    a_hot_customer_keeps_to_the_bound: 4.2, 0;
    a_very_hot_customer_keeps_to_it: 12.0, 0;
    so_it_does_when_half_of_the_hosts_are_cut_off: 4.2, 3;
    so_it_does_when_one_host_is_cut_off: 4.2, 1;
}

#[test]
fn a_customer_within_its_rate_is_not_refused() {
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
fn what_a_hot_customer_may_use_is_used() {
    let run = run(1, 4.2, 0);
    assert!(run.total >= RATE * 20 * 9 / 10, "{}", run.total);
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut rate = SharedRate::new(Time::ZERO, 10, 1_000);
    let view = view(false, 0);
    rate.admit(Time::ZERO, 1_000, view)
        .expect("the bucket is full");
    rate.admit(Time::ZERO, 1_000, view)
        .expect_err("it is empty");
    rate.give_back(1_000);
    rate.admit(Time::ZERO, 1_000, view)
        .expect("it was given back");
    assert_eq!(rate.used(), 1_000, "the count of use never falls");
}

#[test]
fn repeats_are_a_part_of_requests_and_a_share_of_the_slack() {
    let limits = RetryLimits {
        ratio: 200,
        slack: 52,
        window: Duration::from_secs(10),
    };
    let mut repeats = 0;
    for _ in 0..HOSTS {
        let mut window = RetryWindow::default();
        let mut now = Time::ZERO;
        for _ in 0..100 {
            now = now + Duration::from_millis(50);
            window.note_request(now, &limits);
            repeats += u64::from(window.take(now, &limits, 6));
        }
    }
    assert!(
        repeats > 0 && repeats <= 600 * 200 / 1_000 + 52,
        "{repeats}"
    );
}

#[test]
fn repeats_are_allowed_again_when_the_window_has_passed() {
    let limits = RetryLimits {
        ratio: 0,
        slack: 4,
        window: Duration::from_secs(10),
    };
    let mut window = RetryWindow::default();
    while window.take(Time::ZERO, &limits, 1) {}
    assert!(!window.take(Time::from_millis(9_000), &limits, 1));
    assert!(window.take(Time::from_millis(10_000), &limits, 1));
}

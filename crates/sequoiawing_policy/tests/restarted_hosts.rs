//! A customer's limit while hosts are killed and started again.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_policy::serving::{PeerView, SharedTokenBucket};
use sequoiawing_types::Time;
use std::{collections::VecDeque, time::Duration};

const RATE: u64 = 68_315;
const BURST: u64 = 68_315;
/// The tokens of a request.
const COST: u64 = 716;
const HOSTS: usize = 6;
/// The interval between updates of a host.
const INTERVAL: u64 = 250;
const WINDOW: Duration = Duration::from_secs(8);
const VIEW: PeerView = PeerView {
    hosts: 6,
    missing: 0,
    is_isolated: false,
};

/// Which hosts are killed, and what hubs know of those that started again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kills {
    /// One host every 1.5 s, in turn.
    Rolling,
    /// The same, and hubs ignore the first two reports after each restart, until the host
    /// has raised its incarnation.
    Ignored,
    /// All hosts and hubs at once, in the tenth second.
    All,
}

struct Host {
    bucket: SharedTokenBucket,
    /// What it has reported since its start, and when it runs again if it was killed.
    reported: u64,
    back_at: u64,
    /// The reports since its restart that hubs still ignore.
    ignored: u32,
}

#[derive(Default)]
struct Outcome {
    peak: u64,
    requests: u64,
    refused: u64,
    /// The requests refused in the second after their host's start.
    refused_young: u64,
}

/// Returns the units that the platform tolerates in a window.
fn limit() -> u64 {
    (RATE * WINDOW.as_secs() + BURST) * 11 / 10 + 110_000
}

/// Simulates 20 seconds of requests at `times` the rate.
fn run(seed: u64, times: f64, kills: Kills) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = |now: u64| SharedTokenBucket::new(Time::from_millis(now), RATE, BURST);
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            bucket: start(0),
            reported: 0,
            back_at: 0,
            ignored: 0,
        })
        .collect();
    let (mut total, mut admitted, mut sum) = (0, VecDeque::new(), 0);
    let mut outcome = Outcome::default();
    let chance = times * 68_315.0 / 716.0 / 1_000.0;
    for now in 1..20_000_u64 {
        let time = Time::from_millis(now);
        for (i, host) in hosts.iter_mut().enumerate() {
            let turn = u64::try_from(i).expect("few hosts");
            let is_killed = match kills {
                Kills::All => now == 10_000,
                _ => now > 4_000 && now % 1_500 == 0 && (now / 1_500) % 6 == turn,
            };
            if is_killed {
                host.back_at = now + rng.random_range(100..600);
            }
            if kills == Kills::All && is_killed {
                total = 0;
            }
            if host.back_at == now {
                host.bucket = start(now);
                host.reported = 0;
                host.ignored = if kills == Kills::Ignored { 2 } else { 0 };
            }
            if now >= host.back_at && (now + 37 * turn).is_multiple_of(INTERVAL) {
                let used = host.bucket.used();
                if host.ignored > 0 {
                    host.ignored -= 1;
                } else {
                    total += used - host.reported;
                    host.reported = used;
                }
                let draw = rng.random();
                host.bucket
                    .apply_update(time, (total, used), false, VIEW, draw);
            }
        }
        let mut due = chance;
        while due > 0.0 && rng.random::<f64>() < due {
            due -= 1.0;
            let host = &mut hosts[rng.random_range(0..HOSTS)];
            if now < host.back_at {
                continue;
            }
            outcome.requests += 1;
            if host.bucket.admit(time, COST, VIEW).is_ok() {
                admitted.push_back((time, COST));
                sum += COST;
            } else {
                outcome.refused += 1;
                outcome.refused_young += u64::from(now < host.back_at + 1_000);
            }
        }
        while let Some((at, cost)) = admitted.front()
            && time.since(*at) >= WINDOW
        {
            sum -= cost;
            admitted.pop_front();
        }
        outcome.peak = outcome.peak.max(sum);
    }
    outcome
}

macro_rules! limits {
    ($($name:ident: $times:literal, $kills:ident;)*) => {$(
        // Guards against a burst that is granted again to each host that starts.
        #[test]
        fn $name() {
            let peaks = (0..8).map(|seed| run(seed, $times, Kills::$kills).peak);
            let peak = peaks.max().expect("there are seeds");
            println!("peak {peak}, limit {}", limit());
            assert!(peak <= limit(), "{peak} of {}", limit());
        }
    )*};
}

limits! {
    hosts_killed_in_turn_stay_within_the_limit: 6.0, Rolling;
    hosts_that_are_ignored_stay_within_the_limit: 6.0, Ignored;
    a_deployment_that_starts_anew_stays_within_the_limit: 6.0, All;
}

macro_rules! within_rate {
    ($($name:ident: $times:literal, $kills:ident;)*) => {$(
        // Guards against refusals of a customer within its rate at hosts that start.
        #[test]
        fn $name() {
            let mut sum = Outcome::default();
            for seed in 0..8 {
                let outcome = run(seed, $times, Kills::$kills);
                sum.requests += outcome.requests;
                sum.refused += outcome.refused;
                sum.refused_young += outcome.refused_young;
            }
            println!("{} of {} refused, {} young", sum.refused, sum.requests, sum.refused_young);
            assert_eq!(sum.refused, 0, "of {}", sum.requests);
        }
    )*};
}

within_rate! {
    a_customer_within_its_rate_is_served_by_hosts_killed_in_turn: 0.55, Rolling;
    a_customer_within_its_rate_is_served_by_a_deployment_that_starts_anew: 0.55, All;
}

//! Tests when the hosts of a data centre send callers to others.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_policy::serving::{HubSelector, HubStatus, IsolationDetector};
use sequoiawing_types::{Name, Time};
use std::{net::SocketAddr, time::Duration};

const HOSTS: usize = 300;
const CENTRES: usize = 5;
const STEP: u64 = 50;

/// The longest time between two answers of a hub to a host of a large deployment.
const REPORT_CYCLE: u64 = 650;

/// The interval between two checks of a host, and the duration of a failing probe.
const CHECK_INTERVAL: u64 = 250;
const PROBE_MILLIS: u64 = 300;

/// The fault begins.
const FAULT: u64 = 5_000;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The first data centre is cut off from the others.
    CentreCut,
    /// No hub is in touch with the log's majority; upstreams are reached.
    LogLost,
    /// One data centre's upstreams end; hubs are in touch with the log.
    UpstreamsLost,
}

struct Host {
    centre: usize,
    hubs: HubSelector,
    detector: IsolationDetector,
    next_report: [u64; 2],
    next_check: u64,
}

fn hub(centre: usize) -> SocketAddr {
    let centre = u8::try_from(centre).expect("few centres");
    SocketAddr::from(([10, centre, 0, 1], 1))
}

/// Plays a fault of `millis`; returns for each host when it was isolated, in milliseconds
/// after the fault.
fn play(seed: u64, fault: Fault, millis: u64) -> Vec<(usize, Vec<u64>)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|i| {
            let centre = i % CENTRES;
            let name = Name::from(format!("c{centre}"));
            Host {
                centre,
                hubs: HubSelector::new(name, rng.random()),
                detector: IsolationDetector::default(),
                next_report: [0; 2].map(|_: u64| rng.random_range(0..REPORT_CYCLE)),
                next_check: rng.random_range(0..CHECK_INTERVAL),
            }
        })
        .collect();
    let mut isolated: Vec<(usize, Vec<u64>)> =
        hosts.iter().map(|h| (h.centre, Vec::new())).collect();
    for at in (0..FAULT + millis + 3_000).step_by(usize::try_from(STEP).expect("small")) {
        let now = Time::from_millis(at);
        let is_faulty = (FAULT..FAULT + millis).contains(&at);
        for (host, isolated) in hosts.iter_mut().zip(&mut isolated) {
            for (i, next) in host.next_report.iter_mut().enumerate() {
                if at < *next {
                    continue;
                }
                *next = at + REPORT_CYCLE;
                // The hub of its own data centre, and one of another.
                let centre = (host.centre + i * 2) % CENTRES;
                let is_cut = is_faulty && fault == Fault::CentreCut;
                if is_cut && (centre == 0) != (host.centre == 0) {
                    host.hubs.record_failure(now, hub(centre));
                    continue;
                }
                let is_out_of_touch = match fault {
                    Fault::CentreCut => is_faulty && centre == 0,
                    Fault::LogLost => is_faulty,
                    Fault::UpstreamsLost => false,
                };
                let age = if is_out_of_touch { at - FAULT } else { 100 };
                host.hubs.add(now, hub(centre), true);
                let status = HubStatus {
                    centre: Name::from(format!("c{centre}")),
                    leads: false,
                    age: Duration::from_millis(age),
                };
                host.hubs.record_answer(now, hub(centre), status);
            }
            if at >= host.next_check {
                host.next_check = at + CHECK_INTERVAL;
                let is_unreachable = match fault {
                    Fault::CentreCut => is_faulty && host.centre == 0,
                    Fault::LogLost => false,
                    Fault::UpstreamsLost => is_faulty,
                };
                if host.detector.observe(host.hubs.log_age(now)) {
                    host.next_check += if is_unreachable { PROBE_MILLIS } else { 0 };
                    let (reached, unreachable) = if is_unreachable { (0, 3) } else { (3, 0) };
                    host.detector.record_probes(reached, unreachable);
                }
            }
            if host.detector.is_isolated() {
                isolated.1.push(at.saturating_sub(FAULT));
            }
        }
    }
    isolated
}

/// A data centre of 60 hosts is cut off for six seconds while callers still reach it.
/// Guards against callers who are refused there as long as the cut lasts: platforms send
/// them to another one only once no host of the data centre is ready.
#[test]
fn no_host_of_a_cut_data_centre_stays_ready() {
    for seed in 0..8 {
        for (centre, times) in play(seed, Fault::CentreCut, 6_000) {
            if centre > 0 {
                assert_eq!(times, Vec::<u64>::new(), "seed {seed}: centre {centre}");
                continue;
            }
            let first = times.first().copied().expect("the cut lasts six seconds");
            assert!(first <= 2_500, "seed {seed}: after {first} ms");
            let last = times.last().copied().unwrap_or_default();
            assert!(last <= 6_000 + REPORT_CYCLE + CHECK_INTERVAL + PROBE_MILLIS);
        }
    }
}

macro_rules! faults {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..8 {
                for (centre, times) in play(seed, $fault, 6_000) {
                    assert_eq!(times, Vec::<u64>::new(), "seed {seed}: centre {centre}");
                }
            }
        }
    )*};
}

// Guards against a deployment whose hosts are all unready at once.
faults! {
    no_host_is_isolated_by_the_loss_of_the_log: Fault::LogLost;
    no_host_is_isolated_by_the_loss_of_upstreams: Fault::UpstreamsLost;
}

#[test]
fn a_single_unreachable_upstream_isolates_no_host() {
    let mut detector = IsolationDetector::default();
    assert!(!detector.observe(None), "no hub has answered yet");
    assert!(detector.observe(Some(Duration::from_secs(2))));
    detector.record_probes(0, 1);
    assert!(!detector.is_isolated());
}

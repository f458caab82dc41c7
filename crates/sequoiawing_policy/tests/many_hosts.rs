//! Tests how hundreds of hosts that each see little spread their requests over the upstreams
//! that hold a model.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiawing_fleet::{RosterEntry, UpstreamState};
use sequoiawing_policy::serving::{
    AttemptOutcome, Balancer, BalancerRequest, PickResult, PromptPart, ReportedLoad, UpstreamKey,
};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

const HOSTS: usize = 300;
const REPLICAS: u32 = 4;
const SLOTS: u32 = 12;

/// How long an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(400);

fn host() -> Balancer {
    let mut balancer = Balancer::default();
    balancer.set_cache_tokens(&Name::from("pool"), 100_000);
    for i in 0..REPLICAS {
        let state = UpstreamState {
            name: Name::from(format!("i-{i}")),
            pool: Name::from("pool"),
            address: Some(SocketAddr::from(([127, 0, 0, 1], 80))),
            epoch: 1,
            sequence: 1,
            slots: SLOTS,
            loaded: vec![Name::from("m")],
            ..UpstreamState::default()
        };
        let state = Arc::new(state);
        balancer.update(&RosterEntry { state, gone: false });
    }
    balancer
}

/// The prompt of a request: a long part of few kinds, one of some kinds, and its own.
fn prompt(rng: &mut ChaCha8Rng, kinds: u64, number: u64) -> Arc<[PromptPart]> {
    let part = |id, tokens| PromptPart { id, tokens };
    let first = rng.random_range(0..3);
    let second = 100 + rng.random_range(0..kinds);
    [
        part(first, 2_500),
        part(second, 3_800),
        part(1_000 + number, 500),
    ]
    .into()
}

struct Run {
    /// The largest share of the requests that one upstream got.
    busiest: f64,
    /// The share of the requests that came to an upstream with no free slot.
    queued: f64,
    /// The number of upstreams that each first two parts were read at, on average.
    readers: f64,
}

/// Sends requests at `rate` a second from all hosts together, for 20 seconds.
fn run(rate: u64, kinds: u64, has_parts: bool) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut hosts: Vec<Balancer> = (0..HOSTS).map(|_| host()).collect();
    let mut open: Vec<(Time, usize, UpstreamKey, Name)> = Vec::new();
    let mut sent: BTreeMap<Name, u32> = BTreeMap::new();
    let mut readers: BTreeMap<(u64, u64), BTreeMap<Name, u32>> = BTreeMap::new();
    let (mut queued, mut total) = (0, 0);
    let requests = rate * 20;
    for number in 0..requests {
        let now = Time::from_millis(number * 1_000 / rate);
        let (ended, running): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(until, ..)| *until <= now);
        open = running;
        for (_, host, key, _) in ended {
            hosts[host].end(now, key, AttemptOutcome::Succeeded);
        }
        let host = rng.random_range(0..HOSTS);
        let parts = if has_parts {
            prompt(&mut rng, kinds, number)
        } else {
            Arc::default()
        };
        let request = BalancerRequest {
            pool: Name::from("pool"),
            model: Some(Name::from("m")),
            parts: parts.clone(),
            seed: rng.random(),
            ..BalancerRequest::default()
        };
        let PickResult::Assigned(assigned) = hosts[host].pick(now, &request) else {
            queued += 1;
            continue;
        };
        total += 1;
        let at_upstream = open.iter().filter(|(.., name)| *name == assigned.name);
        let running = u32::try_from(at_upstream.count()).expect("few requests");
        queued += u32::from(running >= SLOTS);
        let load = ReportedLoad {
            running: running.min(SLOTS) + 1,
            waiting: running.saturating_sub(SLOTS),
            slots: SLOTS,
        };
        hosts[host].report(now, assigned.key, load);
        *sent.entry(assigned.name.clone()).or_default() += 1;
        if let [first, second, _] = &*parts {
            let reads = readers.entry((first.id, second.id)).or_default();
            *reads.entry(assigned.name.clone()).or_default() += 1;
        }
        open.push((now + SERVICE_TIME, host, assigned.key, assigned.name));
    }
    let most = sent.values().max().copied().unwrap_or_default();
    let at: usize = readers.values().map(BTreeMap::len).sum();
    let count = |n: usize| f64::from(u32::try_from(n).expect("few"));
    Run {
        busiest: f64::from(most) / f64::from(total),
        queued: f64::from(queued) / f64::from(total),
        readers: count(at) / count(readers.len().max(1)),
    }
}

/// 300 hosts send 60 requests a second to four upstreams, which together have room for
/// twice that. Guards against hosts that know of no load and all turn to the first
/// upstream of the roster.
#[test]
fn hosts_without_sight_spread_their_requests() {
    let run = run(60, 1, false);
    assert!(run.busiest <= 0.3, "one of four got {:.2}", run.busiest);
    assert!(run.queued <= 0.01, "{:.3} found no slot", run.queued);
}

/// The same with prompts that share their first parts, of few kinds.
#[test]
fn shared_prompts_are_kept_together_without_a_queue() {
    let run = run(30, 8, true);
    assert!(run.busiest <= 0.45, "one of four got {:.2}", run.busiest);
    assert!(run.queued <= 0.01, "{:.3} found no slot", run.queued);
    assert!(
        run.readers <= 2.0,
        "each was read at {:.1} of four",
        run.readers
    );
}

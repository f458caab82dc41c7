//! Prints the bytes and processor time of the limits that upstreams name:
//! `cargo run --profile deploy -p capacity --bin upstream_limits`. See
//! docs/design/upstream-limits.md.

use capacity::{encoded_bytes, mean_micros};
use sequoiawing_link::{LimitUpdate, ObservedLimit, TokenGrant, TokenUse, UpstreamLimit};
use sequoiawing_policy::serving::{
    LimitReport, NamedRate, PeerView, TokenHolder, TokenIssuer, TokenReport,
};
use sequoiawing_types::{Name, RequestRate, Time};
use std::{hint::black_box, time::Duration};

/// The limited upstreams at a time.
const UPSTREAMS: u32 = 3;

/// Their limit, in requests per second, and how many gateways have tokens for one.
const RATE: f64 = 5.9;
const HOLDERS: usize = 11;

/// How often the leader grants tokens, per second.
const TICKS: f64 = 20.0;

/// The replies of the leader's hub to another one, per second: one for each grant.
const MIRRORS: f64 = 20.0;

/// The numbers of hosts and of hubs among them, the hubs that a gateway follows, and
/// the reports to one hub per second.
const DEPLOYMENTS: [(u32, u32, f64, f64); 3] =
    [(9, 3, 3.0, 24.0), (80, 5, 2.0, 160.0), (300, 9, 2.0, 160.0)];

fn rate() -> Option<RequestRate> {
    RequestRate::per_second(RATE)
}

fn token_use() -> TokenUse {
    TokenUse {
        upstream: Name::from("i-7d1c19af3a"),
        epoch: 1_796_371_200_000,
        named: Some(ObservedLimit {
            rate: rate(),
            age: 350,
        }),
        term: 4,
        granted: 1_200,
        used: 1_100,
        returned: 99,
        wanted: 3,
    }
}

fn update(grants: usize) -> LimitUpdate {
    let grant = TokenGrant {
        host: Name::from("edge-khomas-a-1"),
        incarnation: 1_796_371_200_000,
        granted: 1_200,
        settled: 1_199,
    };
    let limit = UpstreamLimit {
        upstream: Name::from("i-7d1c19af3a"),
        epoch: 1_796_371_200_000,
        named: ObservedLimit {
            rate: rate(),
            age: 350,
        },
        unmet: 20,
        grants: vec![grant; grants],
    };
    let limits = vec![limit; UPSTREAMS as usize];
    LimitUpdate { term: 4, limits }
}

/// Records the reports of some gateways, which want tokens of all upstreams.
fn record(issuer: &mut TokenIssuer, now: Time, hosts: &[Name], used: u64) {
    for host in hosts {
        for upstream in 0..UPSTREAMS {
            let report = LimitReport {
                upstream: Name::from(format!("i-{upstream}")),
                epoch: 1,
                named: Some(NamedRate {
                    rate: rate(),
                    observed: now,
                }),
                tokens: TokenReport {
                    term: 1,
                    granted: used,
                    used,
                    returned: 0,
                    wanted: 2,
                },
            };
            issuer.record(now, (host, 1), Duration::ZERO, &report);
        }
    }
}

/// Returns the time of one report at the issuer and of one grant, in microseconds.
fn issue(gateways: u32) -> (f64, f64) {
    let hosts: Vec<_> = (0..gateways)
        .map(|i| Name::from(format!("edge-{i}")))
        .collect();
    let mut issuer = TokenIssuer::default();
    issuer.set_term(Time::ZERO, 1);
    let view = PeerView {
        hosts: gateways,
        missing: 0,
        is_isolated: false,
    };
    let (mut now, mut used) = (Time::ZERO, 0);
    record(&mut issuer, now, &hosts, 0);
    let report = mean_micros(|| {
        used += 1;
        record(&mut issuer, now, &hosts[..1], used);
    });
    let grant = mean_micros(|| {
        now = now + Duration::from_millis(50);
        black_box(issuer.advance(now, view));
        black_box(issuer.limits());
    });
    (report, grant)
}

fn main() {
    let empty = encoded_bytes(&Vec::<TokenUse>::new()) + encoded_bytes(&None::<LimitUpdate>);
    let uses = vec![token_use(); UPSTREAMS as usize];
    let (report, reply) = (encoded_bytes(&uses), encoded_bytes(&Some(update(1))));
    let mirrored = encoded_bytes(&Some(update(HOLDERS)));
    println!("without limits: {empty} B in a report and its reply");
    println!("with {UPSTREAMS} limits: report {report} B, reply {reply} B");
    println!("reply to another hub, {HOLDERS} gateways with tokens: {mirrored} B");

    let mut holder = TokenHolder::default();
    let rate = rate().unwrap_or_default();
    let mut now = Time::ZERO;
    let check = mean_micros(|| {
        now = now + Duration::from_micros(100);
        black_box(holder.has_token(now, rate, 6));
        holder.record_demand(now);
    });
    println!("check one upstream for a request: {check:.3} µs");

    println!(
        "| hosts | gateway B/s | hub B/s | leader B/s | report µs | grant µs | leader cores |"
    );
    for (hosts, hubs, followed, reports) in DEPLOYMENTS {
        let gateways = f64::from(hosts - hubs);
        let hubs = f64::from(hubs);
        let each = report + reply;
        let gateway = reports * hubs / gateways * each;
        // Each hub passes its gateways' reports on to every other hub.
        let passed = 2.0 * reports * (hubs - 1.0) * report / followed;
        let hub = reports * each + passed + MIRRORS * mirrored;
        let leader = reports * each + passed + MIRRORS * mirrored * (hubs - 1.0);
        let (record, grant) = issue(hosts);
        let records = reports * hubs / followed * record;
        let core = (records + TICKS * grant) / 1e6;
        println!(
            "| {hosts} | {gateway:.0} | {hub:.0} | {leader:.0} | {record:.1} | {grant:.1} | {core:.4} |"
        );
    }
}

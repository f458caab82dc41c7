//! Prints the bytes and processor time of the quarantine:
//! `cargo run --profile deploy -p capacity --bin quarantine`. See
//! docs/design/quarantine.md.

use capacity::{encoded_bytes, mean_micros};
use sequoiawing_link::{
    CrashReport, CrashedCause, QuarantineEntry, QuarantineReport, QuarantineUpdate,
};
use sequoiawing_policy::serving::{
    CrashedAnswer, PoisonDetector, Quarantine, QuarantineSettings, QuarantinedCause,
};
use sequoiawing_types::{CrashCause, Name, Time};
use std::{hint::black_box, time::Duration};

/// The answers that one crash breaks off and that count as evidence.
const ANSWERS: f64 = 7.0;

/// The possible causes of one answer: three shared parts of its prompt, and the
/// request itself.
const CAUSES: u64 = 4;

/// The crashes up to the quarantine, all of which reports then contain.
const CRASHES: u64 = 7;

/// The suspected causes at that time: 36 parts, and the requests that broke off.
const SUSPECTS: u64 = 85;

/// The numbers of hosts and of hubs among them, the hubs that a gateway
/// follows, and the reports to one hub per second.
const DEPLOYMENTS: [(f64, f64, f64, f64); 3] = [
    (9.0, 3.0, 3.0, 24.0),
    (80.0, 5.0, 2.0, 160.0),
    (300.0, 9.0, 2.0, 160.0),
];

fn part(crash: u64, index: u64) -> u64 {
    // Some parts are in all crashes, the others in few.
    let id = if index < 2 {
        index
    } else {
        crash * CAUSES + index
    };
    id.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn answer(crash: u64, index: u64) -> CrashedAnswer {
    let broken = Time::from_millis(1_000 + 300 * crash);
    CrashedAnswer {
        upstream: Name::from(format!("i-{crash:010x}")),
        epoch: 1_796_371_200_000 + crash,
        cause: CrashCause::part(part(crash, index)),
        attempt: part(crash, 99),
        sent: Time::from_millis(700 + 300 * crash),
        broken,
    }
}

fn detector(crashes: u64, causes: u64) -> PoisonDetector {
    let mut detector = PoisonDetector::new(QuarantineSettings::default());
    for crash in 0..crashes {
        for index in 0..causes {
            let answer = answer(crash, index);
            detector.record_crash(answer.broken, &answer);
        }
    }
    detector
}

/// Returns the time of a decision on new evidence, in microseconds.
fn decide(crashes: u64, causes: u64) -> f64 {
    let mut detector = detector(crashes, causes);
    let mut now = Time::from_millis(1_000 + 300 * crashes);
    let mut number = 0;
    mean_micros(|| {
        number += 1;
        now = now + Duration::from_micros(10);
        detector.record_success(now, CrashCause::part(number % 4_096), now);
        black_box(detector.advance(now));
    })
}

/// Returns the size of a crash in a report, with the parts of some answers.
fn crash_bytes(answers: f64) -> f64 {
    let cause = CrashedCause {
        id: part(3, 5),
        attempt: part(3, 99),
        sent_age: 1_300,
        ..CrashedCause::default()
    };
    let report = |causes| {
        let crash = CrashReport {
            number: 7,
            upstream: Name::from("i-0000000007"),
            epoch: 1_796_371_200_000,
            age: 1_150,
            causes: vec![cause.clone(); causes],
        };
        QuarantineReport {
            crashes: vec![crash; 8],
            ..QuarantineReport::default()
        }
    };
    let one = encoded_bytes(&report(1)) / 8.0;
    let each = (encoded_bytes(&report(11)) / 8.0 - one) / 10.0;
    one + each * (answers * f64::from(u32::try_from(CAUSES).unwrap_or(u32::MAX)) - 1.0)
}

fn main() {
    let entry = QuarantinedCause {
        cause: CrashCause::part(part(1, 1)),
        term: 1,
        until: Time::from_millis(600_000),
        released: false,
    };
    let told = QuarantineEntry {
        id: entry.cause.id,
        term: 1,
        remaining: 600_000,
        ..QuarantineEntry::default()
    };
    let empty =
        encoded_bytes(&QuarantineReport::default()) + encoded_bytes(&QuarantineUpdate::default());
    let quarantined = QuarantineReport {
        quarantined: vec![told],
        ..QuarantineReport::default()
    };
    let told = QuarantineUpdate {
        suspects: Vec::new(),
        quarantined: vec![told],
    };
    let quiet = encoded_bytes(&quarantined) + encoded_bytes(&told);
    let suspects = (0..SUSPECTS).map(|index| part(9, index)).collect();
    let suspected = encoded_bytes(&QuarantineUpdate {
        suspects,
        ..told.clone()
    });
    println!("report and reply: {empty} B; with one quarantined cause: {quiet} B");
    println!("reply with {SUSPECTS} suspects: {suspected} B");

    let mut known = detector(40, 28);
    let now = Time::from_millis(20_000);
    let repeated = answer(7, 3);
    let record = mean_micros(|| known.record_crash(now, &repeated));
    let (typical, full) = (decide(40, 28), decide(1_024, 256));
    println!("record a known answer: {record:.2} µs");
    println!("decide on 40 crashes with 28 causes: {typical:.0} µs");
    println!("decide on 1,024 crashes with 256 causes: {full:.0} µs");

    let mut gate = Quarantine::new(QuarantineSettings::default(), 1);
    let entries: Vec<_> = (0..256)
        .map(|n| QuarantinedCause {
            cause: CrashCause::part(part(n, 5)),
            ..entry
        })
        .collect();
    gate.apply(Time::ZERO, &entries);
    let prompt: Vec<_> = (0..4).map(CrashCause::part).collect();
    let find = mean_micros(|| {
        black_box(gate.find(Time::ZERO, &prompt));
    });
    println!("look up a prompt among 256 causes: {find:.3} µs");

    println!(
        "| hosts | gateway B/s, quiet | gateway B/s, storm | hub B/s, storm | hub core, storm |"
    );
    for (hosts, hubs, followed, reports) in DEPLOYMENTS {
        let gateways = hosts - hubs;
        // The share of gateways that lose an answer in one crash.
        let share = 1.0 - (1.0 - 1.0 / gateways).powf(ANSWERS);
        let answers = ANSWERS / gateways / share;
        let crashes = f64::from(u32::try_from(CRASHES).unwrap_or(u32::MAX)) * share;
        let report = crashes * crash_bytes(answers) + suspected + quiet;
        let sent = reports * hubs / gateways;
        // Each hub passes its gateways' reports on to every other hub.
        let hub = reports * report + 2.0 * reports * (hubs - 1.0) * (report - suspected) / followed;
        // A hub takes each crash of a gateway once and decides after reports.
        let decisions = reports.min(50.0) * typical;
        let core = decisions / 1e6;
        let quiet = sent * quiet;
        let storm = sent * report;
        println!("| {hosts} | {quiet:.0} | {storm:.0} | {hub:.0} | {core:.5} |");
    }
}

//! A gateway is stopped while it relays streams. One answer in twenty of one of two runners has
//! neither a length nor chunks and ends with its connection. The runners are sound and send all
//! events, and close connections that were idle for 0.4 s.

use crate::{
    Verdict,
    client::Call,
    deployment::Deployment,
    engine::{Engine, Settings},
    record::Record,
    streams::{HOST, KEY, MODEL, PATH, configuration},
};
use std::{
    sync::Arc,
    thread::{sleep, spawn},
    time::Duration,
};

/// The streams that run when the gateway gets SIGTERM.
const STREAMS: usize = 60;

/// One of so many answers of one of two runners has no length: x = 0.05 and share = 0.5 in the
/// site file.
const ONE_OF: u64 = 20;

/// How long a connection to a runner may be idle: no whole second.
const IDLE: Duration = Duration::from_millis(400);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    if !deployment.configure(record, &configuration(false)) {
        return Verdict::NotRun;
    }
    // With `IDLE_MS=5000` runners keep idle connections, and all else is the same.
    let idle = std::env::var("IDLE_MS").ok().and_then(|ms| ms.parse().ok());
    let idle = idle.map_or(IDLE, Duration::from_millis);
    let engines: Vec<Arc<Engine>> = (0..2)
        .map(|index| {
            let settings = Settings {
                id: format!("i-7f3a91c{index}"),
                service: "huvo11a".to_owned(),
                zone: crate::deployment::ZONES[index].to_owned(),
                address: deployment.runner(index),
                slots: 32,
                model: Some(MODEL.to_owned()),
                adapter_slots: 8,
                id_step: 1,
                idle: Some(idle),
                controls: deployment.controls(),
            };
            Engine::start(settings, record)
        })
        .collect();
    if !(0..2).all(|index| deployment.wait_ready(index)) {
        record.line("the gateways did not become ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(3));
    let front = deployment.front(0);
    let send = move |record: &Record, body: &str| {
        let call = Call {
            front,
            host: HOST,
            path: PATH,
            key: KEY,
            model: MODEL,
            tokens: "",
            deadline_ms: 13_000,
            body,
        };
        call.send(record)
    };
    // Usual traffic; its answers have chunks.
    if !(0..10).all(|_| send(record, "2 10").is_whole) {
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(2));
    if has_trouble {
        record.line("TROUBLE: one answer in twenty of one runner has no length from now on");
        engines[0].leave_out_lengths(ONE_OF);
    }
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let record = record.clone();
            sleep(Duration::from_millis(17));
            // 7 events, half a second apart.
            spawn(move || send(&record, "7 500"))
        })
        .collect();
    record.line("planned work: gateway edge-0 gets SIGTERM");
    deployment.terminate("edge-0");
    let answers: Vec<_> = streams.into_iter().map(|s| s.join()).collect();
    let answers: Vec<_> = answers.into_iter().flatten().collect();
    let whole = answers
        .iter()
        .filter(|a| a.status == 200 && a.is_whole)
        .count();
    let cut = answers
        .iter()
        .filter(|a| a.status == 200 && !a.is_whole)
        .count();
    for line in deployment.log_lines("edge-0", "counts as cut") {
        record.line(&format!("edge-0 log: {line}"));
    }
    record.line(&format!(
        "{whole} of {STREAMS} streams came whole; {cut} ended without a complete answer, though \
         their runners had sent all events"
    ));
    if cut > 0 {
        record.line("LOST: around planned work, requests ended without a complete answer");
        return Verdict::Broken;
    }
    if whole == STREAMS {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

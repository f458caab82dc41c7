//! A runner is ordered to load one adapter more than it has slots, while one that it was
//! ordered to unload still runs a request.

use crate::{
    Verdict,
    client::Call,
    deployment::Deployment,
    engine::{Engine, Settings},
    record::Record,
};
use std::{
    thread::{sleep, spawn},
    time::Duration,
};

const SLOTS: usize = 8;
const MODEL: &str = "daka510000";
const HOST: &str = "ficu95.example";
const PATH: &str = "/lohu930/";
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PATH}\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":13000,\"target_latency_ms\":2000,\"priority\":0,\
         \"service\":\"huvo11a\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gap_aim_ms\":600}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_conns\":230,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv_tokens\":218998,\
         \"kv_bytes\":327680,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":5,\
         \"cap\":12,\"host_mb\":130000.0,\"disk_mb\":1300000.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":65500.0,\"load_s\":6.0,\
         \"adapters\":28,\"adapter_mb\":40.0,\"warm_s\":0.38,\"disk_s\":0.49}}],\
         \"weights_mb\":200000.0,\"adapter_slots\":{SLOTS},\"loads_per_s\":15.0}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":98717,\"burst\":98717}}]}}"
    )
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    if !deployment.configure(record, &configuration()) {
        return Verdict::NotRun;
    }
    let settings = Settings {
        id: "i-7f3a91c2".to_owned(),
        service: "huvo11a".to_owned(),
        zone: "zone-a".to_owned(),
        address: deployment.runner(0),
        slots: 32,
        model: Some(MODEL.to_owned()),
        adapter_slots: SLOTS,
        id_step: 1,
        idle: None,
        controls: deployment.controls(),
    };
    let engine = Engine::start(settings, record);
    if !(0..2).all(|index| deployment.wait_ready(index)) {
        record.line("the gateways did not become ready");
        return Verdict::NotRun;
    }
    let fronts = [deployment.front(0), deployment.front(1)];
    let call = |front, adapter: usize, body: &str| {
        let model = format!("{MODEL}/a{adapter}");
        let call = Call {
            front,
            host: HOST,
            path: PATH,
            key: KEY,
            model: &model,
            tokens: "",
            deadline_ms: 13_000,
            body,
        };
        call.send_until_served(record, 8)
    };
    // The first requests find the deployment up.
    if call(fronts[0], 1, "2 10").status != 200 {
        return Verdict::NotRun;
    }
    // A long answer by a1: 18 events, each half a second behind the last.
    let (front, other) = (fronts[0], record.clone());
    let long = spawn(move || {
        let model = format!("{MODEL}/a1");
        let call = Call {
            front,
            host: HOST,
            path: PATH,
            key: KEY,
            model: &model,
            tokens: "",
            deadline_ms: 13_000,
            body: "18 500",
        };
        call.send(&other)
    });
    sleep(Duration::from_millis(300));
    // The other adapters of the engine are asked for in turn, until all slots are taken.
    for adapter in 2..=SLOTS {
        if call(fronts[adapter % 2], adapter, "2 10").status != 200 && !engine.has_crashed() {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_millis(1_200));
    if has_trouble {
        record.line("TROUBLE: a rare adapter is asked for, by one request");
        let model = format!("{MODEL}/a{}", SLOTS + 1);
        let rare = Call {
            front: fronts[1],
            host: HOST,
            path: PATH,
            key: KEY,
            model: &model,
            tokens: "",
            deadline_ms: 13_000,
            body: "2 10",
        };
        rare.send(record);
    }
    let answer = long.join().unwrap_or_default();
    record.line(&format!(
        "the long answer: status {}, {}",
        answer.status,
        if answer.is_whole {
            "whole"
        } else {
            "broken off"
        }
    ));
    for index in 0..3 {
        for line in deployment.log_lines(&format!("core-{index}"), "Engine order finished") {
            record.line(&format!("core-{index} log: {line}"));
        }
    }
    match engine.overload() {
        Some(cause) => {
            record.line(&format!("LIMIT: {cause}"));
            Verdict::Broken
        }
        None if answer.is_whole => Verdict::Held,
        None => Verdict::NotRun,
    }
}

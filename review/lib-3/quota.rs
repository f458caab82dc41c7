//! The quota of a tenant is lowered to less than half a token a second. The configuration is
//! acknowledged, and the tenant has no limit any more.

use crate::{
    Verdict,
    client::Call,
    deployment::Deployment,
    engine::{Engine, Settings},
    plain::{HOST, KEY, PATH, with_quota},
    record::Record,
};
use std::{
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

const TENANT: &str = "hule930";

/// The tokens of one request: a long one, as `archive-check` has them.
const TOKENS: u64 = 6_300 + 2_890 + 50;

/// `quota_window_s` of the site.
const WINDOW: Duration = Duration::from_secs(8);

/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    if !deployment.configure(record, &with_quota(3, TENANT, "98717")) {
        return Verdict::NotRun;
    }
    let settings = Settings {
        id: "i-7f3a91c0".to_owned(),
        service: "wuno96b".to_owned(),
        zone: "zone-a".to_owned(),
        address: deployment.runner(0),
        slots: 6,
        model: None,
        adapter_slots: 0,
        id_step: 1,
        controls: deployment.controls(),
    };
    let engine = Engine::start(settings, record);
    if !(0..2).all(|index| deployment.wait_ready(index)) {
        record.line("the gateways did not become ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(4));
    // Far below what the tenant sends in both cases.
    let quota = if has_trouble { "0.4" } else { "1" };
    record.line(&format!(
        "the operator lowers the quota to {quota} tokens a second"
    ));
    if !deployment.configure(record, &with_quota(7, TENANT, quota)) {
        return Verdict::NotRun;
    }
    let acknowledged = Instant::now();
    // A lower limit binds one window after `config_apply_ms`.
    let binds = acknowledged + APPLY + WINDOW;
    let end = binds + WINDOW + Duration::from_secs(1);
    let clients: Vec<_> = (0..2)
        .map(|index| {
            let (front, record) = (deployment.front(index), record.clone());
            spawn(move || {
                let tokens = format!("{},50", TOKENS - 50);
                while Instant::now() < end {
                    let call = Call {
                        front,
                        host: HOST,
                        path: PATH,
                        key: KEY,
                        model: "",
                        tokens: &tokens,
                        deadline_ms: 4_000,
                        body: "{}",
                    };
                    call.send(&record);
                    sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let arrivals = engine.arrivals();
    let most = arrivals
        .iter()
        .filter(|first| **first >= binds)
        .map(|first| {
            let in_window = |at: &&Instant| **at >= *first && **at < *first + WINDOW;
            arrivals.iter().filter(in_window).count() as u64 * TOKENS
        })
        .max()
        .unwrap_or_default();
    let rate: f64 = quota.parse().unwrap_or_default();
    let allowed = (rate * WINDOW.as_secs_f64() + rate) * 1.1 + 110_000.0;
    record.line(&format!(
        "{most} tokens ran within {} s once the limit bound; {allowed:.0} are allowed",
        WINDOW.as_secs()
    ));
    if most as f64 > allowed {
        record.line("QUOTA: more than the acknowledged limit allows");
        return Verdict::Broken;
    }
    Verdict::Held
}

//! A runner says that it leaves, and this is acknowledged. Then one heartbeat of another
//! writer, in which fields are missing, bears the id and the address of the runner, and
//! requests reach it again.

use crate::{
    Verdict,
    client::Call,
    deployment::Deployment,
    engine::{Engine, Settings},
    plain::{HOST, KEY, PATH, plain_service},
    record::Record,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long the runner serves behind the acknowledgement: `drain_ms` and a little longer, at
/// times many seconds.
const SERVES: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    if !deployment.configure(record, &plain_service(3, "hule930")) {
        return Verdict::NotRun;
    }
    let runners: Vec<Arc<Engine>> = (0..3)
        .map(|index| {
            let settings = Settings {
                id: format!("i-7f3a91c{index}"),
                service: "wuno96b".to_owned(),
                zone: crate::deployment::ZONES[index].to_owned(),
                address: deployment.runner(index),
                slots: 6,
                model: None,
                adapter_slots: 0,
                id_step: 1,
                idle: None,
                controls: deployment.controls(),
            };
            Engine::start(settings, record)
        })
        .collect();
    if !(0..2).all(|index| deployment.wait_ready(index)) {
        record.line("the gateways did not become ready");
        return Verdict::NotRun;
    }
    // Clients send all the time, ten requests a second at each gateway.
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..2)
        .map(|index| {
            let (front, record) = (deployment.front(index), record.clone());
            let (is_over, served) = (is_over.clone(), served.clone());
            spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let call = Call {
                        front,
                        host: HOST,
                        path: PATH,
                        key: KEY,
                        model: "",
                        tokens: "",
                        deadline_ms: 4_000,
                        body: "{}",
                    };
                    if call.send(&record).status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(4));
    let leaving = &runners[1];
    if leaving.arrivals().is_empty() {
        record.line("the runner got no request before it left");
        is_over.store(true, Ordering::Relaxed);
        return Verdict::NotRun;
    }
    leaving.drain();
    let start = Instant::now();
    while leaving.departed().is_none() && start.elapsed() < Duration::from_secs(8) {
        sleep(Duration::from_millis(10));
    }
    let Some(departed) = leaving.departed() else {
        record.line("the departure was not acknowledged");
        is_over.store(true, Ordering::Relaxed);
        return Verdict::NotRun;
    };
    sleep(Duration::from_secs(1));
    if has_trouble {
        // Without `version` and `cold_left_ms`; the writer started just now.
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since.expect("a time after 1970").as_millis();
        let body = format!(
            "{{\"service\":\"wuno96b\",\"addr\":\"{}\",\"zone\":\"zone-b\",\"slots\":6,\
             \"state\":\"ready\",\"born\":{born},\"seq\":1}}",
            leaving.settings.address
        );
        let path = format!("/Instances.Heartbeat/{}", leaving.settings.id);
        let to = deployment.control(0);
        let status = deployment.operate(to, "POST", &path, &body).status;
        record.line(&format!(
            "TROUBLE: another writer sends {path} {body} to {to}: status {status}"
        ));
    }
    sleep(SERVES);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let late = leaving.arrivals();
    let late = late.iter().filter(|at| **at > departed + DRAIN).count();
    record.line(&format!(
        "{} requests were served; {late} reached runner {} later than 2,000 ms after the \
         acknowledgement",
        served.load(Ordering::Relaxed),
        leaving.settings.id
    ));
    if late > 0 {
        record.line("DRAIN: requests reached a runner whose departure was acknowledged");
        return Verdict::Broken;
    }
    Verdict::Held
}

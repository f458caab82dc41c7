//! The first configuration has the version 0. It is acknowledged and never comes into force.

use crate::{
    Verdict,
    client::Call,
    deployment::Deployment,
    engine::{Engine, Settings},
    plain::{HOST, KEY, PATH, plain_service},
    record::Record,
};
use std::{thread::sleep, time::Duration};

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    sleep(Duration::from_secs(3));
    let version = if has_trouble { 0 } else { 1 };
    record.line(&format!(
        "the operator sends the first configuration, version {version}"
    ));
    if !deployment.configure(record, &plain_service(version, "hule930")) {
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
        idle: None,
        controls: deployment.controls(),
    };
    let _engine = Engine::start(settings, record);
    // Longer than `contact_ms`, `ack_ms` and `recover_s`.
    sleep(Duration::from_secs(13));
    let mut read = 0;
    let mut answered = 0;
    for round in 0..12 {
        let to = deployment.control(round % 3);
        let answer = deployment.operate(to, "GET", "/Config.Read", "");
        let shown = String::from_utf8_lossy(&answer.body).into_owned();
        let is_sent = answer.status == 200 && shown.contains(&format!("\"version\":{version},"));
        read += usize::from(is_sent);
        answered += usize::from(answer.status != 0);
        record.line(&format!("operator: read at {to}: status {}", answer.status));
        sleep(Duration::from_millis(300));
    }
    let mut served = 0;
    for number in 0..10 {
        let call = Call {
            front: deployment.front(number % 2),
            host: HOST,
            path: PATH,
            key: KEY,
            model: "",
            tokens: "",
            deadline_ms: 4_000,
            body: "{}",
        };
        served += usize::from(call.send(record).status == 200);
    }
    record.line(&format!(
        "the acknowledged configuration was read back {read} times of 12; {served} of 10 \
         requests were served"
    ));
    if answered < 12 {
        record.line(&format!("only {answered} of 12 reads were answered"));
        return Verdict::NotRun;
    }
    if read == 0 {
        record.line("CONFIG: read back, the acknowledged configuration doesn't come");
        return Verdict::Broken;
    }
    if read == 12 && served == 10 {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

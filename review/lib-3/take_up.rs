//! Gateways are stopped and started in turn. The first one breaks off long streams that may be
//! resumed when its grace ends. The ids of their events increase by five. Their clients take
//! them up at the next gateway, which has just got SIGTERM: it passes each request on to a
//! sound runner, and closes the connection without an event.

use crate::{
    Verdict,
    client::next_id,
    deployment::Deployment,
    engine::{Engine, Settings},
    net::{read_body, read_head, request},
    record::Record,
    streams::{HOST, KEY, MODEL, PATH, configuration},
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

const CLIENTS: usize = 6;
const EVENTS: usize = 21;

/// The pause between two events; `gap_aim_ms` is 600.
const GAP_MS: u64 = 500;

/// How long a client waits for the whole stream.
const DEADLINE: Duration = Duration::from_secs(13);

/// What a client got of a stream.
#[derive(Debug, Default)]
struct Part {
    status: u16,
    ids: Vec<u64>,
    is_whole: bool,
}

/// Sends one attempt on an open connection and reads its answer.
fn attempt(
    connection: &mut BufReader<TcpStream>,
    record: &Record,
    events: usize,
    gap: u64,
    last: Option<u64>,
    left: Duration,
) -> Part {
    let id = next_id();
    let deadline = left.as_millis().to_string();
    let last_text = last.map(|last| last.to_string());
    let mut headers = vec![
        ("Host", HOST),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
        ("Key", KEY),
        ("Model", MODEL),
        ("Token-Counts", "646,80"),
        ("Prompt-Prefix", "5c1e07a2:155,91bd3f06:491"),
    ];
    if let Some(last) = &last_text {
        headers.push(("Last-Event-Id", last.as_str()));
    }
    let body = format!("{events} {gap}");
    let bytes = request("POST", &format!("{PATH}{id}"), &headers, body.as_bytes());
    record.line(&format!("client: sends {id}, behind event {last:?}"));
    let mut part = Part::default();
    if connection.get_mut().write_all(&bytes).is_err() {
        return part;
    }
    if let Ok(Some(head)) = read_head(connection) {
        part.status = head.status();
        let (body, is_whole) = read_body(connection, &head, |_| {});
        let text = String::from_utf8_lossy(&body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        part.ids = ids.filter_map(|id| id.parse().ok()).collect();
        part.is_whole = is_whole;
    }
    record.line(&format!(
        "client: {id} got status {}, events {:?}, {}",
        part.status,
        part.ids,
        if part.is_whole {
            "whole"
        } else {
            "the connection was closed"
        }
    ));
    part
}

fn connect(front: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_secs(14))).ok();
    Some(BufReader::new(stream))
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(3);
    for index in 0..3 {
        deployment.start_controller(index, true);
    }
    for index in 0..2 {
        deployment.start_gateway(index);
    }
    if !deployment.configure(record, &configuration(true)) {
        return Verdict::NotRun;
    }
    // With `STEP=1` the ids are consecutive, and all else is the same.
    let step = std::env::var("STEP")
        .ok()
        .and_then(|step| step.parse().ok());
    let step: u64 = step.unwrap_or(5);
    let runners: Vec<Arc<Engine>> = (0..2)
        .map(|index| {
            let settings = Settings {
                id: format!("i-7f3a91c{index}"),
                service: "huvo11a".to_owned(),
                zone: crate::deployment::ZONES[index].to_owned(),
                address: deployment.runner(index),
                slots: 32,
                model: Some(MODEL.to_owned()),
                adapter_slots: 8,
                id_step: step,
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
    // Gateways take streams up once hubs have known a single software version for twice the
    // route's `timeout_ms`.
    sleep(Duration::from_secs(28));
    let fronts = [deployment.front(0), deployment.front(1)];
    for front in fronts {
        // Short streams, as these routes mostly have.
        for _ in 0..4 {
            let Some(mut connection) = connect(front) else {
                return Verdict::NotRun;
            };
            let part = attempt(&mut connection, record, 2, 10, None, DEADLINE);
            if !part.is_whole || part.ids != [step, 2 * step] {
                return Verdict::NotRun;
            }
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            spawn(move || -> Option<(bool, bool)> {
                let start = Instant::now();
                let mut first = connect(fronts[0])?;
                let part = attempt(&mut first, &record, EVENTS, GAP_MS, None, DEADLINE);
                if part.is_whole {
                    return Some((part.ids.len() == EVENTS, false));
                }
                sleep(Duration::from_millis(100));
                let mut second = connect(fronts[1])?;
                let left = DEADLINE.saturating_sub(start.elapsed());
                let last = part.ids.last().copied();
                let rest = attempt(&mut second, &record, EVENTS, GAP_MS, last, left);
                let got = part.ids.len() + rest.ids.len();
                let is_served = rest.is_whole && got == EVENTS;
                // Refusals are answers.
                let is_cut = !rest.is_whole && start.elapsed() < DEADLINE;
                Some((is_served, is_cut))
            })
        })
        .collect();
    if has_trouble {
        sleep(Duration::from_millis(1_000));
        record.line("TROUBLE: gateway edge-0 gets SIGTERM");
        deployment.terminate("edge-0");
        sleep(Duration::from_secs(6));
        record.line("TROUBLE: gateway edge-1 gets SIGTERM, 6 s behind edge-0");
        deployment.terminate("edge-1");
    }
    let ended: Vec<_> = clients
        .into_iter()
        .map(|c| c.join().ok().flatten())
        .collect();
    if ended.iter().any(Option::is_none) {
        record.line("a client could not connect");
        return Verdict::NotRun;
    }
    let ended = || ended.iter().flatten();
    let served = ended().filter(|(is_served, _)| *is_served).count();
    let cut = ended().filter(|(_, is_cut)| *is_cut).count();
    for line in deployment.log_lines("edge-1", "was interrupted") {
        record.line(&format!("edge-1 log: {line}"));
    }
    let is_sound = runners.iter().all(|runner| !runner.has_crashed());
    record.line(&format!(
        "{served} of {CLIENTS} streams came whole; {cut} requests that edge-1 had passed on to \
         a runner (all runners sound: {is_sound}) ended without a complete answer"
    ));
    if cut > 0 {
        record.line("LOST: around planned work, requests ended without a complete answer");
        return Verdict::Broken;
    }
    if served == CLIENTS {
        Verdict::Held
    } else {
        Verdict::NotRun
    }
}

//! The cases: what is done to the deployment, and the check of the rule.

use crate::{
    client::{Clients, Sent},
    deployment::{Deployment, ENGINES, HOST, KEY, SERVICE, configuration, engine_configuration},
    engine::{Engine, LateOrder},
    link::Link,
    record::Record,
    runner::{Runner, heartbeat_address, unframed_body},
    runner_process::RunnerProcess,
    wire,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

/// The bounds of the deployment `inkveld-wind`.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long after a start of a process its kill a machine surely counts as in touch.
const MARGIN: Duration = Duration::from_millis(50);

type Outcome = Result<usize, String>;

/// Plays a case; returns how often the rule was broken.
pub fn play(case: &str, platform: &Path, record: &Record, trouble: &str) -> Outcome {
    match case {
        "half-taken-for-whole" => half_taken_for_whole(platform, record, trouble),
        "half-behind-a-lost-packet" => half_behind_a_lost_packet(platform, record, trouble),
        "late-order-after-restart" => late_order_after_restart(platform, record, trouble),
        "departure-lost" => departure_lost(platform, record, trouble),
        "departure-unknown" => departure_unknown(platform, record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// The machines of the deployment `inkveld-wind`, and runners enough that one of them is less
/// than a share of 0.13.
const CORE: usize = 3;
const EDGE: usize = 6;
const RUNNERS: u8 = 8;

/// The nodes that serve control, the gateways, the runners of a service, and clients.
struct World {
    deployment: Deployment,
    runners: Vec<Arc<Runner>>,
    clients: Clients,
}

impl World {
    fn start(platform: &Path, record: &Record) -> Result<Self, String> {
        let deployment = deploy(platform, record, &configuration(7))?;
        let nodes = deployment.controls();
        let mut runners = Vec::new();
        for i in 0..RUNNERS {
            let address = SocketAddr::new(deployment.ip(100 + i), 8080);
            let work = Duration::from_millis(60);
            let id = format!("i-7f3a91c{i}");
            let runner = Runner::start(
                &id,
                SERVICE,
                address,
                address,
                work,
                nodes.clone(),
                record.clone(),
            );
            runners.push(runner.map_err(|e| e.to_string())?);
        }
        wait_ready(&deployment)?;
        let gateways = (0..EDGE).map(|i| deployment.callers(i)).collect();
        let clients = Clients::start(gateways, "grant", Duration::from_millis(4), record.clone());
        // All machines are in touch, and all runners get requests.
        sleep(Duration::from_secs(6));
        let world = Self {
            deployment,
            runners,
            clients,
        };
        if world
            .runners
            .iter()
            .any(|r| r.runs.lock().unwrap().is_empty())
        {
            return Err("a runner got no request".to_owned());
        }
        Ok(world)
    }

    /// Returns the numbers of the node that leads, as heartbeats are told, and of another.
    fn roles(&self) -> Result<(usize, usize), String> {
        let nodes = self.deployment.controls();
        for (number, node) in nodes.iter().enumerate() {
            let body = self.runners[1]
                .heartbeat_to(*node)
                .ok_or("a heartbeat was not acknowledged")?;
            let Some(leader) = heartbeat_address(&body) else {
                continue;
            };
            let leader = nodes
                .iter()
                .position(|n| *n == leader)
                .ok_or("the leader is unknown")?;
            return Ok((leader, number));
        }
        Err("no node names another one".to_owned())
    }

    /// Counts the requests that reached a runner later than `drain_ms` after the
    /// acknowledgement, sent by clients and passed on while all machines were in touch.
    fn count_late(&self, runner: &Runner, acknowledged: Duration, in_touch: Duration) -> usize {
        let sent: HashMap<String, Sent> = self.clients.sent.lock().unwrap().clone();
        let runs = runner.runs.lock().unwrap().clone();
        let record = &self.deployment.record;
        let mut late = 0;
        let mut lost = 0;
        for run in &runs {
            let Some(client) = sent.get(&run.attempt) else {
                continue;
            };
            if run.at <= acknowledged + DRAIN || client.at < in_touch {
                continue;
            }
            late += 1;
            let status = client.answered.map_or(0, |(_, status)| status);
            lost += usize::from(status != 200);
            record.line(&format!(
                "LATE: {} ran {} {:.3} s after its departure was acknowledged; its client got {status}",
                runner.id, run.attempt, (run.at - acknowledged).as_secs_f64()
            ));
        }
        record.show(&format!(
            "{late} requests reached {} later than {} ms after the acknowledgement, from machines in touch; {lost} of them got no success",
            runner.id, DRAIN.as_millis()
        ));
        late
    }
}

/// Starts the machines and puts a configuration in force.
fn deploy(platform: &Path, record: &Record, text: &str) -> Result<Deployment, String> {
    let deployment =
        Deployment::start(platform, record.clone(), CORE, EDGE).map_err(|e| e.to_string())?;
    if !deployment.configure(text) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    Ok(deployment)
}

fn wait_ready(deployment: &Deployment) -> Result<(), String> {
    if deployment.wait_ready() {
        return Ok(());
    }
    Err("the gateways are not ready".to_owned())
}

fn wait_until(record: &Record, at: Duration) {
    let now = record.now();
    sleep(at.saturating_sub(now));
}

/// A runner says that it leaves; the node that acknowledged this is killed right after, and
/// starts again.
fn departure_lost(platform: &Path, record: &Record, trouble: &str) -> Outcome {
    let mut world = World::start(platform, record)?;
    let (leader, other) = world.roles()?;
    record.line(&format!(
        "core-{leader} leads; the runner will deregister at core-{other}"
    ));
    let nodes = world.deployment.controls();
    let runner = world.runners[0].clone();
    runner
        .heartbeat_to(nodes[leader])
        .ok_or("a heartbeat was not acknowledged")?;
    if !runner.deregister_at(nodes[other]) {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    let mut in_touch = acknowledged;
    if trouble != "0" {
        world.deployment.kill_core(other);
        sleep(Duration::from_millis(300));
        let started = world
            .deployment
            .start_core(other)
            .map_err(|e| e.to_string())?;
        in_touch = started + CONTACT + MARGIN;
    }
    // It serves for drain_ms and some seconds longer.
    wait_until(record, acknowledged + Duration::from_secs(8));
    runner.end();
    sleep(Duration::from_secs(2));
    world.clients.stop();
    sleep(Duration::from_secs(1));
    Ok(world.count_late(&runner, acknowledged, in_touch))
}

/// All processes of the core are killed while a runner is cut off from them; it leaves when
/// the cut is over.
fn departure_unknown(platform: &Path, record: &Record, trouble: &str) -> Outcome {
    let mut world = World::start(platform, record)?;
    let nodes = world.deployment.controls();
    let runner = world.runners[0].clone();
    let cut = trouble != "0" && trouble != "kill";
    let kill = trouble != "0" && trouble != "cut";
    let begin = record.now();
    let mut in_touch = begin;
    if cut {
        runner.is_cut.store(true, Ordering::SeqCst);
        record.line(&format!(
            "{} is cut off from all nodes that serve control",
            runner.id
        ));
    }
    sleep(Duration::from_millis(200));
    if kill {
        for i in 0..CORE {
            world.deployment.kill_core(i);
        }
        sleep(Duration::from_millis(500));
        for i in 0..CORE {
            let started = world.deployment.start_core(i).map_err(|e| e.to_string())?;
            in_touch = started + CONTACT + MARGIN;
        }
    }
    wait_until(record, begin + Duration::from_secs(5));
    // No heartbeat is sent between the end of the cut and the call.
    runner.is_leaving.store(true, Ordering::SeqCst);
    runner.is_cut.store(false, Ordering::SeqCst);
    record.line("the cut is over");
    let start = Instant::now();
    let mut is_acknowledged = false;
    while !is_acknowledged && start.elapsed() < Duration::from_secs(5) {
        is_acknowledged = nodes.iter().any(|node| runner.deregister_at(*node));
    }
    if !is_acknowledged {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    if acknowledged < in_touch {
        return Err("the acknowledging machine was not in touch".to_owned());
    }
    wait_until(record, acknowledged + Duration::from_secs(8));
    runner.end();
    sleep(Duration::from_secs(2));
    world.clients.stop();
    sleep(Duration::from_secs(1));
    Ok(world.count_late(&runner, acknowledged, in_touch))
}

/// Runs a runner in a process of its own: ID, address, and the nodes that serve control.
pub fn run_runner(words: &[String]) -> ExitCode {
    let [id, listens, address, nodes @ ..] = words else {
        return ExitCode::from(2);
    };
    let nodes: Vec<SocketAddr> = nodes.iter().filter_map(|node| node.parse().ok()).collect();
    let (Ok(listens), Ok(address), Ok(record)) =
        (listens.parse(), address.parse(), Record::of_runner())
    else {
        return ExitCode::from(2);
    };
    let work = Duration::from_millis(15);
    match Runner::start(id, SERVICE, listens, address, work, nodes, record) {
        Ok(_) => loop {
            sleep(Duration::from_secs(1));
        },
        Err(_) => ExitCode::from(2),
    }
}

/// A gateway freezes while a runner answers one of its requests without a length; the runner
/// crashes in the middle of that answer and starts again before the gateway wakes.
fn half_taken_for_whole(platform: &Path, record: &Record, trouble: &str) -> Outcome {
    let freeze = trouble != "0" && trouble != "kill";
    let kill = trouble != "0" && trouble != "freeze";
    let deployment = deploy(platform, record, &configuration(7))?;
    let nodes = deployment.controls();
    let mut runners = Vec::new();
    for i in 0..RUNNERS {
        let address = SocketAddr::new(deployment.ip(100 + i), 8080);
        let id = format!("i-7f3a91c{i}");
        runners.push(RunnerProcess::start(&id, address, address, &nodes, record)?);
    }
    wait_ready(&deployment)?;
    // Answers with a length, as usual.
    let clients = Clients::start(
        vec![deployment.callers(0)],
        "grant",
        Duration::from_millis(15),
        record.clone(),
    );
    sleep(Duration::from_secs(7));
    clients.stop();
    sleep(Duration::from_millis(500));
    let served = clients
        .sent
        .lock()
        .unwrap()
        .values()
        .filter(|s| s.answered.is_some_and(|(_, status)| status == 200))
        .count();
    if served < 50 {
        return Err(format!("only {served} requests were served before"));
    }
    let gateway = deployment.callers(0);
    let attempt = "x0000001";
    record.line(&format!("client sends {attempt}"));
    let client = std::thread::spawn(move || call_unframed(gateway, attempt));
    let number = RunnerProcess::first_of(&runners, &format!("runs {attempt}"))?;
    if freeze {
        deployment.signal_edge(0, "STOP");
    }
    runners[number].wait_for(&format!("half {attempt}"))?;
    sleep(Duration::from_millis(100));
    if kill {
        runners[number].kill();
        sleep(Duration::from_millis(500));
        let address = runners[number].address;
        let runner = RunnerProcess::start("i-7f3a91d0", address, address, &nodes, record)?;
        runner.wait_for("accepts")?;
        runners.push(runner);
    } else {
        runners[number].wait_for(&format!("whole {attempt}"))?;
    }
    sleep(Duration::from_millis(200));
    if freeze {
        deployment.signal_edge(0, "CONT");
    }
    let answer = client.join().map_err(|_| "the client failed")?;
    let broken = judge(record, attempt, &answer);
    let is_whole = answer.is_ok_and(|a| a.status() == 200 && a.text() == unframed_body(attempt));
    if trouble == "0" && !is_whole {
        return Err("there was no whole answer without the disruption".to_owned());
    }
    Ok(broken)
}

/// Returns whether the client has a success with less than the runner's whole body.
fn judge(record: &Record, attempt: &str, answer: &std::io::Result<wire::Message>) -> usize {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record.show(&format!("the client gets no whole answer: {error}"));
            return 0;
        }
    };
    let whole = unframed_body(attempt);
    let (status, text) = (answer.status(), answer.text());
    let seal = answer.header("server-seal").unwrap_or("none");
    record.line(&format!("the client gets {status}, seal {seal}: {text}"));
    record.show(&format!(
        "the client gets status {status} with seal {seal} and {} bytes; the whole body has {} bytes",
        text.len(), whole.len()
    ));
    usize::from((200..300).contains(&status) && text != whole)
}

/// Sends a request whose answer has no length.
fn call_unframed(gateway: SocketAddr, attempt: &str) -> std::io::Result<wire::Message> {
    let head = format!(
        "POST /grant/unframed HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\nKey: {KEY}\r\nConnection: close\r\n"
    );
    wire::call(gateway, &head, "{}", Duration::from_secs(8))
}

/// A runner crashes in the middle of an answer without a length, and of the packets with which
/// its connections end one is lost and comes later.
fn half_behind_a_lost_packet(platform: &Path, record: &Record, trouble: &str) -> Outcome {
    let lossy = trouble != "0" && trouble != "kill";
    let kill = trouble != "0" && trouble != "lossy";
    let deployment = deploy(platform, record, &configuration(7))?;
    let nodes = deployment.controls();
    let (mut runners, mut links) = (Vec::new(), Vec::new());
    for i in 0..RUNNERS {
        let near = SocketAddr::new(deployment.ip(100 + i), 8080);
        let far = SocketAddr::new(deployment.ip(200 + i), 8080);
        links.push(Link::start(near, far, record.clone()).map_err(|e| e.to_string())?);
        let id = format!("i-7f3a91c{i}");
        runners.push(RunnerProcess::start(&id, far, near, &nodes, record)?);
    }
    wait_ready(&deployment)?;
    sleep(Duration::from_secs(4));
    let gateway = deployment.callers(0);
    // Answers without a length are usual here.
    for number in 0..40 {
        let attempt = format!("w{number:07}");
        let answer = call_unframed(gateway, &attempt).map_err(|e| e.to_string())?;
        if answer.status() != 200 || answer.text() != unframed_body(&attempt) {
            return Err(format!(
                "an answer before the disruption was {}",
                answer.status()
            ));
        }
    }
    let attempt = "x0000001";
    record.line(&format!("client sends {attempt}"));
    let client = std::thread::spawn(move || call_unframed(gateway, attempt));
    let number = RunnerProcess::first_of(&runners, &format!("half {attempt}"))?;
    sleep(Duration::from_millis(100));
    links[number]
        .loses_silent_end
        .store(lossy, Ordering::SeqCst);
    if kill {
        runners[number].kill();
    }
    let answer = client.join().map_err(|_| "the client failed")?;
    let broken = judge(record, attempt, &answer);
    let is_whole = answer.is_ok_and(|a| a.status() == 200 && a.text() == unframed_body(attempt));
    if trouble == "0" && !is_whole {
        return Err("there was no whole answer without the disruption".to_owned());
    }
    Ok(broken)
}

/// Asks for a model some times a second; returns how many answers were a success.
fn ask(record: &Record, gateway: SocketAddr, models: &[&str], span: Duration, name: &str) -> usize {
    let start = Instant::now();
    let mut threads = Vec::new();
    let mut number = 0;
    while start.elapsed() < span {
        for model in models {
            number += 1;
            let attempt = format!("{name}{number:05}");
            let head = format!(
                "POST /caption/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: {model}\r\nToken-Counts: 600,70\r\nDeadline-Ms: 4000\r\nKey: {KEY}\r\nConnection: close\r\n"
            );
            let (record, model) = (record.clone(), (*model).to_owned());
            threads.push(std::thread::spawn(move || {
                let answer = wire::call(gateway, &head, "{}", Duration::from_secs(5));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!("client gets {status} for {attempt} of {model}"));
                usize::from(status == 200)
            }));
        }
        sleep(Duration::from_millis(150));
    }
    threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum()
}

/// An order of a load is left unanswered; the runner crashes and starts again under its id;
/// the order is carried out then.
fn late_order_after_restart(platform: &Path, record: &Record, trouble: &str) -> Outcome {
    let late = trouble != "0" && trouble != "crash";
    let crash = trouble != "0" && trouble != "late";
    let deployment = deploy(platform, record, &engine_configuration(7))?;
    let nodes = deployment.controls();
    let held = ["model-a", "model-b", "model-c"];
    let is_late = Arc::new(AtomicBool::new(late));
    let mut engines = Vec::new();
    for i in 0..RUNNERS {
        let address = SocketAddr::new(deployment.ip(100 + i), 8080);
        let id = format!("i-7f3a91c{i}");
        let late = LateOrder {
            model: "model-z",
            delay: Duration::from_secs(11),
            is_next: is_late.clone(),
        };
        let engine = Engine::start(
            &id,
            ENGINES,
            address,
            &held,
            nodes.clone(),
            late,
            record.clone(),
        );
        engines.push(engine.map_err(|e| e.to_string())?);
    }
    wait_ready(&deployment)?;
    sleep(Duration::from_secs(5));
    let gateway = deployment.callers(0);
    let asking = record.clone();
    let asked = std::thread::spawn(move || {
        ask(
            &asking,
            gateway,
            &["model-z"],
            Duration::from_millis(600),
            "z",
        )
    });
    let start = Instant::now();
    let ordered = loop {
        if let Some(engine) = engines
            .iter()
            .find(|e| e.was_ordered.load(Ordering::SeqCst))
        {
            break engine.clone();
        }
        if start.elapsed() > Duration::from_secs(6) {
            return Err("no load was ordered".to_owned());
        }
        sleep(Duration::from_millis(5));
    };
    sleep(Duration::from_millis(300));
    if crash {
        ordered.crash();
    }
    sleep(Duration::from_secs(4));
    if crash {
        ordered.restart();
    }
    // Idle models are loaded where there is room.
    sleep(Duration::from_millis(2_500));
    asked.join().ok();
    ask(
        record,
        gateway,
        &["model-x", "model-y"],
        Duration::from_secs(8),
        "xy",
    );
    let exceeded: u64 = engines
        .iter()
        .map(|engine| engine.exceeded.load(Ordering::SeqCst))
        .sum();
    Ok(usize::try_from(exceeded).unwrap_or(1))
}

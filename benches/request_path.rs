//! Measures the overhead that a router adds to a request: `cargo bench --bench
//! request_path`.
//!
//! Controller, router and simulated upstreams run as separate processes. The
//! overhead is the difference to direct requests to the same upstream in the
//! same run. See docs/design/requests.md.

use sequoiawing::{
    ctl::{CtlError, Deployment, Host, OperatorClient, TableFile},
    runtime::{self, Clock, sleep, spawn},
    standin::{CustomerSummary, LoadSettings, run_load},
    tables::BearerKey,
    types::Name,
};
use serde_json::{Value, json};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

const SECRET: &str = "secret-of-the-bench";

/// The requests per second of the latency benchmark.
const REQUEST_RATE: u64 = 2_000;

/// The duration of each latency run, in milliseconds.
const RUN_MS: u64 = 5_000;

/// The number of streams of the throughput benchmark.
const STREAMS: u64 = 200;

/// The number of tokens of each stream.
const STREAM_TOKENS: u64 = 1_000;

/// The time between the tokens of a stream, in microseconds; all streams together
/// then deliver somewhat more than [`TOKEN_RATE`].
const TOKEN_GAP_US: u64 = 9_000;

/// The tokens per second for which the CPU time is reported.
const TOKEN_RATE: f64 = 20_000.0;

/// The number of open streams of the memory benchmark.
const OPEN_STREAMS: u64 = 1_000;

/// The clock ticks per second in which `/proc` reports CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

struct Processes {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Processes {
    fn spawn(&mut self, program: &str, name: &str, settings: &Value) -> u32 {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the settings file can be written");
        let child = Command::new(program)
            .arg(path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon can be started");
        let id = child.id();
        self.children.push(child);
        id
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

struct Bench {
    _processes: Processes,
    router: u32,
    callers: SocketAddr,
    engine: SocketAddr,
    service: SocketAddr,
    key: String,
}

fn main() {
    runtime::run(async {
        let bench = Bench::start().await;
        bench.latency().await;
        bench.streams().await;
        bench.memory().await;
    });
}

impl Bench {
    async fn start() -> Self {
        let folder = format!("sequoiawing-bench-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("the directory can be created");
        let mut processes = Processes {
            folder: folder.clone(),
            children: Vec::new(),
        };
        let [control, link, callers, upstreams, engine, service] = free_addresses();
        let data = folder.join("data");
        processes.spawn(
            env!("CARGO_BIN_EXE_sequoiawing-controller"),
            "controller",
            &json!({ "host": "control-1", "link": control, "secret": SECRET, "data": data }),
        );
        let router = processes.spawn(
            env!("CARGO_BIN_EXE_sequoiawing-router"),
            "router",
            &json!({
                "host": "entry-1", "callers": callers, "upstreams": upstreams, "link": link,
                "secret": SECRET, "credential": SECRET, "controllers": [control],
            }),
        );
        let upstream = |name: &str, pool: &str, listen: SocketAddr| {
            json!({
                "name": name, "pool": pool, "listen": listen, "routers": [upstreams],
                "credential": SECRET, "slots": 4_000,
            })
        };
        let mut runner = upstream("runner-1", "captions", engine);
        runner["load"] = json!(10);
        runner["gap"] = json!(TOKEN_GAP_US);
        let mut plain = upstream("licences-1", "licences", service);
        plain["work"] = json!(0);
        processes.spawn(env!("CARGO_BIN_EXE_sequoiawing-engine"), "engine", &runner);
        processes.spawn(env!("CARGO_BIN_EXE_sequoiawing-service"), "service", &plain);
        let key = configure(control, link).await;
        let bench = Self {
            _processes: processes,
            router,
            callers,
            engine,
            service,
            key,
        };
        bench.wait_until_ready().await;
        bench
    }

    async fn wait_until_ready(&self) {
        for settings in [
            self.service_load(self.callers),
            self.completion_load(self.callers),
        ] {
            let settings = LoadSettings {
                rate: 1,
                span: 1,
                tokens: 1,
                ..settings
            };
            while run_load(settings.clone()).await.statuses().get(&200) != Some(&1) {
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    fn service_load(&self, to: SocketAddr) -> LoadSettings {
        LoadSettings {
            routers: vec![to],
            path: "/look".to_owned(),
            key: self.key.clone(),
            rate: REQUEST_RATE,
            span: RUN_MS,
            ..LoadSettings::default()
        }
    }

    fn completion_load(&self, to: SocketAddr) -> LoadSettings {
        LoadSettings {
            routers: vec![to],
            key: self.key.clone(),
            models: vec!["caption".to_owned()],
            rate: STREAMS,
            span: 1_000,
            tokens: STREAM_TOKENS,
            stream: true,
            ..LoadSettings::default()
        }
    }

    async fn latency(&self) {
        println!("latency at {REQUEST_RATE} requests/s, in ms");
        for round in 1..=3 {
            let direct = summary(self.service_load(self.service)).await;
            let routed = summary(self.service_load(self.callers)).await;
            let line = |what: &str, direct: u64, routed: u64| {
                let millis = |micros: f64| micros / 1_000.0;
                let (d, r) = (as_f64(direct), as_f64(routed));
                println!(
                    "  round {round} {what}: direct {:.3}, routed {:.3}, added {:.3}, ratio {:.2}",
                    millis(d),
                    millis(r),
                    millis(r - d),
                    r / d
                );
            };
            line("p50", direct.took.p50, routed.took.p50);
            line("p99", direct.took.p99, routed.took.p99);
            report_failures(&direct);
            report_failures(&routed);
        }
    }

    async fn streams(&self) {
        let clock = Clock::start();
        let before = cpu_seconds(self.router);
        let routed = summary(self.completion_load(self.callers)).await;
        let used = cpu_seconds(self.router) - before;
        let elapsed = clock.elapsed().as_secs_f64();
        report_failures(&routed);
        let tokens = as_f64(routed.gaps.count + routed.first.count);
        println!(
            "streams: {tokens} events in {elapsed:.2} s, {:.0}/s",
            tokens / elapsed
        );
        println!("  router: {used:.2} s of CPU time");
        println!(
            "  at {TOKEN_RATE} tokens/s: {:.3} cores",
            used / tokens * TOKEN_RATE
        );
        let direct = summary(self.completion_load(self.engine)).await;
        report_failures(&direct);
        for (what, d, r) in [
            ("first token p50", direct.first.p50, routed.first.p50),
            ("gap p50", direct.gaps.p50, routed.gaps.p50),
            ("gap p99", direct.gaps.p99, routed.gaps.p99),
        ] {
            println!("  {what}: direct {d} us, routed {r} us");
        }
    }

    async fn memory(&self) {
        let before = resident_bytes(self.router);
        let open = LoadSettings {
            rate: OPEN_STREAMS,
            ..self.completion_load(self.callers)
        };
        let load = spawn(run_load(open));
        sleep(Duration::from_secs(4)).await;
        let during = resident_bytes(self.router);
        println!(
            "memory: {} bytes resident for each of {OPEN_STREAMS} open streams ({before} before)",
            during.saturating_sub(before) / OPEN_STREAMS
        );
        load.await;
    }
}

async fn summary(settings: LoadSettings) -> CustomerSummary {
    let report = run_load(settings).await;
    report.summaries().pop().expect("one customer")
}

fn report_failures(summary: &CustomerSummary) {
    let all_succeeded = summary.statuses.len() == 1 && summary.statuses.contains_key(&200);
    if !all_succeeded || summary.wrong > 0 {
        println!(
            "  FAILED: statuses {:?}, {} wrong responses",
            summary.statuses, summary.wrong
        );
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Returns the CPU time that a process has used, in seconds.
fn cpu_seconds(process: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).expect("a running process");
    let fields = stat
        .rsplit_once(')')
        .expect("the process name in parentheses")
        .1;
    let ticks = |field: usize| -> u64 {
        let text = fields.split_whitespace().nth(field);
        text.and_then(|t| t.parse().ok()).expect("a number")
    };
    as_f64(ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_bytes(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("a running process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.expect("a number") * 1_024
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|l| l.local_addr().expect("a local address"))
}

async fn configure(control: SocketAddr, link: SocketAddr) -> String {
    let host = |host: &str, address| Host {
        host: Name::from(host),
        centre: Name::from("centre"),
        address,
    };
    let operator = OperatorClient::new(Deployment {
        secret: SECRET.to_owned(),
        controllers: vec![host("control-1", control)],
        routers: vec![host("entry-1", link)],
    });
    let file: TableFile = serde_json::from_value(tables()).expect("valid tables");
    loop {
        let Ok(tables) = operator.read().await else {
            continue;
        };
        let changes = file.changes_from(&tables, false);
        match operator.edit(Some(tables.revision), changes).await {
            Ok(_) => break,
            Err(CtlError::Conflict { .. }) => {}
            Err(error) => panic!("failed to apply the tables: {error}"),
        }
    }
    let key: BearerKey = operator
        .grant_key("daily")
        .await
        .expect("the key can be granted");
    key.reveal()
}

fn tables() -> Value {
    let daily = json!({ "customers": ["daily"] });
    json!({
        "customers": [{ "name": "daily", "rate": 1_000_000_000, "burst": 1_000_000_000 }],
        "pools": [
            { "name": "captions", "models": [{ "name": "caption", "memory": 8000 }] },
            { "name": "licences", "kind": "services" },
        ],
        "routes": [
            {
                "name": "captions", "prefix": "/v1", "pool": "captions", "repeatable": true,
                "access": daily,
            },
            {
                "name": "look", "prefix": "/look", "pool": "licences", "repeatable": true,
                "access": daily,
            },
        ],
    })
}

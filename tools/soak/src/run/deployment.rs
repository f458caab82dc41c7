//! The processes of a run, each with an address of its own on a loopback network that
//! no other run uses.

use crate::{
    caller::{PLAIN, ROUTES, STREAMS},
    judge::Bounds,
    links::Link,
    plan::Size,
    processes::Process,
    record::Record,
    runner::{Mode, Phase, RunnerSettings},
    wire::call,
};
use parking_lot::Mutex;
use rand::RngExt;
use sequoiawing_runtime::{sleep, timeout};
use serde_json::{Value, json};
use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The ports, the same on all hosts of the run's own network.
const CONTROL: u16 = 8229;
const CALLERS: u16 = 8221;
const READY: u16 = 8224;
const RUNNER: u16 = 8080;

/// The first port of the traffic between hosts; that of hubs is the next.
const INTERNAL: u16 = 7600;

/// The internal ports of a host. Those of each gateway with links are its own, so that
/// its links to hubs can be told from those of other gateways.
const INTERNAL_COUNT: u16 = 4;

/// The port at a runner's address of the first gateway's link to it.
const LINKS: u16 = 8300;

/// The gateways that reach runners and hubs over links.
const LINKED: usize = 10;

/// The port that reserves a network.
const RESERVED: u16 = 7999;

/// The numbers of the first gateway and the first runner in the network.
const FIRST_GATEWAY: usize = 10;
const FIRST_RUNNER: usize = 100;

/// The models of the service of streams.
const MODELS: [&str; 3] = ["m0", "m1", "m2"];

/// The time for one call of an operator.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The time within which a departure is acknowledged, and the calls after which a runner
/// ends without that.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);
const DEPARTURE_CALLS: usize = 6;

/// A runner's process and settings.
pub(super) struct RunnerProcess {
    pub(super) process: Mutex<Process>,
    settings: Mutex<RunnerSettings>,
    incarnation: Mutex<u32>,
}

/// All processes of a run; they end when it is dropped.
pub(super) struct Deployment {
    pub(super) controllers: Vec<Mutex<Process>>,
    pub(super) gateways: Vec<Mutex<Process>>,
    pub(super) runners: Vec<RunnerProcess>,
    /// The links of each of the first gateways to all runners.
    pub(super) runner_links: Vec<Vec<Link>>,
    /// The links of each of the first gateways to all hubs.
    pub(super) hub_links: Vec<Vec<Link>>,
    folder: PathBuf,
    network: Network,
}

/// A loopback network that is reserved while this exists.
struct Network {
    prefix: [u8; 2],
    _reserved: TcpListener,
}

impl Network {
    fn reserve() -> io::Result<Self> {
        loop {
            let prefix = {
                let mut random = rand::rng();
                [random.random_range(200..255), random.random_range(0..255)]
            };
            let ip = Ipv4Addr::new(127, prefix[0], prefix[1], 254);
            match TcpListener::bind((ip, RESERVED)) {
                Ok(reserved) => {
                    return Ok(Self {
                        prefix,
                        _reserved: reserved,
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn ip(&self, host: usize) -> IpAddr {
        let host = u8::try_from(host).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], host).into()
    }

    fn controls(&self, number: usize) -> Vec<SocketAddr> {
        let hosts = 1..=number;
        hosts
            .map(|i| SocketAddr::new(self.ip(i), CONTROL))
            .collect()
    }
}

impl Deployment {
    pub(super) fn start(
        platform: &Path,
        folder: PathBuf,
        size: &Size,
        bounds: &Bounds,
    ) -> io::Result<Self> {
        if size.gateways > FIRST_RUNNER - FIRST_GATEWAY || size.runners > 150 {
            return Err(io::Error::other("at most 90 gateways and 150 runners"));
        }
        let mut deployment = Self {
            controllers: Vec::new(),
            gateways: Vec::new(),
            runners: Vec::new(),
            runner_links: Vec::new(),
            hub_links: Vec::new(),
            network: Network::reserve()?,
            folder,
        };
        let seeds = deployment.network.controls(size.controllers);
        for i in 0..size.controllers {
            let ip = deployment.network.ip(1 + i);
            let settings = json!({
                "host": format!("core-{i}"), "centre": format!("z{}", i % 3), "ip": ip,
                "control": SocketAddr::new(ip, CONTROL),
                "data": deployment.folder.join(format!("data-{i}")), "ports": [INTERNAL, INTERNAL + INTERNAL_COUNT - 1],
                "seeds": seeds, "bootstrap": true, "secret": "a secret for the soak",
                "losses": 1, "heartbeat": 600, "lease": 1500,
            });
            let process = deployment.start_host(platform, "controller", i, &settings)?;
            deployment.controllers.push(process);
        }
        for i in 0..size.gateways {
            let ip = deployment.network.ip(FIRST_GATEWAY + i);
            let mut translations = Vec::new();
            let mut ports = [INTERNAL, INTERNAL + INTERNAL_COUNT - 1];
            let mut hubs = seeds.clone();
            if i < LINKED {
                translations = deployment.link_runners(i, size.runners)?;
                ports = ports.map(|port| port + (port_offset(i) + 1) * INTERNAL_COUNT);
                hubs = deployment.link_hubs(ports[0], size.controllers)?;
            }
            let settings = json!({
                "host": format!("edge-{i}"), "centre": format!("z{}", i % 3), "ip": ip,
                "callers": SocketAddr::new(ip, CALLERS), "ready": SocketAddr::new(ip, READY),
                "ports": ports, "seeds": hubs, "secret": "a secret for the soak",
                "translations": translations, "retry_ratio": bounds.ratio, "retry_slack": bounds.slack,
                "retry_window": bounds.window / 1000, "grace": 8,
            });
            let process = deployment.start_host(platform, "gateway", i, &settings)?;
            deployment.gateways.push(process);
        }
        for i in 0..size.runners {
            let runner = deployment.new_runner(i, &seeds, size)?;
            deployment.runners.push(runner);
            deployment.start_runner(i, false)?;
        }
        Ok(deployment)
    }

    /// Starts the links of a gateway to all runners; returns its translations.
    fn link_runners(&mut self, gateway: usize, runners: usize) -> io::Result<Vec<Value>> {
        let mut links = Vec::new();
        let mut translations = Vec::new();
        for i in 0..runners {
            let ip = self.network.ip(FIRST_RUNNER + i);
            let target = SocketAddr::new(ip, RUNNER);
            let reach = SocketAddr::new(ip, LINKS + port_offset(gateway));
            links.push(Link::start(reach, target)?);
            translations.push(json!({ "address": target, "reach": reach }));
        }
        self.runner_links.push(links);
        Ok(translations)
    }

    /// Starts the links of a gateway with this first port to all hubs; returns the
    /// addresses that stand for those of the controllers.
    fn link_hubs(&mut self, first_port: u16, controllers: usize) -> io::Result<Vec<SocketAddr>> {
        let mut links = Vec::new();
        let mut seeds = Vec::new();
        for i in 0..controllers {
            let near = self.network.ip(1 + controllers + i);
            let hub = SocketAddr::new(self.network.ip(1 + i), INTERNAL + 1);
            links.push(Link::start(SocketAddr::new(near, first_port + 1), hub)?);
            seeds.push(SocketAddr::new(near, CONTROL));
        }
        self.hub_links.push(links);
        Ok(seeds)
    }

    fn start_host(
        &self,
        platform: &Path,
        role: &str,
        i: usize,
        settings: &Value,
    ) -> io::Result<Mutex<Process>> {
        let path = self.folder.join(format!("{role}-{i}.json"));
        fs::write(&path, settings.to_string())?;
        let args = vec![role.to_owned(), path.display().to_string()];
        let log = self.folder.join(format!("{role}-{i}.log"));
        let mut process = Process::new(platform, args, log);
        process.start()?;
        Ok(Mutex::new(process))
    }

    fn new_runner(
        &self,
        i: usize,
        controls: &[SocketAddr],
        size: &Size,
    ) -> io::Result<RunnerProcess> {
        let is_stream = i.is_multiple_of(2);
        let models = if is_stream { &MODELS[..] } else { &[] };
        let settings = RunnerSettings {
            id: String::new(),
            born: 0,
            service: if is_stream { STREAMS } else { PLAIN }.to_owned(),
            address: SocketAddr::new(self.network.ip(FIRST_RUNNER + i), RUNNER),
            centre: format!("z{}", i % 3),
            version: "v1".to_owned(),
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            controls: controls.to_vec(),
            heartbeat: 600,
            slots: if size.is_brittle { 6 } else { 32 },
            queue: if size.is_brittle { 18 } else { 0 },
            id_step: if size.has_sparse_ids { 5 } else { 1 },
            record: self.folder.join(format!("runner-{i}.jsonl")),
        };
        let log = self.folder.join(format!("runner-{i}.log"));
        let program = std::env::current_exe()?;
        Ok(RunnerProcess {
            process: Mutex::new(Process::new(&program, Vec::new(), log)),
            settings: Mutex::new(settings),
            incarnation: Mutex::new(0),
        })
    }

    /// Starts a new incarnation of a runner, with the other software version if told so.
    pub(super) fn start_runner(&self, i: usize, is_other: bool) -> io::Result<()> {
        let runner = &self.runners[i];
        let mut incarnation = runner.incarnation.lock();
        *incarnation += 1;
        let mut settings = runner.settings.lock();
        settings.id = format!("i-{i}-{incarnation}");
        settings.born = unix_ms();
        if is_other {
            let other = if settings.version == "v1" { "v2" } else { "v1" };
            other.clone_into(&mut settings.version);
        }
        let text = serde_json::to_string(&*settings)?;
        let mut process = runner.process.lock();
        process.set_args(vec!["runner".to_owned(), text]);
        process.start()?;
        self.set_up(i, true);
        Ok(())
    }

    fn set_up(&self, runner: usize, is_up: bool) {
        for links in &self.runner_links {
            links[runner].set_up(is_up);
        }
    }

    /// Kills a runner and returns its identity.
    pub(super) fn kill_runner(&self, i: usize) -> String {
        self.runners[i].process.lock().kill();
        self.set_up(i, false);
        self.runner_id(i)
    }

    /// Returns the indices of the runners of a service.
    pub(super) fn runners_of(&self, service: &str) -> Vec<usize> {
        let runners = self.runners.iter().enumerate();
        let of_service = runners.filter(|(_, r)| r.settings.lock().service == service);
        of_service.map(|(i, _)| i).collect()
    }

    /// Sends the departure of a runner to a controller, and to the others until one
    /// acknowledges it; returns which one did, and which runner has left.
    pub(super) async fn depart(&self, i: usize, controller: usize) -> Option<(usize, String)> {
        let departed = Mode {
            phase: Phase::Departed,
            ..Mode::default()
        };
        self.set_mode(i, &departed);
        let (id, born) = {
            let settings = self.runners[i].settings.lock();
            (settings.id.clone(), settings.born)
        };
        let path = format!("/Instances.Deregister/{id}");
        let body = json!({ "born": born }).to_string();
        let controls = self.network.controls(self.controllers.len());
        for number in controller..controller + DEPARTURE_CALLS {
            let called = number % controls.len();
            let sent = call(controls[called], "POST", &path, &body);
            if matches!(timeout(ACKNOWLEDGED, sent).await, Some(Ok((200, _)))) {
                return Some((called, id));
            }
            sleep(Duration::from_millis(100)).await;
        }
        None
    }

    pub(super) fn runner_id(&self, i: usize) -> String {
        self.runners[i].settings.lock().id.clone()
    }

    pub(super) fn set_mode(&self, i: usize, mode: &Mode) {
        if let Ok(line) = serde_json::to_string(mode) {
            self.runners[i].process.lock().command(&line);
        }
    }

    /// Returns the address at which a gateway accepts callers.
    pub(super) fn callers(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.network.ip(FIRST_GATEWAY + i), CALLERS)
    }

    /// Returns the address of a gateway's readiness check.
    pub(super) fn ready(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.network.ip(FIRST_GATEWAY + i), READY)
    }

    /// Reads the records that runners have written so far.
    pub(super) fn runner_records(&self) -> Vec<Record> {
        let runners = self.runners.iter();
        let texts = runners.map(|r| fs::read_to_string(&r.settings.lock().record));
        let texts: Vec<_> = texts.map_while(Result::ok).collect();
        let lines = texts.iter().flat_map(|text| text.lines());
        lines.filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// Sends a configuration until a controller acknowledges it.
    pub(super) async fn configure(&self, configuration: &Value) {
        let controls = self.network.controls(self.controllers.len());
        let body = configuration.to_string();
        for address in controls.iter().cycle() {
            let sent = call(*address, "POST", "/Config.Replace", &body);
            if matches!(timeout(CALL_LIMIT, sent).await, Some(Ok((200, _)))) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Configures, and waits until all gateways are ready and know runners of both
    /// services.
    pub(super) async fn wait_until_serving(&self) {
        self.configure(&configuration(1)).await;
        for i in 0..self.gateways.len() {
            for (address, path) in [
                (self.ready(i), "/readyz"),
                (self.callers(i), "/b/1"),
                (self.callers(i), "/d/1"),
            ] {
                while !is_answered(address, path).await {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or_default()
}

fn port_offset(i: usize) -> u16 {
    u16::try_from(i).unwrap_or(u16::MAX)
}

/// Returns whether a check is answered with 200, or 500 by a runner.
async fn is_answered(address: SocketAddr, path: &str) -> bool {
    let sent = async {
        let mut wire = crate::wire::Wire::connect(address).await?;
        let attempt = format!("{:016x}", rand::random::<u64>());
        let mut headers = vec![
            ("Host", "h.example"),
            ("Attempt-Id", &attempt),
            ("Deadline-Ms", "4000"),
            ("Key", "key-of-daily"),
        ];
        if path == "/b/1" {
            headers.push(("Model", "m0"));
            headers.push(("Token-Counts", "100,20"));
        }
        let text = crate::wire::head(&format!("GET {path} HTTP/1.1"), &headers);
        wire.write(text.as_bytes()).await?;
        wire.read_head().await
    };
    let head = timeout(CALL_LIMIT, sent).await;
    matches!(head, Some(Ok(head)) if matches!(head.status(), 200 | 500))
}

/// Returns the configuration of a run.
pub(super) fn configuration(version: u64) -> Value {
    let routes: Vec<_> = ROUTES
        .iter()
        .map(|route| {
            let kind = match (route.is_stream, route.is_repeatable) {
                (true, _) => "streaming",
                (false, true) => "idempotent",
                (false, false) => "non_idempotent",
            };
            json!({
                "name": format!("route-{}", route.prefix.trim_matches('/')),
                "host": "h.example", "path_prefix": route.prefix, "route_kind": kind,
                "timeout_ms": route.deadline, "target_latency_ms": 500, "priority": 0,
                "service": route.service, "max_attempts": route.max_attempts, "public": false,
                "resumable": route.is_stream && route.is_repeatable, "gap_aim_ms": 600,
            })
        })
        .collect();
    let models: Vec<_> = MODELS
        .iter()
        .map(|name| {
            json!({
                "name": name, "weights_mb": 40_000.0, "load_s": 0.4, "adapters": 2,
                "adapter_mb": 40.0, "warm_s": 0.1, "disk_s": 0.2,
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": STREAMS, "health_path": "/healthz", "max_conns": 400, "engine": {
                "slots": 32, "kv_tokens": 1_000_000, "weights_mb": 130_000.0, "adapter_slots": 8,
                "loads_per_s": 10.0, "models": models,
            } },
            { "name": PLAIN, "health_path": "/healthz", "max_conns": 400 },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{
            "name": "daily", "api_keys": ["key-of-daily"], "unit": "token_stream",
            "plain_tokens": 200, "rate_per_s": 1_000_000, "burst": 1_000_000,
        }],
    })
}

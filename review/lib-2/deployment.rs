//! The project's own processes, with the commands of the deploy file, on a loopback network
//! of their own.

use crate::{children, record::Record, wire};
use std::{
    collections::hash_map::RandomState,
    fs,
    hash::{BuildHasher, Hasher},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub const CONTROL: u16 = 8229;
pub const CALLERS: u16 = 8221;
pub const READY: u16 = 8224;

/// The port that reserves a network.
const RESERVED: u16 = 7_999;

/// The ports between machines.
const PORTS: [u16; 2] = [7_600, 7_615];

pub const HOST: &str = "desk.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const SERVICE: &str = "desk-api";
pub const ENGINES: &str = "scribe-pool";

struct Machine {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    platform: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    _reserved: TcpListener,
    core: Vec<Machine>,
    edge: Vec<Machine>,
    pub record: Record,
}

fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

impl Deployment {
    /// Starts so many machines of each class for the first time.
    pub fn start(platform: &Path, record: Record, core: usize, edge: usize) -> io::Result<Self> {
        let (network, reserved) = reserve()?;
        let folder =
            std::env::temp_dir().join(format!("review-2-{}-{:x}", std::process::id(), random()));
        fs::create_dir_all(&folder)?;
        children::set_folder(&folder);
        let mut deployment = Self {
            platform: platform.to_owned(),
            folder,
            network,
            _reserved: reserved,
            core: Vec::new(),
            edge: Vec::new(),
            record,
        };
        for i in 0..core {
            let machine = deployment.machine("controller", i);
            deployment.core.push(machine);
        }
        for i in 0..edge {
            let machine = deployment.machine("gateway", i);
            deployment.edge.push(machine);
        }
        for i in 0..core {
            deployment.write_core(i, true)?;
            deployment.start_core(i)?;
            // All starts after the first one of the whole system say so.
            deployment.write_core_later(i);
        }
        for i in 0..edge {
            deployment.write_edge(i)?;
            deployment.start_edge(i)?;
        }
        Ok(deployment)
    }

    fn machine(&self, role: &'static str, number: usize) -> Machine {
        Machine {
            role,
            settings: self.folder.join(format!("{role}-{number}.json")),
            log: self.folder.join(format!("{role}-{number}.log")),
            child: None,
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host).into()
    }

    fn number(base: u8, i: usize) -> u8 {
        base + u8::try_from(i).unwrap_or(0)
    }

    pub fn core_ip(&self, i: usize) -> IpAddr {
        self.ip(Self::number(1, i))
    }

    /// Returns the addresses of the nodes that serve control.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.core.len())
            .map(|i| SocketAddr::new(self.core_ip(i), CONTROL))
            .collect()
    }

    pub fn callers(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Self::number(20, i)), CALLERS)
    }

    fn ready(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.ip(Self::number(20, i)), READY)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self.controls().iter().map(|s| format!("\"{s}\"")).collect();
        format!("[{}]", seeds.join(","))
    }

    fn write_core(&self, i: usize, bootstrap: bool) -> io::Result<()> {
        let data = self.folder.join(format!("data-{i}"));
        let text = format!(
            "{{\"host\":\"core-{i}\",\"centre\":\"khomas-{i}\",\"ip\":\"{}\",\"control\":\"{}\",\"data\":\"{}\",\
             \"ports\":[{},{}],\"seeds\":{},\"bootstrap\":{bootstrap},\"secret\":\"a secret of the review\",\
             \"losses\":1,\"heartbeat\":1200,\"lease\":3000}}",
            self.core_ip(i),
            SocketAddr::new(self.core_ip(i), CONTROL),
            data.display(),
            PORTS[0],
            PORTS[1],
            self.seeds()
        );
        fs::write(&self.core[i].settings, text)
    }

    /// Writes the settings of later starts once the process has read those of the first.
    fn write_core_later(&self, i: usize) {
        let start = Instant::now();
        let data = self.folder.join(format!("data-{i}"));
        while !data.exists() && start.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(5));
        }
        self.write_core(i, false).ok();
    }

    fn write_edge(&self, i: usize) -> io::Result<()> {
        let ip = self.ip(Self::number(20, i));
        let text = format!(
            "{{\"host\":\"edge-{i}\",\"centre\":\"khomas-{i}\",\"ip\":\"{ip}\",\"callers\":\"{}\",\"ready\":\"{}\",\
             \"ports\":[{},{}],\"seeds\":{},\"secret\":\"a secret of the review\",\"retry_ratio\":0.2,\
             \"retry_slack\":52,\"retry_window\":10,\"grace\":8,\"memory\":260}}",
            self.callers(i),
            self.ready(i),
            PORTS[0],
            PORTS[1],
            self.seeds()
        );
        fs::write(&self.edge[i].settings, text)
    }

    fn spawn(platform: &Path, machine: &mut Machine) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&machine.log)?;
        let child = Command::new(platform)
            .arg(machine.role)
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        children::add(&child);
        machine.child = Some(child);
        Ok(())
    }

    pub fn start_core(&mut self, i: usize) -> io::Result<Duration> {
        Self::spawn(&self.platform, &mut self.core[i])?;
        Ok(self.record.line(&format!("core-{i} starts")))
    }

    pub fn start_edge(&mut self, i: usize) -> io::Result<Duration> {
        Self::spawn(&self.platform, &mut self.edge[i])?;
        Ok(self.record.line(&format!("edge-{i} starts")))
    }

    /// Kills a process of the core; its disk stays.
    pub fn kill_core(&mut self, i: usize) -> Duration {
        if let Some(mut child) = self.core[i].child.take() {
            children::end(&mut child);
        }
        self.record.line(&format!("core-{i} is killed"))
    }

    /// Sends a signal to the process of a gateway.
    pub fn signal_edge(&self, i: usize, signal: &str) -> Duration {
        if let Some(child) = &self.edge[i].child {
            let command = format!("kill -{signal} {}", child.id());
            Command::new("sh").arg("-c").arg(command).status().ok();
        }
        self.record.line(&format!("edge-{i} gets SIG{signal}"))
    }

    /// Sends the configuration until it is acknowledged.
    pub fn configure(&self, text: &str) -> bool {
        for _ in 0..60 {
            for node in self.controls() {
                let answer = wire::post(node, "/Config.Replace", text, Duration::from_secs(1));
                let status = answer.map_or(0, |answer| answer.status());
                self.record.line(&format!(
                    "operator sends the configuration to {node}: {status}"
                ));
                if status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> bool {
        (0..self.edge.len()).all(|i| {
            let start = Instant::now();
            loop {
                let answer = wire::get(self.ready(i), "/readyz", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                if start.elapsed() > Duration::from_secs(20) {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in self.core.iter_mut().chain(&mut self.edge) {
            if let Some(mut child) = machine.child.take() {
                // A stopped process is killed as well.
                children::end(&mut child);
            }
        }
        if std::env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

/// Finds a loopback network that no other run uses.
fn reserve() -> io::Result<([u8; 2], TcpListener)> {
    for _ in 0..100 {
        let bytes = random().to_le_bytes();
        let network = [120 + bytes[0] % 60, bytes[1]];
        let ip = Ipv4Addr::new(127, network[0], network[1], 254);
        if let Ok(listener) = TcpListener::bind((ip, RESERVED)) {
            return Ok((network, listener));
        }
    }
    Err(io::Error::other("no network is free"))
}

/// Returns a configuration of one service, like that of a small deployment.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"grant\",\"host\":\"{HOST}\",\"path_prefix\":\"/grant/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":1,\"public\":false}},\
         {{\"name\":\"read\",\"host\":\"{HOST}\",\"path_prefix\":\"/read/\",\"route_kind\":\"idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":0,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// Returns a configuration with one service of engines.
pub fn engine_configuration(version: u64) -> String {
    let models = crate::engine::MODELS.iter().map(|(name, mb)| {
        format!("{{\"name\":\"{name}\",\"weights_mb\":{mb}.0,\"load_s\":6.0,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.4,\"disk_s\":0.5}}")
    });
    let models: Vec<String> = models.collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"caption\",\"host\":\"{HOST}\",\"path_prefix\":\"/caption/\",\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":500,\"priority\":0,\"service\":\"{ENGINES}\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":600}}],\
         \"services\":[{{\"name\":\"{ENGINES}\",\"health_path\":\"/healthz\",\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_tokens\":232000,\"kv_bytes\":327680,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"cap\":12,\"host_mb\":130000.0,\"disk_mb\":1300000.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{}],\"weights_mb\":{}.0,\"adapter_slots\":8,\"loads_per_s\":7.7}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":0,\"rate_per_s\":0,\"burst\":0}}]}}",
        models.join(","),
        crate::engine::WEIGHTS_MB
    )
}

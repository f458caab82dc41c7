//! The project's processes on loopback addresses, as the deploy file starts them.

use crate::{
    net::{Answer, exchange, request},
    record::Record,
};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

/// The program of `deploy/system.toml`, relative to the root of the repository.
const PROGRAM: &str = "target/deploy/sequoiawing-platform";

/// The processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and have not been waited for.
pub fn kill_all() {
    for id in RUNNING.lock().expect("the list is sound").drain(..) {
        Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status()
            .ok();
    }
}

fn forget(child: &Child) {
    let mut running = RUNNING.lock().expect("the list is sound");
    running.retain(|id| *id != child.id());
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Processes of one small deployment, which end with this value.
pub struct Deployment {
    folder: PathBuf,
    network: [u8; 2],
    port: u16,
    controllers: usize,
    children: Vec<(String, Child)>,
}

impl Deployment {
    /// Chooses addresses and ports that nobody uses.
    pub fn new(controllers: usize) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("sequoiawing-review-3-{pid}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let mut network = [100 + (pid % 100) as u8, (pid / 100 % 250) as u8];
        let port = 21_000 + (pid % 300) as u16 * 20;
        while TcpListener::bind((format!("127.{}.{}.1", network[0], network[1]), port)).is_err() {
            network[1] = network[1].wrapping_add(1);
        }
        Self {
            folder,
            network,
            port,
            controllers,
            children: Vec::new(),
        }
    }

    pub fn ip(&self, host: u8) -> String {
        format!("127.{}.{}.{host}", self.network[0], self.network[1])
    }

    pub fn address(&self, host: u8, offset: u16) -> SocketAddr {
        let text = format!("{}:{}", self.ip(host), self.port + offset);
        text.parse().expect("an address")
    }

    /// The address for the calls of runners and the operator.
    pub fn control(&self, index: usize) -> SocketAddr {
        self.address(1 + index as u8, 16)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.controllers).map(|i| self.control(i)).collect()
    }

    /// The address for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.address(100 + index as u8, 17)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        self.address(100 + index as u8, 18)
    }

    pub fn runner(&self, index: usize) -> SocketAddr {
        self.address(200 + index as u8, 19)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = self.controls().iter().map(|a| format!("\"{a}\"")).collect();
        seeds.join(",")
    }

    fn common(&self, name: &str, zone: &str, host: u8) -> String {
        format!(
            "\"host\":\"{name}\",\"centre\":\"{zone}\",\"ip\":\"{}\",\"ports\":[{},{}],\
             \"seeds\":[{}],\"secret\":\"sequoiawing-on-a-trusted-network\"",
            self.ip(host),
            self.port,
            self.port + 15,
            self.seeds()
        )
    }

    /// Writes the settings of `deploy/controller.json` and starts a controller.
    pub fn start_controller(&mut self, index: usize, bootstrap: bool) {
        let name = format!("core-{index}");
        let data = self.folder.join(format!("data-{index}"));
        let settings = format!(
            "{{{},\"control\":\"{}\",\"data\":\"{}\",\"bootstrap\":{bootstrap},\
             \"losses\":1,\"heartbeat\":1200,\"lease\":3000}}",
            self.common(&name, ZONES[index % 3], 1 + index as u8),
            self.control(index),
            data.display()
        );
        self.start(&name, "controller", &settings);
    }

    /// Writes the settings of `deploy/gateway.json` and starts a gateway.
    pub fn start_gateway(&mut self, index: usize) {
        let name = format!("edge-{index}");
        let settings = format!(
            "{{{},\"callers\":\"{}\",\"ready\":\"{}\",\"retry_ratio\":0.2,\"retry_slack\":52,\
             \"retry_window\":10,\"grace\":8,\"memory\":260}}",
            self.common(&name, ZONES[index % 3], 100 + index as u8),
            self.front(index),
            self.ready(index)
        );
        self.start(&name, "gateway", &settings);
    }

    fn start(&mut self, name: &str, role: &str, settings: &str) {
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings can be written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log can be opened");
        let child = Command::new(PROGRAM)
            .arg(role)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        let child = child.expect("the program of the deploy file is built");
        let mut running = RUNNING.lock().expect("the list is sound");
        running.push(child.id());
        drop(running);
        self.children.push((name.to_owned(), child));
    }

    /// Sends SIGTERM to a process that this deployment started.
    pub fn terminate(&mut self, name: &str) {
        let child = self.children.iter().rev().find(|(n, _)| n == name);
        if let Some((_, child)) = child {
            let id = child.id().to_string();
            Command::new("kill").args(["-TERM", &id]).status().ok();
        }
    }

    /// Returns the log of a process, for lines of the record.
    pub fn log_lines(&self, name: &str, part: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("{name}.log")));
        let text = text.unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }

    /// Sends a configuration to one node after another until it is acknowledged.
    pub fn configure(&self, record: &Record, body: &str) -> bool {
        let start = Instant::now();
        let mut node = 0;
        while start.elapsed() < Duration::from_secs(20) {
            let to = self.control(node % self.controllers);
            let answer = self.operate(to, "POST", "/Config.Replace", body);
            if answer.status == 200 {
                record.line(&format!("operator: configuration acknowledged by {to}"));
                return true;
            }
            node += 1;
            sleep(Duration::from_millis(100));
        }
        record.line("operator: the configuration was not acknowledged");
        false
    }

    pub fn operate(&self, to: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let bytes = request(method, path, &headers, body.as_bytes());
        exchange(to, &bytes, Duration::from_secs(1))
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_ready(&self, index: usize) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            let bytes = request("GET", "/readyz", &[("Host", "ready")], b"");
            if exchange(self.ready(index), &bytes, Duration::from_secs(1)).status == 200 {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            child.kill().ok();
            child.wait().ok();
            forget(child);
        }
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

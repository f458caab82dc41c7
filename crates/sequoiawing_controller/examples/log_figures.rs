//! Measures commit throughput, commit latency and failover of three local
//! controllers that sync their writes.
//!
//! Run manually; CI does not run it:
//!
//! ```text
//! cargo build --release --bin sequoiawing-controller
//! cargo run --release --package sequoiawing_controller --example log_figures
//! ```

use hdrhistogram::Histogram;
use sequoiawing_consensus::{DeploymentId, Entry, Envelope, Message, Payload, Position, ReplicaId};
use sequoiawing_link::{ControlClient, ControlError, ControlStatus, Secret, Stub};
use sequoiawing_runtime::{Task, run, sleep, spawn};
use sequoiawing_tables::{Change, Command, Customer, Outcome, Revision};
use sequoiawing_types::{Name, RequestId};
use std::{
    error::Error,
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command as Process, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

const SECRET: &str = "secret-of-the-bench";
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MEASURE_DURATION: Duration = Duration::from_secs(5);
const EDITS: u64 = 10_000;
const WRITERS: u64 = 50;
const CUSTOMERS: u64 = 50;
const CLOCK_TICKS: f64 = 100.0;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Cluster {
    folder: PathBuf,
    addresses: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Cluster {
    fn start() -> Result<Self> {
        let name = format!("sequoiawing-figures-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let listeners: std::io::Result<Vec<_>> =
            (0..3).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let addresses: std::io::Result<Vec<_>> =
            listeners?.iter().map(TcpListener::local_addr).collect();
        let mut cluster = Self {
            folder,
            addresses: addresses?,
            children: Vec::new(),
        };
        for i in 0..3 {
            let child = cluster.spawn(i)?;
            cluster.children.push(child);
        }
        Ok(cluster)
    }

    fn spawn(&self, i: usize) -> Result<Child> {
        let host = |i: usize| format!("control-{i}");
        let voter = |i: usize| serde_json::json!({ "host": host(i), "address": self.addresses[i] });
        let settings = serde_json::json!({
            "host": host(i), "link": self.addresses[i], "secret": SECRET,
            "data": self.folder.join(host(i)), "voters": [voter(0), voter(1), voter(2)],
        });
        let path = self.folder.join(format!("{i}.json"));
        fs::write(&path, settings.to_string())?;
        let example = std::env::current_exe()?;
        let target = example.parent().and_then(Path::parent);
        let program = target
            .ok_or("the target folder was not found")?
            .join("sequoiawing-controller");
        let child = Process::new(program)
            .arg(path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(child)
    }

    fn stub(&self, i: usize) -> Stub<ControlClient> {
        Stub::new(self.addresses[i], Secret::from(SECRET))
    }

    async fn status(&self, i: usize) -> Option<ControlStatus> {
        let stub = self.stub(i);
        let call = stub.call(
            CALL_TIMEOUT,
            |c, context| async move { c.status(context).await },
        );
        Box::pin(call).await.ok()
    }

    async fn wait_for_leader(&self, excluded: usize) -> usize {
        loop {
            for i in (0..3).filter(|i| *i != excluded) {
                if self.status(i).await.is_some_and(|s| s.role == "leader") {
                    return i;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_for(&self, i: usize, revision: Revision) {
        while self.status(i).await.is_none_or(|s| s.revision < revision) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the CPU time that a controller has used, in seconds.
    fn cpu_seconds(&self, i: usize) -> Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.children[i].id()))?;
        let (_, after) = stat
            .rsplit_once(')')
            .ok_or("/proc/<pid>/stat has no process name")?;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = |i: usize| fields[i].parse::<f64>();
        Ok((ticks(11)? + ticks(12)?) / CLOCK_TICKS)
    }

    fn kill(&mut self, i: usize) -> Result<()> {
        self.children[i].kill()?;
        self.children[i].wait()?;
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn edit(i: u64) -> Command {
    Command::Edit {
        request: RequestId::random(),
        base: None,
        changes: vec![Change::PutCustomer(Customer {
            name: Name::from(format!("customer-{}", i % CUSTOMERS)),
            rate: i,
            ..Customer::default()
        })],
    }
}

async fn propose(stub: &Stub<ControlClient>, i: u64) -> Option<Revision> {
    let command = edit(i);
    let call = stub.call(CALL_TIMEOUT, |c, context| async move {
        c.propose(context, command).await
    });
    let result: std::result::Result<Outcome, ControlError> = Box::pin(call).await.ok()?;
    match result {
        Ok(Outcome::Accepted(revision)) => Some(revision),
        _ => None,
    }
}

/// Proposes edits sequentially until `end`, and returns their latencies in
/// microseconds.
fn run_writer(stub: Stub<ControlClient>, end: Instant, first: u64) -> Task<Vec<u64>> {
    spawn(async move {
        let mut times = Vec::new();
        let mut i = first;
        while Instant::now() < end {
            let start = Instant::now();
            if propose(&stub, i).await.is_some() {
                times.push(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            i += 1;
        }
        times
    })
}

async fn measure_commits(cluster: &Cluster, leader: usize, writers: u64) -> Result<()> {
    let before: Result<Vec<f64>> = (0..3).map(|i| cluster.cpu_seconds(i)).collect();
    let end = Instant::now() + MEASURE_DURATION;
    let tasks: Vec<_> = (0..writers)
        .map(|w| run_writer(cluster.stub(leader), end, w))
        .collect();
    let mut times = Histogram::<u64>::new(3)?;
    for task in tasks {
        for time in task.await {
            times.record(time)?;
        }
    }
    let follower = (leader + 1) % 3;
    #[allow(clippy::cast_precision_loss)]
    let count = times.len() as f64;
    #[allow(clippy::cast_precision_loss)]
    let millis = |q: f64| times.value_at_quantile(q) as f64 / 1_000.0;
    let used = (cluster.cpu_seconds(follower)? - before?[follower]) / count;
    println!(
        "{writers:>8} {:>12.0} {:>10.2} {:>10.2} {:>22.0}",
        count / MEASURE_DURATION.as_secs_f64(),
        millis(0.5),
        millis(0.99),
        used * 1e6
    );
    Ok(())
}

/// Commits the edits that a restarted follower has to recover, and returns the
/// last revision.
async fn run_edits(cluster: &Cluster, leader: usize) -> Revision {
    let tasks: Vec<Task<Revision>> = (0..WRITERS)
        .map(|w| {
            let stub = cluster.stub(leader);
            spawn(async move {
                let mut last = Revision(0);
                for i in 0..EDITS / WRITERS {
                    let revision = propose(&stub, w + i).await;
                    last = revision.map_or(last, |r| r.max(last));
                }
                last
            })
        })
        .collect();
    let mut last = Revision(0);
    for task in tasks {
        last = last.max(task.await);
    }
    last
}

/// Prints the size of one edit when it is replicated to a follower.
fn print_bytes() -> Result<()> {
    let command = serde_json::to_string(&edit(1))?;
    let bytes = command.len();
    let entry = Entry {
        index: 1_000_000,
        term: 10,
        payload: Payload::Command(Arc::from(command)),
    };
    let entry_bytes = serde_json::to_vec(&entry)?.len();
    let envelope = Envelope {
        from: ReplicaId(u64::MAX),
        address: SocketAddr::from(([127, 0, 0, 1], 65_535)),
        to: Some(ReplicaId(u64::MAX)),
        deployment: Some(DeploymentId(u64::MAX)),
        message: Message::Append {
            term: 10,
            prev: Position {
                index: 999_999,
                term: 10,
            },
            entries: vec![entry],
            commit: 999_999,
            round: 1_000_000,
        },
    };
    let message_bytes = serde_json::to_vec(&envelope)?.len();
    println!(
        "One edit: {bytes} bytes as a command, {entry_bytes} bytes as a log entry, {message_bytes} bytes in a message of its own."
    );
    Ok(())
}

async fn measure() -> Result<()> {
    let mut cluster = Cluster::start()?;
    let leader = cluster.wait_for_leader(usize::MAX).await;
    print_bytes()?;
    let follower = (leader + 1) % 3;
    let before = cluster.cpu_seconds(follower)?;
    sleep(MEASURE_DURATION).await;
    let used = (cluster.cpu_seconds(follower)? - before) / MEASURE_DURATION.as_secs_f64();
    println!(
        "CPU usage of an idle follower: {:.2} % of a core.",
        used * 100.0
    );
    println!(
        "Synced edits on three voters, {} s per row:",
        MEASURE_DURATION.as_secs()
    );
    println!(
        "{:>8} {:>12} {:>10} {:>10} {:>22}",
        "writers", "commits/s", "p50 ms", "p99 ms", "follower CPU us/change"
    );
    for writers in [1, 16, 64] {
        measure_commits(&cluster, leader, writers).await?;
    }
    let last = run_edits(&cluster, leader).await;
    let follower = (leader + 1) % 3;
    cluster.kill(follower)?;
    let start = Instant::now();
    cluster.children[follower] = cluster.spawn(follower)?;
    cluster.wait_for(follower, last).await;
    println!(
        "A restarted follower caught up to {last} in {:?}.",
        start.elapsed()
    );
    for _ in 0..5 {
        let leader = cluster.wait_for_leader(usize::MAX).await;
        cluster.kill(leader)?;
        let start = Instant::now();
        cluster.wait_for_leader(leader).await;
        println!(
            "Failover after the leader was killed: {:?}.",
            start.elapsed()
        );
        cluster.children[leader] = cluster.spawn(leader)?;
        sleep(Duration::from_secs(2)).await;
    }
    for _ in 0..5 {
        let leader = cluster.wait_for_leader(usize::MAX).await;
        let id = cluster.children[leader].id().to_string();
        let start = Instant::now();
        Process::new("kill").arg(id).status()?;
        cluster.wait_for_leader(leader).await;
        println!(
            "Failover after the leader was stopped with SIGTERM: {:?}.",
            start.elapsed()
        );
        cluster.children[leader].wait()?;
        cluster.children[leader] = cluster.spawn(leader)?;
        sleep(Duration::from_secs(2)).await;
    }
    Ok(())
}

fn main() -> Result<()> {
    run(measure())
}

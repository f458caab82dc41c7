//! A runner in a process of its own, so that the kernel closes its connections when it
//! is killed.
//!
//! It takes its [`Mode`] from lines on its standard input and exits at the end of that
//! input. What it receives and makes goes to a file before it goes to a connection, so
//! that the judge knows more than any caller can have seen.

mod heartbeats;
mod requests;

use crate::record::{Record, now_ms};
use async_net::TcpListener;
use parking_lot::Mutex;
use sequoiawing_runtime::{run, sleep, spawn};
use serde::{Deserialize, Serialize};
use std::{
    fs::File,
    io::{self, BufRead, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

/// The settings of a runner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RunnerSettings {
    /// The identity of this incarnation.
    pub(crate) id: String,
    /// When it starts, in milliseconds of the time of day.
    pub(crate) born: u64,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) centre: String,
    /// The version of its software.
    pub(crate) version: String,
    /// The models that it holds; a runner of a service without models holds none.
    pub(crate) models: Vec<String>,
    pub(crate) controls: Vec<SocketAddr>,
    /// The interval between heartbeats, in milliseconds.
    pub(crate) heartbeat: u64,
    pub(crate) slots: usize,
    /// The requests that may wait for a slot.
    pub(crate) queue: usize,
    /// The mean step between the IDs of events; 1 if they are consecutive.
    pub(crate) id_step: u64,
    /// The file for its record.
    pub(crate) record: PathBuf,
}

/// How a runner misbehaves. Shares are from 0 to 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Mode {
    /// The share of plain requests that fail with 500.
    pub errors: f64,
    /// The share of requests that are refused.
    pub refuse: f64,
    /// The seconds for which a runner that refuses wants no requests; 0 if it names none.
    pub retry_after: f64,
    /// Whether a refusal is written twice.
    pub twice: bool,
    /// The share of streams that break off within an event.
    pub cut: f64,
    /// The share of streams without length that end between two events.
    pub early: f64,
    /// The share of streams without length or chunks.
    pub unframed: f64,
    /// The factor by which work takes longer.
    pub slow: f64,
    /// Whether nothing is answered and no heartbeat is sent.
    pub silent: bool,
    /// What it says of itself in heartbeats.
    pub phase: Phase,
    /// The share of resumed streams that begin anew, which no caller may notice.
    pub anew: f64,
    /// Whether it falls over when it rejects too much.
    pub brittle: Option<Brittle>,
}

/// Whether a runner wants requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It wants requests.
    #[default]
    Ready,
    /// It leaves soon.
    Draining,
    /// It has left, and sends no heartbeats.
    Departed,
}

/// A time in which the runners of a service fall over when they reject too much.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Brittle {
    /// When it began, in milliseconds.
    pub began: u64,
    /// The requests that a runner can reject within a second for want of room.
    pub tolerance: usize,
    /// The requests that may wait at it, some time after it has become brittle.
    pub queue: usize,
    /// The number of runners of the service.
    pub runners: usize,
}

/// How long after runners have become brittle they let fewer requests wait, in
/// milliseconds.
pub(crate) const BRITTLE_NOTICE: u64 = 3_000;

/// The time from a fall to the end of the process.
const FALL_TIME: Duration = Duration::from_millis(500);

impl Default for Mode {
    fn default() -> Self {
        Self {
            errors: 0.14,
            refuse: 0.0,
            retry_after: 0.0,
            twice: false,
            cut: 0.0,
            early: 0.0,
            unframed: 0.3,
            slow: 1.0,
            silent: false,
            phase: Phase::Ready,
            anew: 0.0,
            brittle: None,
        }
    }
}

/// What changes while a runner runs.
#[derive(Default)]
struct State {
    mode: Mode,
    models: Vec<String>,
    running: usize,
    waiting: usize,
    heartbeats: u64,
    orders: u64,
    fence: u64,
    is_busy: bool,
    /// When requests were rejected for want of room within the last second, and their
    /// tries.
    rejected: Vec<(u64, String)>,
    has_fallen: bool,
}

struct Runner {
    settings: RunnerSettings,
    state: Mutex<State>,
    record: Mutex<File>,
}

impl Runner {
    fn has_fallen(&self) -> bool {
        self.state.lock().has_fallen
    }

    fn mode(&self) -> Mode {
        self.state.lock().mode.clone()
    }

    /// Counts a rejection for want of room; falls over if there are too many.
    fn reject(&self, attempt: &str) {
        let mut state = self.state.lock();
        let now = now_ms();
        let Some(brittle) = state.mode.brittle.filter(|_| !state.has_fallen) else {
            return;
        };
        if now < brittle.began + BRITTLE_NOTICE {
            return;
        }
        state.rejected.retain(|(at, _)| now < at + 1_000);
        state.rejected.push((now, attempt.to_owned()));
        if state.rejected.len() <= brittle.tolerance {
            return;
        }
        let rejected = state.rejected.drain(..).map(|(_, attempt)| attempt);
        self.note(&Record::Fell {
            at: now,
            runner: self.settings.id.clone(),
            service: self.settings.service.clone(),
            brittle,
            rejected: rejected.collect(),
        });
        state.has_fallen = true;
        std::thread::spawn(|| {
            // By then its connections have been reset.
            std::thread::sleep(FALL_TIME);
            std::process::exit(0);
        });
    }

    fn note(&self, record: &Record) {
        let Ok(mut line) = serde_json::to_string(record) else {
            return;
        };
        line.push('\n');
        self.record.lock().write_all(line.as_bytes()).ok();
    }
}

/// Runs a runner until its standard input ends.
///
/// # Errors
///
/// Returns an error if its settings are invalid, or its file or address can't be opened.
pub fn run_runner(settings: &str) -> io::Result<()> {
    let settings: RunnerSettings = serde_json::from_str(settings)?;
    let record = File::options()
        .create(true)
        .append(true)
        .open(&settings.record)?;
    let state = State {
        models: settings.models.clone(),
        ..State::default()
    };
    let runner = Arc::new(Runner {
        state: Mutex::new(state),
        record: Mutex::new(record),
        settings,
    });
    let commands = runner.clone();
    std::thread::spawn(move || obey(&commands));
    run(serve(&runner))
}

/// Takes modes from the standard input.
fn obey(runner: &Runner) {
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        if let Ok(mode) = serde_json::from_str(&line) {
            runner.state.lock().mode = mode;
        }
    }
    std::process::exit(0);
}

async fn serve(runner: &Arc<Runner>) -> io::Result<()> {
    let listener = bind(runner.settings.address).await?;
    spawn(heartbeats::send(runner.clone())).detach();
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn(requests::serve(runner.clone(), stream)).detach();
        }
    }
}

/// Binds the address, which the incarnation before may hold for a moment.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..50 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        sleep(Duration::from_millis(20)).await;
    }
    TcpListener::bind(address).await
}

//! One seed: starts the processes, injects the faults, and judges.

mod deployment;

use crate::{
    caller::{Caller, Callers},
    judge::{Bounds, Verdict, judge},
    links::{Link, LinkState},
    plan::{Fault, Size, plan},
    record::{Record, now_ms},
    report,
    runner::{Brittle, Mode},
    wire::call,
};
use deployment::{Deployment, configuration};
use parking_lot::Mutex;
use rustix::process::Signal;
use sequoiawing_runtime::{run as block_on, sleep, spawn, timeout};
use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// One of so many callers sends its requests in two parts.
const SLOW: usize = 3;

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The seed of the faults.
    pub seed: u64,
    /// The processes and the length.
    pub size: Size,
    /// The number of callers.
    pub callers: usize,
    /// The program of gateways and controllers.
    pub platform: PathBuf,
    /// The build with which they start first, if not the same: each restart brings the
    /// other one, as in an upgrade.
    pub former: Option<PathBuf>,
    /// Where the folder of the seed is made.
    pub logs: PathBuf,
}

/// The bounds of the retry budget, which gateways are told too.
const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 52.0,
    window: 10_000,
};

/// The time within which all processes serve.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Every so many-th caller does not wait as long as refusals ask for.
const IMPATIENT: usize = 4;

/// The time between two lines of progress, in milliseconds.
const PROGRESS: u64 = 10_000;

/// How long a runner that fell over is gone.
const FALL_TIME: Duration = Duration::from_secs(1);

/// How long controllers that are killed at a departure are down.
const CORE_RESTART: Duration = Duration::from_millis(300);

/// How long a runner serves on after its departure.
const DEPARTED_TIME: Duration = Duration::from_secs(10);

/// The time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// The time in which callers read their last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(14);

/// Plays a seed; returns whether all promises held.
///
/// # Errors
///
/// Returns an error if the processes can't be started or don't serve in time.
pub fn run(settings: &Settings) -> io::Result<bool> {
    block_on(play(settings))
}

async fn play(settings: &Settings) -> io::Result<bool> {
    let (folder, _claim) = claim_folder(settings)?;
    let size = &settings.size;
    let first = settings.former.as_ref().unwrap_or(&settings.platform);
    let deployment = Deployment::start(first, folder.clone(), size, &BOUNDS)?;
    let deployment = Arc::new(deployment);
    timeout(START_LIMIT, deployment.wait_until_serving())
        .await
        .ok_or_else(|| io::Error::other("the processes did not serve in time"))?;
    for process in deployment.controllers.iter().chain(&deployment.gateways) {
        process.lock().set_program(&settings.platform);
    }
    let callers = Arc::new(Callers {
        gateways: (0..size.gateways).map(|i| deployment.callers(i)).collect(),
        rotation: (0..size.gateways).map(|_| AtomicBool::new(true)).collect(),
        records: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    for i in 0..size.gateways {
        spawn(watch(callers.clone(), i, deployment.ready(i))).detach();
    }
    let tasks: Vec<_> = (0..settings.callers)
        .map(|i| {
            let (is_patient, is_slow) = (!i.is_multiple_of(IMPATIENT), i.is_multiple_of(SLOW));
            spawn(Caller::new(callers.clone(), is_patient, is_slow).run())
        })
        .collect();
    let faults = inject(settings, &deployment, &callers).await;
    callers.is_over.store(true, Ordering::Relaxed);
    let calm = async {
        for task in faults {
            task.await;
        }
        for task in tasks {
            task.await;
        }
    };
    timeout(LAST_ANSWERS, calm).await;
    let records = collect(&deployment, &callers);
    let verdict = judge(&records, &BOUNDS);
    for note in &verdict.notes {
        println!("{note}");
    }
    println!("{}", served(&records));
    report::print(settings.seed, &verdict);
    finish(&folder, &records, &verdict)
}

/// Makes the empty folder of a seed. It is the run's own until the returned file is closed:
/// another run would mix its records and disks with it.
fn claim_folder(settings: &Settings) -> io::Result<(PathBuf, File)> {
    fs::create_dir_all(&settings.logs)?;
    let folder = settings.logs.join(settings.seed.to_string());
    let lock = File::create(folder.with_extension("lock"))?;
    lock.try_lock().map_err(|_| {
        let folder = folder.display();
        io::Error::other(format!("another run uses {folder}; choose other --logs"))
    })?;
    fs::remove_dir_all(&folder).ok();
    fs::create_dir_all(&folder)?;
    Ok((folder.canonicalize()?, lock))
}

/// Keeps the folder of a seed that broke a promise.
fn finish(folder: &std::path::Path, records: &[Record], verdict: &Verdict) -> io::Result<bool> {
    if verdict.findings.is_empty() {
        fs::remove_dir_all(folder).ok();
        return Ok(true);
    }
    let lines = records.iter().map(serde_json::to_string);
    let lines: Result<Vec<_>, _> = lines.collect();
    fs::write(folder.join("records.jsonl"), lines?.join("\n"))?;
    let findings = verdict.findings.iter();
    let findings: Vec<_> = findings
        .map(|f| format!("{}: {}", f.promise, f.what))
        .collect();
    fs::write(folder.join("findings.txt"), findings.join("\n"))?;
    println!("logs: {}", folder.display());
    Ok(false)
}

/// Reads what callers saw and then what runners saw, so that runners know at least as
/// much.
fn collect(deployment: &Deployment, callers: &Callers) -> Vec<Record> {
    let mut records = callers.records.lock().clone();
    records.extend(deployment.runner_records());
    records
}

/// Describes how many requests were answered with which status.
fn served(records: &[Record]) -> String {
    let mut sent = 0;
    let mut statuses = std::collections::BTreeMap::<u16, u32>::new();
    for record in records {
        match record {
            Record::Sent(_) => sent += 1,
            Record::Head { status, .. } => *statuses.entry(*status).or_default() += 1,
            _ => {}
        }
    }
    format!("{sent} tries, answers by status: {statuses:?}")
}

/// Checks the readiness of a gateway as the platform does.
async fn watch(callers: Arc<Callers>, i: usize, address: SocketAddr) {
    let mut misses = 0;
    loop {
        let sent = timeout(Duration::from_secs(1), call(address, "GET", "/readyz", ""));
        let is_ready = matches!(sent.await, Some(Ok((200, _))));
        misses = if is_ready { 0 } else { misses + 1 };
        if is_ready || misses > 1 {
            callers.rotation[i].store(is_ready, Ordering::Relaxed);
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Injects the faults and prints progress until the run is over.
async fn inject(
    settings: &Settings,
    deployment: &Arc<Deployment>,
    callers: &Arc<Callers>,
) -> Vec<sequoiawing_runtime::Task<()>> {
    let start = now_ms();
    let length = settings.size.length;
    let mut tasks = Vec::new();
    let mut steps = plan(settings.seed, &settings.size).into_iter().peekable();
    let mut next_line = PROGRESS;
    while now_ms() - start < length {
        let at = now_ms() - start;
        while let Some(step) = steps.next_if(|s| s.at <= at) {
            println!("{at} ms: {}", step.fault);
            tasks.push(spawn(apply(
                deployment.clone(),
                callers.clone(),
                step.fault,
            )));
        }
        if at >= next_line {
            next_line += PROGRESS;
            let records = collect(deployment, callers);
            let findings = judge(&records, &BOUNDS).findings.len();
            println!("{at} ms: {}, {findings} findings", served(&records));
        }
        sleep(Duration::from_millis(20)).await;
    }
    tasks
}

async fn apply(deployment: Arc<Deployment>, callers: Arc<Callers>, fault: Fault) {
    let note = |process: Option<String>| {
        callers.note(Record::Fault {
            at: now_ms(),
            what: fault.to_string(),
            process,
        });
    };
    note(None);
    match &fault {
        Fault::KillGateways(indices) => {
            for i in indices {
                note(Some(gateway_name(*i)));
                deployment.gateways[*i].lock().start().ok();
            }
        }
        Fault::TermGateway(i) => {
            note(Some(gateway_name(*i)));
            let gateway = &deployment.gateways[*i];
            let starts = gateway.lock().starts();
            gateway.lock().signal(Signal::TERM);
            let start = Instant::now();
            while gateway.lock().is_alive() && start.elapsed() < GRACE {
                sleep(Duration::from_millis(50)).await;
            }
            let mut gateway = gateway.lock();
            if gateway.starts() == starts {
                gateway.start().ok();
                note(Some(gateway_name(*i)));
            }
        }
        Fault::StopGateway(i, pause) => {
            note(Some(gateway_name(*i)));
            pause_process(&deployment.gateways[*i], *pause).await;
            note(Some(gateway_name(*i)));
        }
        Fault::StopController(i, pause) => {
            note(Some(controller_name(*i)));
            pause_process(&deployment.controllers[*i], *pause).await;
            note(Some(controller_name(*i)));
        }
        Fault::KillController(i, pause) => {
            note(Some(controller_name(*i)));
            deployment.controllers[*i].lock().kill();
            sleep(Duration::from_millis(*pause)).await;
            deployment.controllers[*i].lock().start().ok();
            note(Some(controller_name(*i)));
        }
        Fault::KillRunners(indices, pause, is_other) => {
            for i in indices {
                note(Some(deployment.kill_runner(*i)));
            }
            sleep(Duration::from_millis(*pause)).await;
            for i in indices {
                deployment.start_runner(*i, *is_other).ok();
            }
        }
        Fault::StopRunner(i, pause) => {
            note(Some(deployment.runner_id(*i)));
            let process = &deployment.runners[*i].process;
            pause_process(process, *pause).await;
            note(Some(deployment.runner_id(*i)));
        }
        Fault::Misbehave(indices, mode, length) => {
            for i in indices {
                deployment.set_mode(*i, mode);
            }
            sleep(Duration::from_millis(*length)).await;
            for i in indices {
                deployment.set_mode(*i, &Mode::default());
            }
        }
        Fault::Depart(i, controller, killed) => {
            depart(&deployment, &callers, (*i, *controller), killed, &note).await;
        }
        Fault::Brittle(service, brittle, length) => {
            let indices = deployment.runners_of(service);
            let brittle = Brittle {
                began: now_ms(),
                runners: indices.len(),
                ..*brittle
            };
            keep_brittle(&deployment, &indices, brittle, *length).await;
        }
        Fault::RunnerLinks(i, state, length) => {
            note(Some(gateway_name(*i)));
            set_links(&deployment.runner_links, *i, *state, *length).await;
            note(Some(gateway_name(*i)));
        }
        Fault::HubLinks(i, state, length) => {
            note(Some(gateway_name(*i)));
            set_links(&deployment.hub_links, *i, *state, *length).await;
            note(Some(gateway_name(*i)));
        }
        Fault::Configure => {
            let version = now_ms();
            deployment.configure(&configuration(version)).await;
        }
    }
}

/// Lets a runner leave at a controller, kills controllers at the acknowledgement, and starts
/// the runner anew after a while.
async fn depart<N>(
    deployment: &Deployment,
    callers: &Callers,
    (runner, controller): (usize, usize),
    killed: &[usize],
    note: &N,
) where
    N: Fn(Option<String>),
{
    let Some((called, id)) = deployment.depart(runner, controller).await else {
        return;
    };
    // That which was drawn may have been down.
    let killed = match killed {
        [_] => vec![called],
        _ => killed.to_vec(),
    };
    for k in &killed {
        deployment.controllers[*k].lock().kill();
    }
    callers.note(Record::Departed {
        at: now_ms(),
        runner: id.clone(),
    });
    for k in &killed {
        note(Some(controller_name(*k)));
    }
    sleep(CORE_RESTART).await;
    for k in &killed {
        deployment.controllers[*k].lock().start().ok();
        note(Some(controller_name(*k)));
    }
    sleep(DEPARTED_TIME).await;
    // Another fault may have started it anew.
    if deployment.runner_id(runner) == id {
        note(Some(deployment.kill_runner(runner)));
        deployment.start_runner(runner, false).ok();
    }
}

/// Keeps runners brittle, and starts those anew that have fallen over.
async fn keep_brittle(deployment: &Deployment, indices: &[usize], brittle: Brittle, length: u64) {
    let mode = Mode {
        brittle: Some(brittle),
        ..Mode::default()
    };
    while now_ms() < brittle.began + length {
        for i in indices {
            if !deployment.runners[*i].process.lock().is_alive() {
                deployment.kill_runner(*i);
                sleep(FALL_TIME).await;
                // Another fault may have started it meanwhile.
                if !deployment.runners[*i].process.lock().is_alive() {
                    deployment.start_runner(*i, false).ok();
                }
            }
            deployment.set_mode(*i, &mode);
        }
        sleep(Duration::from_millis(200)).await;
    }
    for i in indices {
        deployment.set_mode(*i, &Mode::default());
    }
}

/// Disturbs the links of a gateway; the last gateways of a large run have none.
async fn set_links(links: &[Vec<Link>], gateway: usize, state: LinkState, length: u64) {
    let links = links.get(gateway).map_or(&[][..], Vec::as_slice);
    for link in links {
        link.set(state);
    }
    sleep(Duration::from_millis(length)).await;
    for link in links {
        link.set(LinkState::Open);
    }
}

/// Returns the name of a controller in records.
fn controller_name(i: usize) -> String {
    format!("controller-{i}")
}

/// Returns the name of a gateway in records.
fn gateway_name(i: usize) -> String {
    format!("gateway-{i}")
}

async fn pause_process(process: &Mutex<crate::processes::Process>, pause: u64) {
    process.lock().signal(Signal::STOP);
    sleep(Duration::from_millis(pause)).await;
    process.lock().signal(Signal::CONT);
}

//! Prints the tables of docs/CAPACITY.md, or writes them into the page.

use capacity::{CapacityInputs, Slopes, input_table, render, replace_section, role_costs};
use clap::{Arg, Command};
use sequoiawing_router::{Router, RouterSettings};
use sequoiawing_runtime::{run, sleep};
use std::{
    fs,
    path::PathBuf,
    process::{Command as Process, ExitCode},
    time::Duration,
};

/// The hidden subcommand that measures an idle router in a separate process.
const IDLE_ROUTER: &str = "idle-router";

fn main() -> ExitCode {
    let write = Arg::new("write")
        .long("write")
        .value_name("PAGE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Page whose marked sections are replaced");
    let idle_router = Command::new(IDLE_ROUTER).hide(true);
    let matches = Command::new("capacity")
        .about("Measures slopes and works out what each role costs a node")
        .arg(write)
        .subcommand(idle_router)
        .get_matches();
    if matches.subcommand_name() == Some(IDLE_ROUTER) {
        println!("{}", idle_router_bytes());
        return ExitCode::SUCCESS;
    }
    if cfg!(debug_assertions) {
        eprintln!("capacity: debug build; run with --release for valid figures");
    }
    let inputs = CapacityInputs::default();
    let slopes = Slopes::measure(&inputs, measure_idle_process());
    let mut sections = vec![("inputs", input_table(&inputs))];
    sections.extend(render(&inputs, &slopes, &role_costs(&inputs, &slopes)));
    let Some(path) = matches.get_one::<PathBuf>("write") else {
        for (name, text) in sections {
            println!("## {name}\n\n{text}");
        }
        return ExitCode::SUCCESS;
    };
    match write_page(path, &sections) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn write_page(path: &PathBuf, sections: &[(&str, String)]) -> Result<(), String> {
    let mut page = fs::read_to_string(path).map_err(|e| e.to_string())?;
    for (name, text) in sections {
        let inserted = replace_section(&page, name, text);
        page = inserted.ok_or_else(|| format!("markers of section '{name}' not found"))?;
    }
    fs::write(path, page).map_err(|e| e.to_string())
}

/// Returns the resident memory of an idle router process, in bytes, or zero if
/// it cannot be measured.
fn measure_idle_process() -> f64 {
    let program = std::env::current_exe().unwrap_or_default();
    let output = Process::new(program).arg(IDLE_ROUTER).output();
    let text = output.map(|o| String::from_utf8_lossy(&o.stdout).into_owned());
    text.ok().and_then(|t| t.trim().parse().ok()).unwrap_or(0.0)
}

/// Starts a router and returns the resident memory of this process, in bytes,
/// or zero if the router does not start.
fn idle_router_bytes() -> f64 {
    let idle = async {
        let router = Router::start(RouterSettings::default()).await;
        sleep(SETTLE_TIME).await;
        (resident_bytes(), router.is_ok())
    };
    let (bytes, started) = run(idle);
    if started { bytes } else { 0.0 }
}

fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|l| l.trim().strip_suffix(" kB"));
    kibibytes.and_then(|k| k.parse::<f64>().ok()).unwrap_or(0.0) * 1_024.0
}

/// Time for which an idle router runs before its memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(2);

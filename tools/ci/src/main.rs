//! Runs the checks that CI and contributors share.

use ci::{KnownFailures, LineCounts, TestRun, Verdict};
use clap::{Arg, Command};
use std::{
    io::{self, BufRead, BufReader},
    path::Path,
    process::{Command as Process, ExitCode},
};

/// The file that lists the tests that fail because of a known fault.
const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

/// A check, run as a cargo command.
struct Step {
    name: &'static str,
    args: &'static [&'static str],
}

const STEPS: [Step; 4] = [
    Step {
        name: "format",
        args: &["fmt", "--all", "--check"],
    },
    Step {
        name: "lint",
        args: &[
            "clippy",
            "--workspace",
            "--all-targets",
            "--locked",
            "--",
            "-D",
            "warnings",
        ],
    },
    Step {
        name: "docs",
        args: &["doc", "--workspace", "--no-deps", "--lib", "--locked"],
    },
    Step {
        name: "test",
        args: &["test", "--workspace", "--locked", "--no-fail-fast"],
    },
];

/// The step that counts lines; it never fails.
const LINES_STEP: &str = "lines";

fn main() -> ExitCode {
    let names: Vec<&str> = STEPS.iter().map(|s| s.name).chain([LINES_STEP]).collect();
    let step = Arg::new("step")
        .num_args(0..)
        .value_parser(names)
        .help("Checks to run; all when none is named");
    let matches = Command::new("ci")
        .about("Runs the checks that CI and contributors share")
        .arg(step)
        .get_matches();
    let selected: Vec<&String> = matches.get_many("step").unwrap_or_default().collect();
    let is_selected = |name: &str| selected.is_empty() || selected.iter().any(|c| *c == name);
    for step in STEPS.iter().filter(|s| is_selected(s.name)) {
        eprintln!("ci: {}", step.name);
        let passed = if step.name == "test" {
            run_test_step(step)
        } else {
            run_step(step)
        };
        if !passed {
            eprintln!("ci: {} failed", step.name);
            return ExitCode::FAILURE;
        }
    }
    if is_selected(LINES_STEP) {
        print_line_counts();
    }
    ExitCode::SUCCESS
}

fn run_step(step: &Step) -> bool {
    let mut cargo = Process::new("cargo");
    cargo.args(step.args);
    if step.name == "docs" {
        cargo.env("RUSTDOCFLAGS", "-D warnings");
    }
    cargo.status().is_ok_and(|status| status.success())
}

/// Runs the tests and ignores only the failures of listed tests.
fn run_test_step(step: &Step) -> bool {
    let text = std::fs::read_to_string(KNOWN_FAILURES_FILE).unwrap_or_default();
    let known = match KnownFailures::parse(&text) {
        Ok(known) => known,
        Err(findings) => {
            for finding in findings {
                eprintln!("ci: {finding}");
            }
            return false;
        }
    };
    let (run, succeeded) = match run_tests(step) {
        Ok(result) => result,
        Err(error) => {
            eprintln!("ci: failed to run cargo: {error}");
            return false;
        }
    };
    for test in run.fixed(&known) {
        println!("ci: {test} passed; remove it from {KNOWN_FAILURES_FILE} once it passes reliably");
    }
    match run.evaluate(succeeded, &known) {
        Verdict::Passed => true,
        Verdict::KnownFailuresOnly(_) => {
            println!("ci: ignored these known failures:");
            for entry in known
                .entries
                .iter()
                .filter(|e| run.failed.contains(&e.test))
            {
                println!("  {entry}");
            }
            true
        }
        Verdict::Failed(causes) => {
            for cause in causes {
                eprintln!("ci: failed: {cause}");
            }
            false
        }
    }
}

/// Runs cargo, prints its output and parses the test results.
///
/// Returns the results and whether cargo succeeded.
fn run_tests(step: &Step) -> io::Result<(TestRun, bool)> {
    let (reader, writer) = io::pipe()?;
    let mut cargo = Process::new("cargo");
    cargo
        .args(step.args)
        .env("CARGO_TERM_COLOR", "never")
        .stdout(writer.try_clone()?)
        .stderr(writer);
    let mut child = cargo.spawn()?;
    drop(cargo);
    let mut run = TestRun::default();
    for line in BufReader::new(reader).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        println!("{line}");
        run.read_line(&line);
    }
    run.finish();
    Ok((run, child.wait()?.success()))
}

fn print_line_counts() {
    match LineCounts::count_in(Path::new(".")) {
        Ok(counts) => println!("{counts}"),
        Err(error) => eprintln!("ci: failed to count lines: {error}"),
    }
}

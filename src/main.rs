//! Runs the embedded demo: a complete deployment in one process.

use clap::Command;
use sequoiawing::{demo, runtime};
use std::process::ExitCode;

fn main() -> ExitCode {
    let demo = Command::new("demo").about("Runs a few requests, then serves until interrupted");
    let once = Command::new("once").about("Runs a few requests and ends");
    let command = Command::new("sequoiawing")
        .about("Runs a whole deployment in one process")
        .subcommand(demo)
        .subcommand(once);
    let matches = command.get_matches();
    let keep_running = matches.subcommand_name() != Some("once");
    match runtime::run(demo::run(keep_running)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sequoiawing: {error}");
            ExitCode::FAILURE
        }
    }
}

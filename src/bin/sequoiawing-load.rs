//! A load generator for routers that prints a summary for each customer.
//!
//! It exits with an error if a response belongs to another request or is
//! incomplete.

use clap::{Arg, ArgAction, Command};
use sequoiawing::{
    runtime, settings,
    standin::{LoadSettings, run_load},
};
use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let file = Arg::new("settings")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("JSON file with the load");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Prints JSON in place of a table");
    let command = Command::new("sequoiawing-load")
        .about("Sends a load to routers")
        .args([file, json]);
    let matches = command.get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("a required argument");
    let load: LoadSettings = match settings::read_file(path) {
        Ok(load) => load,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(2);
        }
    };
    let report = runtime::run(run_load(load));
    if matches.get_flag("json") {
        match serde_json::to_string_pretty(&report.summaries()) {
            Ok(json) => println!("{json}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print!("{report}");
    }
    let wrong: u64 = report.summaries().iter().map(|s| s.wrong).sum();
    if wrong > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

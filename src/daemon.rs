//! The common parts of the daemons: command line, logging and exit codes.

use crate::{
    runtime,
    settings::{Check, read_file},
    telemetry::{LogFormat, flush_logs, start_logging},
};
use clap::{Arg, ArgAction, Command};
use serde::de::DeserializeOwned;
use std::{
    future::Future,
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Runs a daemon according to its command line and returns its exit code.
///
/// `serve` starts the daemon with its settings, waits for the signal to stop and
/// shuts the daemon down.
pub fn run<S, F, R>(name: &'static str, about: &'static str, serve: F) -> ExitCode
where
    S: Check + DeserializeOwned,
    F: FnOnce(S) -> R,
    R: Future<Output = io::Result<()>>,
{
    let settings = match load_settings(name, about) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let ended = runtime::run(serve(settings));
    flush_logs();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Loads the settings file that the command line names and starts logging.
///
/// # Errors
///
/// Returns the exit code if the settings are invalid, or if `--check` is given:
/// the settings are then only checked.
fn load_settings<S>(name: &'static str, about: &'static str) -> Result<S, ExitCode>
where
    S: Check + DeserializeOwned,
{
    let file = Arg::new("settings")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("JSON file with the settings");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings without starting");
    let json = Arg::new("json-logs")
        .long("json-logs")
        .action(ArgAction::SetTrue)
        .help("Logs JSON objects in place of lines for people");
    let matches = Command::new(name)
        .about(about)
        .args([file, check, json])
        .get_matches();
    let path = matches.get_one::<PathBuf>("settings");
    let path = path.map_or(Path::new(""), PathBuf::as_path);
    let settings = read_file(path).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(2)
    })?;
    if matches.get_flag("check") {
        println!("{}: the settings are sound", path.display());
        return Err(ExitCode::SUCCESS);
    }
    let format = if matches.get_flag("json-logs") {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    start_logging(format);
    Ok(settings)
}

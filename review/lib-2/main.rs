//! The scripts of the second review, with stand-ins for the platform, clients and runners.
//!
//! `harness CASE RECORD PLATFORM` plays a case. It exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod children;
mod client;
mod deployment;
mod engine;
mod link;
mod record;
mod runner;
mod runner_process;
mod wire;

use record::Record;
use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::ExitCode,
};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "runner") {
        return cases::run_runner(&words[1..]);
    }
    let [case, record, platform] = &words[..] else {
        eprintln!("harness CASE RECORD PLATFORM");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    children::watch();
    let platform = PathBuf::from(platform);
    let play = AssertUnwindSafe(|| cases::play(case, &platform, &record, &trouble));
    let outcome = catch_unwind(play).unwrap_or_else(|_| Err("the script failed".to_owned()));
    match outcome {
        Ok(0) => {
            record.show("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.show(&format!("the rule was broken {broken} times"));
            ExitCode::from(1)
        }
        Err(problem) => {
            record.show(&format!("the case could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}

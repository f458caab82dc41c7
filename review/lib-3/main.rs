//! The stand-ins and scripts of the review's cases: `standin CASE FOLDER`.

mod adapters;
mod client;
mod deployment;
mod engine;
mod first_version;
mod net;
mod no_length;
mod odd_heartbeat;
mod plain;
mod record;
mod streams;
mod take_up;

use std::{path::Path, process::ExitCode, time::Duration};

/// What a script found.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    // No script may run for longer than 120 seconds.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        eprintln!("the script took too long");
        deployment::kill_all();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let run = || match case.as_str() {
        "adapters" => adapters::run(&record, has_trouble),
        "first_version" => first_version::run(&record, has_trouble),
        "no_length" => no_length::run(&record, has_trouble),
        "odd_heartbeat" => odd_heartbeat::run(&record, has_trouble),
        "take_up" => take_up::run(&record, has_trouble),
        _ => Verdict::NotRun,
    };
    // A panic ends the processes by their owner's drop; the case could not run then.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(code)
}

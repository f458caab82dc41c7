//! A process that ends writes the log lines that still wait.

use sequoiawing_telemetry::{LogFormat, finish_logging, start_logging};
use std::{env, process::Command};

/// Set for the process that logs and ends.
const LOGS: &str = "SEQUOIAWING_TEST_LOGS";

/// Below the lines that one place may write in ten seconds.
const LINES: usize = 2_000;

#[test]
fn the_last_lines_are_written() {
    if env::var_os(LOGS).is_some() {
        start_logging(LogFormat::Text);
        for i in 0..LINES {
            log::info!("Line {i} of many.");
        }
        finish_logging();
        std::process::exit(0);
    }
    let program = env::current_exe().expect("it has a path");
    let output = Command::new(program)
        .args(["--exact", "the_last_lines_are_written", "--nocapture"])
        .env(LOGS, "1")
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let written = text.matches("of many.").count();
    assert_eq!(
        written,
        LINES,
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

//! Tests that a process writes its buffered log lines before it exits.

use sequoiawing_telemetry::{LogFormat, flush_logs, start_logging};
use std::{env, process::Command};

/// The environment variable that is set for the child process, which logs and exits.
const CHILD_ENV: &str = "SEQUOIAWING_TEST_LOGS";

/// Less than the rate limit of one log statement, so that no line is suppressed.
const LINES: usize = 2_000;

#[test]
fn the_last_lines_are_written() {
    if env::var_os(CHILD_ENV).is_some() {
        start_logging(LogFormat::Text);
        for i in 0..LINES {
            log::info!("Line {i} of many.");
        }
        flush_logs();
        std::process::exit(0);
    }
    let program = env::current_exe().expect("the test program has a path");
    let output = Command::new(program)
        .args(["--exact", "the_last_lines_are_written", "--nocapture"])
        .env(CHILD_ENV, "1")
        .output()
        .expect("the child process runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let written = text.matches("of many.").count();
    assert_eq!(
        written,
        LINES,
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

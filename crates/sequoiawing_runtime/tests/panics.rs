//! Tests that a task that panics leaves the others running.

use sequoiawing_runtime::spawn;
use std::{sync::mpsc, time::Duration};

/// More than there are executor threads.
const PANICS: usize = 16;

/// The limit is far above what the task takes on a busy machine.
const LIMIT: Duration = Duration::from_secs(30);

/// Guards against a process that runs no task any more after one unexpected error on each
/// executor thread, of which machines with one core have one.
#[test]
fn tasks_run_after_others_have_panicked() {
    for i in 0..PANICS {
        spawn(async move { panic!("panic {i} of this test") }).detach();
    }
    let (sender, receiver) = mpsc::channel();
    spawn(async move { sender.send("ran").ok() }).detach();
    assert_eq!(receiver.recv_timeout(LIMIT), Ok("ran"));
}

//! Checks that concurrent status reads do not deadlock with the cell, which takes
//! some of the same locks.

use sequoiawing_router::{Router, RouterSettings};
use std::{sync::mpsc, thread, time::Duration};

/// The number of status reads per thread, while the cell keeps running.
const READS: u32 = 200_000;

/// The number of concurrent threads.
const THREADS: usize = 4;

/// How long the reads may take before they count as deadlocked.
const DEADLOCK_TIMEOUT: Duration = Duration::from_mins(1);

#[test]
fn status_and_cell_do_not_deadlock() {
    let starting = Router::start(RouterSettings::default());
    let router = sequoiawing_runtime::run(starting).expect("the router must start");
    let state = router.state().clone();
    let (done, finished) = mpsc::channel();
    for _ in 0..THREADS {
        let state = state.clone();
        let done = done.clone();
        thread::spawn(move || {
            for _ in 0..READS {
                state.status();
            }
            done.send(()).ok();
        });
    }
    for _ in 0..THREADS {
        let result = finished.recv_timeout(DEADLOCK_TIMEOUT);
        assert!(result.is_ok(), "a status read is deadlocked");
    }
}

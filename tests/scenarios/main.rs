//! Scripted failures of separate processes on loopback, one for each file under
//! `scripts/`.
//!
//! | command | meaning |
//! |---|---|
//! | `hosts routers=(2,1) ...` | starts a deployment; each number is the count for one data centre: `centre-0`, `centre-1`; hosts are `entry-0`, `control-1`, `runner-0-0`, `licences-0-0` and so on |
//! | `... runners=(1,0) services=(1,0)` | upstreams of each data centre |
//! | `... controllers=(0,1,1)` | the data centre of each controller |
//! | `... disks grace=5` | routers keep state on disk and accept keys for 5 s while disconnected |
//! | `... work=100 slots=1` | a service takes 100 ms per call and runs one at a time |
//! | `cut from=centre-0 to=entry-2` | blocks traffic in one direction between hosts or data centres |
//! | `isolate name=centre-1` | blocks all traffic between a host or data centre and all others |
//! | `heal` | unblocks all traffic |
//! | `kill name=entry-0`, `start name=entry-0` | kills a process with SIGKILL; restarts it and waits until a router responds |
//! | `freeze name=entry-0`, `continue name=entry-0` | suspends a process; resumes it |
//! | `terminate name=entry-0`, `ended name=entry-0` | sends SIGTERM to a process; waits until it has exited with success |
//! | `leader`, `leader at=entry-0` | sets `LEADER` to the leading controller, or to the router that leads the data centre of `entry-0` |
//! | `grant key=k`, `withdraw key=k` | grants a key and waits until all routers know it; withdraws it with `sequoiactl` |
//! | `edit customer=x` | adds a customer to the tables |
//! | `complete at=entry-0 key=k` | requests a streamed completion |
//! | `call at=entry-0 key=k id=7` | calls the service with an idempotency key |
//! | `... until=200` | repeats the request until the response starts with this status |
//! | `begin as=a`, `end as=a` | starts a call in the background, with the arguments of `call`; waits for its response |
//! | `runs`, `runs until=1` | prints the number of calls that the services have run; first waits until there are that many |
//! | `status at=entry-0 waiting=1` | waits until a router's status has these values |
//! | `agreed` | waits until all running hosts have the same revision |
//! | `wait ms=500` | sleeps |

#[path = "../support/mod.rs"]
mod support;

mod response;
mod script;

use script::Script;

/// Defines a test for each script.
macro_rules! scripts {
    ($($name:ident)*) => {
        const SCRIPTS: &[&str] = &[$(stringify!($name)),*];

        $(
            #[test]
            fn $name() {
                let name = stringify!($name);
                datadriven::walk(&format!("tests/scenarios/scripts/{name}.txt"), |file| {
                    let mut script = Script::new(name);
                    file.run(|case| script.run_step(case) + "\n");
                });
            }
        )*
    };
}

scripts! {
    claims_while_a_controller_is_silent
    cut_off_centre_serves
    cut_off_host_killed
    grace_across_a_cut
    killed_before_record
    killed_before_send
    killed_before_the_answer
    log_leader_killed
    log_leader_stopped
    restarted_while_cut_off
    withdrawn_while_cut_off
}

#[test]
fn every_script_is_run() {
    let files =
        std::fs::read_dir("tests/scenarios/scripts").expect("the folder of scripts is readable");
    let mut names: Vec<String> = files
        .map(|f| f.expect("the entry is readable").path())
        .filter_map(|p| p.file_stem().map(|s| s.to_string_lossy().into_owned()))
        .collect();
    names.sort();
    assert_eq!(names, SCRIPTS);
}

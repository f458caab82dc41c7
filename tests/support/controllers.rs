//! Starts three controllers as processes, each with its own data folder.

use super::{addresses::free_addresses, process::program};
use sequoiawing::{
    link::{ControlClient, ControlError, ControlStatus, LinkError, Secret, Stub},
    runtime::run,
    tables::{Command, Outcome, Tables},
    types::Name,
};
use serde_json::json;
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command as Process},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

const SECRET: &str = "secret-of-the-tests";
const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

type CallResult<T> = Result<Result<T, ControlError>, LinkError>;

/// Three controllers, killed on drop.
pub(crate) struct Controllers {
    folder: PathBuf,
    addresses: [SocketAddr; 3],
    children: [Mutex<Option<Child>>; 3],
}

impl Controllers {
    /// Starts the controllers and waits for a leader.
    pub(crate) fn start(name: &str) -> Self {
        let name = format!("sequoiawing-controllers-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::remove_dir_all(&folder).ok();
        fs::create_dir_all(&folder).expect("the folder can be created");
        let controllers = Self {
            folder,
            addresses: free_addresses(),
            children: [const { Mutex::new(None) }; 3],
        };
        (0..3).for_each(|i| controllers.spawn(i));
        controllers.wait_for_leader();
        controllers.wait_for_voters(3);
        controllers
    }

    pub(crate) fn host(&self, i: usize) -> Name {
        assert!(i < self.addresses.len());
        Name::from(format!("control-{i}"))
    }

    fn data(&self, i: usize) -> PathBuf {
        self.folder.join(format!("data-{i}"))
    }

    /// Starts one controller with the current contents of its data folder.
    pub(crate) fn spawn(&self, i: usize) {
        let voter = |i| json!({ "host": self.host(i), "address": self.addresses[i] });
        let settings = json!({
            "host": self.host(i), "link": self.addresses[i], "secret": SECRET,
            "data": self.data(i), "voters": [voter(0), voter(1), voter(2)],
        });
        let path = self.folder.join(format!("{i}.json"));
        fs::write(&path, settings.to_string()).expect("the file is writable");
        let log = fs::File::create(self.folder.join(format!("{i}.log")))
            .expect("the log file can be opened");
        let child = Process::new(program("sequoiawing-controller"))
            .arg(path)
            .stdout(log.try_clone().expect("the log file can be cloned"))
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        *self.children[i].lock().expect("the lock is not poisoned") = Some(child);
    }

    /// Kills one controller with SIGKILL.
    pub(crate) fn kill(&self, i: usize) {
        if let Some(mut child) = self.children[i]
            .lock()
            .expect("the lock is not poisoned")
            .take()
        {
            child.kill().expect("the controller can be killed");
            child.wait().expect("the controller ends");
        }
    }

    /// Sends a signal to one controller.
    pub(crate) fn signal(&self, i: usize, signal: &str) {
        let child = self.children[i].lock().expect("the lock is not poisoned");
        let id = child
            .as_ref()
            .expect("the controller runs")
            .id()
            .to_string();
        let kill = Process::new("kill").args(["-s", signal, &id]).status();
        assert!(kill.is_ok_and(|s| s.success()), "the signal is sent");
    }

    /// Waits until one controller exits and returns whether it exited with success.
    pub(crate) fn wait_for_exit(&self, i: usize) -> bool {
        let mut child = self.children[i]
            .lock()
            .expect("the lock is not poisoned")
            .take();
        let child = child.as_mut().expect("the controller runs");
        let start = Instant::now();
        loop {
            if let Some(status) = child.try_wait().expect("the process can be waited for") {
                return status.success();
            }
            if start.elapsed() > TIMEOUT {
                child.kill().ok();
                child.wait().ok();
                panic!("the controller did not exit in time");
            }
            sleep(POLL_INTERVAL);
        }
    }

    /// Deletes the data folder of a controller that does not run.
    pub(crate) fn wipe(&self, i: usize) {
        fs::remove_dir_all(self.data(i)).expect("the data folder can be deleted");
    }

    /// Flips a bit near the start of the log of a controller that does not run.
    pub(crate) fn flip_bit(&self, i: usize) {
        let entries = fs::read_dir(self.data(i)).expect("the folder exists");
        let mut paths = entries.map(|e| e.expect("the entry is readable").path());
        let is_segment = |p: &PathBuf| p.extension().is_some_and(|e| e == "segment");
        let file = paths.find(is_segment).expect("the log has a segment");
        let mut bytes = fs::read(&file).expect("the file is readable");
        bytes[40] ^= 1;
        fs::write(&file, bytes).expect("the damaged segment is written");
    }

    /// Returns what one controller has logged since its last start.
    pub(crate) fn log(&self, i: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{i}.log"))).expect("the file is readable")
    }

    fn stub(&self, i: usize) -> Stub<ControlClient> {
        Stub::new(self.addresses[i], Secret::from(SECRET))
    }

    pub(crate) fn status(&self, i: usize) -> Option<ControlStatus> {
        let stub = self.stub(i);
        let call = stub.call(
            CALL_TIMEOUT,
            |c, context| async move { c.status(context).await },
        );
        run(Box::pin(call)).ok()
    }

    pub(crate) fn propose_at(&self, i: usize, command: &Command) -> CallResult<Outcome> {
        let command = command.clone();
        let stub = self.stub(i);
        let call = stub.call(TIMEOUT, |c, context| async move {
            c.propose(context, command).await
        });
        run(Box::pin(call))
    }

    pub(crate) fn read_at(&self, i: usize) -> CallResult<Tables> {
        let stub = self.stub(i);
        let call = stub.call(TIMEOUT, |c, context| async move { c.read(context).await });
        run(Box::pin(call))
    }

    /// Proposes until a controller answers, always with the same request ID.
    pub(crate) fn propose(&self, command: &Command) -> Outcome {
        self.retry_until_answered(|i| {
            let command = command.clone();
            let stub = self.stub(i);
            let call = stub.call(CALL_TIMEOUT, |c, context| async move {
                c.propose(context, command).await
            });
            run(Box::pin(call))
        })
    }

    /// Reads the tables from the leading controller.
    pub(crate) fn read(&self) -> Tables {
        self.retry_until_answered(|i| {
            let stub = self.stub(i);
            let call = stub.call(
                CALL_TIMEOUT,
                |c, context| async move { c.read(context).await },
            );
            run(Box::pin(call))
        })
    }

    fn retry_until_answered<T, F>(&self, call: F) -> T
    where
        F: Fn(usize) -> CallResult<T>,
    {
        let start = Instant::now();
        loop {
            let is_running = |i: &usize| {
                self.children[*i]
                    .lock()
                    .expect("the lock is not poisoned")
                    .is_some()
            };
            for i in (0..3).filter(is_running) {
                if let Ok(Ok(response)) = call(i) {
                    return response;
                }
            }
            assert!(start.elapsed() < TIMEOUT, "no controller answered in time");
            sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the status of one controller meets the condition.
    pub(crate) fn wait_for<F>(&self, i: usize, condition: F)
    where
        F: Fn(&ControlStatus) -> bool,
    {
        let start = Instant::now();
        loop {
            let status = self.status(i);
            if status.as_ref().is_some_and(&condition) {
                return;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "timed out waiting for the status: {status:?}"
            );
            sleep(POLL_INTERVAL);
        }
    }

    /// Waits for a leader and returns it.
    pub(crate) fn wait_for_leader(&self) -> usize {
        self.wait_for_other_leader(usize::MAX)
    }

    /// Waits for a leader other than the excluded controller, which is not queried.
    pub(crate) fn wait_for_other_leader(&self, excluded: usize) -> usize {
        let start = Instant::now();
        loop {
            let is_running = |i: &usize| {
                self.children[*i]
                    .lock()
                    .expect("the lock is not poisoned")
                    .is_some()
            };
            let candidates = (0..3).filter(|i| *i != excluded).filter(is_running);
            let is_leader = |i: &usize| self.status(*i).is_some_and(|s| s.role == "leader");
            if let Some(leader) = candidates.into_iter().find(is_leader) {
                return leader;
            }
            assert!(start.elapsed() < TIMEOUT, "no leader was elected in time");
            sleep(POLL_INTERVAL);
        }
    }

    /// Waits until `count` controllers are leader or follower.
    pub(crate) fn wait_for_voters(&self, count: usize) {
        let start = Instant::now();
        loop {
            let statuses: Vec<_> = (0..3).filter_map(|i| self.status(i)).collect();
            let is_voter = |s: &&ControlStatus| s.role == "leader" || s.role == "follower";
            if statuses.iter().filter(is_voter).count() >= count {
                return;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "voters are missing: {statuses:?}"
            );
            sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..3).for_each(|i| self.kill(i));
        fs::remove_dir_all(&self.folder).ok();
    }
}

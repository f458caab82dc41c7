//! A daemon process that can be signalled, killed and restarted.

use super::wait::wait;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::{
    fs,
    path::{Path, PathBuf},
    process::{Child, Command},
};

/// A daemon with its settings, which are kept across restarts; it is killed on
/// drop.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) settings: Value,
    program: &'static str,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates a daemon without starting it.
    pub(crate) fn new(folder: &Path, program: &'static str, name: &str, settings: Value) -> Self {
        Self {
            name: name.to_owned(),
            settings,
            program,
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Starts or restarts the daemon with its settings.
    pub(crate) fn start(&mut self) {
        let path = self.folder.join(format!("{}.settings.json", self.name));
        fs::write(&path, self.settings.to_string()).expect("the file is writable");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())
            .expect("the log file can be opened");
        let child = Command::new(program(self.program))
            .arg(path)
            .stdout(log.try_clone().expect("the log file can be cloned"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Kills the daemon with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Sends a signal to the daemon.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the daemon runs");
        kill_process(Pid::from_child(child), signal).expect("the process is running");
    }

    /// Sends SIGTERM to the daemon and returns a handle to wait for its exit.
    pub(crate) fn terminate(&mut self) -> Stopping {
        self.signal(Signal::TERM);
        Stopping {
            child: self.child.take(),
            log: self.log(),
        }
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon that was asked to stop; it is killed on drop.
pub(crate) struct Stopping {
    child: Option<Child>,
    log: PathBuf,
}

impl Stopping {
    /// Waits until the daemon exits with success and returns its log.
    pub(crate) fn wait(mut self) -> String {
        let child = self.child.as_mut().expect("the process was running");
        let log = &self.log;
        let status = wait("the daemon to exit", || {
            let status = child.try_wait().expect("the process can be waited for");
            status.ok_or(json!(fs::read_to_string(log).unwrap_or_default()))
        });
        let log = fs::read_to_string(&self.log).expect("the daemon has a log");
        assert!(status.success(), "{status}\n{log}");
        log
    }
}

impl Drop for Stopping {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Returns the path of a program built from this repository.
pub(crate) fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test program has a path");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("the test program is in the target folder");
    folder.join(name)
}

/// Prints the logs of the daemons of a failed test.
pub(crate) fn print_logs(folder: &Path) {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries.filter(|e| e.path().extension().is_some_and(|x| x == "log")) {
        let text = fs::read_to_string(entry.path()).unwrap_or_default();
        println!("{}:\n{text}", entry.file_name().to_string_lossy());
    }
}

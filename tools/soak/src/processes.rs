//! Processes that the soak starts, and ends by their ids.

use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use std::{
    fs::File,
    io::{self, Write},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// Replaces this process by a program that the kernel kills when the soak ends.
///
/// # Errors
///
/// Returns an error if the program can't be started.
pub fn leash(program: &str, args: &[String]) -> io::Error {
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return error.into();
    }
    Command::new(program).args(args).exec()
}

/// A process that can be started again.
pub(crate) struct Process {
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Process {
    pub(crate) fn new(program: &Path, args: Vec<String>, log: PathBuf) -> Self {
        Self {
            program: program.to_owned(),
            args,
            log,
            child: None,
            starts: 0,
        }
    }

    /// Changes the program for the next starts.
    pub(crate) fn set_program(&mut self, program: &Path) {
        program.clone_into(&mut self.program);
    }

    pub(crate) fn set_args(&mut self, args: Vec<String>) {
        self.args = args;
    }

    pub(crate) fn start(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(std::env::current_exe()?)
            .arg("leash")
            .arg(&self.program)
            .arg("--")
            .args(&self.args)
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.starts += 1;
        Ok(())
    }

    /// Returns how often the process was started.
    pub(crate) fn starts(&self) -> u32 {
        self.starts
    }

    /// Returns whether the process runs, or is stopped.
    pub(crate) fn is_alive(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_alive() {
            return;
        }
        if let Some(child) = &self.child {
            kill_process(Pid::from_child(child), signal).ok();
        }
    }

    /// Sends a line to the standard input.
    pub(crate) fn command(&mut self, line: &str) {
        let input = self.child.as_mut().and_then(|c| c.stdin.as_mut());
        if let Some(input) = input {
            writeln!(input, "{line}").ok();
        }
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

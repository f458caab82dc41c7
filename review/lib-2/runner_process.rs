//! A runner in a process of its own, which can be killed.

use crate::{children, record::Record};
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::{Duration, Instant},
};

pub struct RunnerProcess {
    id: String,
    pub address: SocketAddr,
    child: Child,
    lines: Receiver<String>,
    record: Record,
}

impl RunnerProcess {
    pub fn start(
        id: &str,
        listens: SocketAddr,
        address: SocketAddr,
        nodes: &[SocketAddr],
        record: &Record,
    ) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command
            .arg("runner")
            .arg(id)
            .arg(listens.to_string())
            .arg(address.to_string());
        command.args(nodes.iter().map(ToString::to_string));
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| e.to_string())?;
        record.line(&format!("runner {id} starts at {address}"));
        children::add(&child);
        let output = child.stdout.take().ok_or("no output")?;
        let (sender, lines) = channel();
        let (copy, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                copy.line(&format!("runner {name}: {line}"));
                sender.send(line).ok();
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address: listens,
            child,
            lines,
            record: record.clone(),
        })
    }

    /// Waits until one of the runners has written a line; returns its number.
    pub fn first_of(runners: &[Self], text: &str) -> Result<usize, String> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            for (number, runner) in runners.iter().enumerate() {
                if runner.lines.try_iter().any(|line| line == text) {
                    return Ok(number);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        Err(format!("no runner wrote: {text}"))
    }

    /// Waits until the runner has written a line.
    pub fn wait_for(&self, text: &str) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            let line = self.lines.recv_timeout(Duration::from_secs(10));
            if line.map_err(|e| e.to_string())? == text {
                return Ok(());
            }
        }
        Err(format!("the runner did not write: {text}"))
    }

    pub fn kill(&mut self) {
        children::end(&mut self.child);
        self.record.line(&format!("runner {} is killed", self.id));
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        children::end(&mut self.child);
    }
}

use crate::request::StorageEvent;
use async_channel::{Receiver, Sender};
use sequoiawing_consensus::{LogStorage, StorageError, Write};
use sequoiawing_tables::Tables;
use std::{io, sync::Arc, thread};

/// The maximum number of writes covered by one sync.
const MAX_BATCH: usize = 1_024;

/// A job for the storage thread.
pub(crate) enum Job {
    Write { seq: u64, write: Write },
    Encode { index: u64, tables: Box<Tables> },
    Load,
}

/// Starts the storage thread, which does the blocking disk I/O.
///
/// Queued writes are made durable together by one sync.
pub(crate) fn start(
    storage: Box<dyn LogStorage>,
    events: Sender<StorageEvent>,
) -> io::Result<Sender<Job>> {
    let (sender, jobs) = async_channel::unbounded();
    let mut writer = Writer {
        storage,
        events,
        is_failed: false,
    };
    thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || writer.run(&jobs))?;
    Ok(sender)
}

struct Writer {
    storage: Box<dyn LogStorage>,
    events: Sender<StorageEvent>,
    is_failed: bool,
}

impl Writer {
    fn run(&mut self, jobs: &Receiver<Job>) {
        while let Ok(job) = jobs.recv_blocking() {
            let mut next = Some(job);
            while let Some(job) = next.take() {
                next = self.run_job(job, jobs);
            }
        }
    }

    /// Runs a job. Returns the next job if it was already taken from the queue.
    fn run_job(&mut self, job: Job, jobs: &Receiver<Job>) -> Option<Job> {
        match job {
            Job::Write { seq, write } => return self.write(seq, write, jobs),
            Job::Encode { index, tables } => self.encode(index, &tables),
            Job::Load => {
                let loaded = self.storage.load();
                self.is_failed = loaded.is_err();
                self.send(StorageEvent::Loaded(loaded));
            }
        }
        None
    }

    fn write(&mut self, seq: u64, write: Write, jobs: &Receiver<Job>) -> Option<Job> {
        let mut last = seq;
        let mut writes = vec![write];
        let mut next_job = None;
        while writes.len() < MAX_BATCH {
            match jobs.try_recv() {
                Ok(Job::Write { seq, write }) => {
                    last = seq;
                    writes.push(write);
                }
                Ok(job) => {
                    next_job = Some(job);
                    break;
                }
                Err(_) => break,
            }
        }
        if !self.is_failed {
            match self.storage.write(&writes) {
                Ok(()) => self.send(StorageEvent::Persisted(last)),
                Err(error) => self.fail(error),
            }
        }
        next_job
    }

    fn fail(&mut self, error: StorageError) {
        self.is_failed = true;
        self.send(StorageEvent::Failed(error));
    }

    fn encode(&self, index: u64, tables: &Tables) {
        match serde_json::to_string(tables) {
            Ok(data) => self.send(StorageEvent::Encoded {
                index,
                data: Arc::from(data),
            }),
            Err(error) => {
                log::error!(target: "controller", "Failed to encode a snapshot of the tables at index {index}: {error}.");
            }
        }
    }

    fn send(&self, event: StorageEvent) {
        self.events.try_send(event).ok();
    }
}

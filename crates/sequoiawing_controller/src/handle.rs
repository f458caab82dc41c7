use crate::{
    Leadership,
    call::{Answer, Call},
};
use async_channel::Sender;
use sequoiawing_consensus::{Envelope, MemberChange};
use sequoiawing_link::{ControlError, ControlStatus};
use sequoiawing_runtime::{Clock, Watch, timeout};
use sequoiawing_tables::{Command, Outcome, Revision, Tables};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// How a controller's parts use its log and tables.
#[derive(Clone)]
pub struct ControllerHandle {
    pub(crate) calls: Sender<Call>,
    pub(crate) published: Watch<Arc<Tables>>,
    pub(crate) status: Watch<ControlStatus>,
    pub(crate) leadership: Watch<Option<Leadership>>,
    pub(crate) clock: Clock,
    /// When the tables were known to be the newest, in microseconds of the
    /// clock.
    pub(crate) fresh_at: Arc<AtomicU64>,
}

impl ControllerHandle {
    /// Proposes a command, with this controller's wall clock in place of the
    /// caller's, and waits until it is committed and applied.
    ///
    /// # Errors
    ///
    /// Returns an error when another controller leads, too much waits, the disk
    /// fails, or the fate of the command is not known; a resend of an edit with
    /// the same request id then gets the first answer.
    pub async fn propose(&self, command: &Command) -> Result<Outcome, ControlError> {
        let json = serde_json::to_string(&command.clone().with_leader_clock(wall_clock()));
        let json = json.map_err(|e| ControlError::Storage(e.to_string()))?;
        let command = Arc::from(json);
        self.ask(|answer| Call::Propose { command, answer }).await
    }

    /// Returns the tables as of a moment after the call was made.
    ///
    /// # Errors
    ///
    /// Returns an error when another controller leads.
    pub async fn read(&self) -> Result<Tables, ControlError> {
        self.ask(|answer| Call::Read { answer }).await
    }

    /// Changes the members of the log and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns an error as [`ControllerHandle::propose`] does, or when the
    /// change does not fit the members.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), ControlError> {
        self.ask(|answer| Call::Change { change, answer }).await
    }

    /// Returns the lease of this controller, if it holds one.
    pub fn leadership(&self) -> Option<Leadership> {
        self.leadership.get().filter(Leadership::is_valid)
    }

    /// Returns the watch that changes with the leadership of this controller.
    ///
    /// A lease that it shows may have run out; [`Leadership::is_valid`] tells.
    pub fn watch_leadership(&self) -> Watch<Option<Leadership>> {
        self.leadership.clone()
    }

    /// Returns the tables that routers are shown.
    pub fn tables(&self) -> Arc<Tables> {
        self.published.get()
    }

    /// Waits for tables that are newer than `revision`.
    pub async fn newer(&self, revision: Revision, wait: Duration) -> Option<Arc<Tables>> {
        let is_newer = |t: &Arc<Tables>| t.revision > revision;
        timeout(wait, self.published.wait_until(is_newer)).await
    }

    /// Returns the time since the tables were known to be the newest.
    pub fn age(&self) -> Duration {
        let fresh = Duration::from_micros(self.fresh_at.load(Ordering::Relaxed));
        self.clock.elapsed().saturating_sub(fresh)
    }

    /// Returns what the controller reports of itself.
    pub fn status(&self) -> ControlStatus {
        let mut status = self.status.get();
        status.revision = self.published.get().revision;
        status
    }

    pub(crate) async fn deliver(&self, messages: Vec<Envelope>) {
        self.calls.send(Call::Deliver(messages)).await.ok();
    }

    async fn ask<T, F>(&self, make: F) -> Result<T, ControlError>
    where
        F: FnOnce(Answer<Result<T, ControlError>>) -> Call,
    {
        let (answer, receiver) = Answer::channel();
        let stopped = |_| ControlError::NotLeader { leader: None };
        self.calls.send(make(answer)).await.map_err(stopped)?;
        receiver
            .recv()
            .await
            .unwrap_or(Err(ControlError::Uncertain))
    }
}

/// Returns the wall clock in seconds.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

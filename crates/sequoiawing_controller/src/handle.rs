use crate::{
    Leadership,
    request::{ReplySender, Request},
};
use async_channel::Sender;
use sequoiawing_consensus::{Envelope, MemberChange};
use sequoiawing_link::{ControlError, ControlStatus};
use sequoiawing_runtime::{Clock, Watch, timeout};
use sequoiawing_tables::{Command, Departures, Outcome, Revision, Tables};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A handle to a controller's log and tables, for use within the same process.
#[derive(Clone)]
pub struct ControllerHandle {
    pub(crate) requests: Sender<Request>,
    pub(crate) published: Watch<Arc<Tables>>,
    pub(crate) departures: Watch<Arc<Departures>>,
    pub(crate) status: Watch<ControlStatus>,
    pub(crate) leadership: Watch<Option<Leadership>>,
    pub(crate) clock: Clock,
    /// The clock time, in microseconds, at which the tables were last known to be
    /// up to date.
    pub(crate) verified_at: Arc<AtomicU64>,
}

impl ControllerHandle {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// Timestamps in the command are replaced with this controller's wall clock.
    ///
    /// # Errors
    ///
    /// Returns an error if another controller leads, the queue is full, the disk
    /// fails, or it is unknown whether the command was committed. In the last case
    /// an edit can be retried safely: the same request ID gets the original outcome.
    pub async fn propose(&self, command: &Command) -> Result<Outcome, ControlError> {
        let json = serde_json::to_string(&command.clone().with_leader_clock(wall_clock()));
        let json = json.map_err(|e| ControlError::Storage(e.to_string()))?;
        let command = Arc::from(json);
        self.request(|reply| Request::Propose { command, reply })
            .await
    }

    /// Performs a linearizable read of the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if another controller leads, the disk fails, or the
    /// controller stops.
    pub async fn read(&self) -> Result<Tables, ControlError> {
        self.request(|reply| Request::Read { reply }).await
    }

    /// Changes the membership of the log and waits until the change is committed.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ControllerHandle::propose`], or an error if the
    /// change is invalid for the current members.
    pub async fn change_members(&self, change: MemberChange) -> Result<(), ControlError> {
        self.request(|reply| Request::ChangeMembers { change, reply })
            .await
    }

    /// Returns the leader lease of this controller, if it holds a valid one.
    pub fn leadership(&self) -> Option<Leadership> {
        self.leadership.get().filter(Leadership::is_valid)
    }

    /// Returns a watch of this controller's leadership.
    ///
    /// The lease in the watch may have expired; check [`Leadership::is_valid`].
    pub fn watch_leadership(&self) -> Watch<Option<Leadership>> {
        self.leadership.clone()
    }

    /// Returns the tables published to routers.
    pub fn tables(&self) -> Arc<Tables> {
        self.published.get()
    }

    /// Waits until the published tables are newer than `revision`. Returns `None`
    /// after `wait`.
    pub async fn wait_for_newer(&self, revision: Revision, wait: Duration) -> Option<Arc<Tables>> {
        let is_newer = |t: &Arc<Tables>| t.revision > revision;
        timeout(wait, self.published.wait_until(is_newer)).await
    }

    /// Returns the departures that were applied here, and so are committed.
    pub fn departures(&self) -> Arc<Departures> {
        self.departures.get()
    }

    /// Waits until departures after `revision` are applied here.
    pub async fn wait_for_departures(&self, revision: u64) -> Arc<Departures> {
        let is_newer = |d: &Arc<Departures>| d.revision() > revision;
        self.departures.wait_until(is_newer).await
    }

    /// Returns the time since the tables were last known to be up to date.
    pub fn age(&self) -> Duration {
        let verified = Duration::from_micros(self.verified_at.load(Ordering::Relaxed));
        self.clock.elapsed().saturating_sub(verified)
    }

    /// Returns the status of this controller.
    pub fn status(&self) -> ControlStatus {
        let mut status = self.status.get();
        status.revision = self.published.get().revision;
        status
    }

    pub(crate) async fn deliver(&self, messages: Vec<Envelope>) {
        self.requests.send(Request::Deliver(messages)).await.ok();
    }

    async fn request<T, F>(&self, build: F) -> Result<T, ControlError>
    where
        F: FnOnce(ReplySender<Result<T, ControlError>>) -> Request,
    {
        let (reply, receiver) = ReplySender::channel();
        let stopped = |_| ControlError::NotLeader { leader: None };
        self.requests.send(build(reply)).await.map_err(stopped)?;
        receiver
            .recv()
            .await
            .unwrap_or(Err(ControlError::Uncertain))
    }
}

/// Returns the seconds since the Unix epoch.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

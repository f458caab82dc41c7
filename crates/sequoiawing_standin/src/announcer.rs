use futures_lite::FutureExt;
use hyper::{Method, Request, StatusCode, header};
use sequoiawing_fleet::{Renewal, UpstreamState};
use sequoiawing_http::{Client, from_bytes};
use sequoiawing_runtime::{Shutdown, Watch, sleep, timeout};
use serde::Serialize;
use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const ANNOUNCE_PATH: &str = "/sequoiawing/announce";
const RENEW_PATH: &str = "/sequoiawing/renew";

/// How long one announcement or renewal may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a drained upstream waits for its connections to close.
pub(crate) const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of intervals for which an announcement is valid.
const LIFETIME_INTERVALS: u64 = 3;

/// The minimum validity of an announcement, in milliseconds.
const MIN_LIFETIME: u64 = 300;

/// Returns the validity of an announcement, in milliseconds.
pub(crate) fn lifetime(interval: u64) -> u64 {
    (interval * LIFETIME_INTERVALS).max(MIN_LIFETIME)
}

/// Announces an upstream to its routers. It stays with one router until that
/// one fails.
pub(crate) struct Announcer {
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) credential: String,
    pub(crate) interval: Duration,
    /// Changes when the state must be announced at once.
    pub(crate) changes: Watch<u64>,
}

impl Announcer {
    /// Announces the state that `describe` returns until shutdown starts.
    pub(crate) async fn run<F>(self, describe: F, shutdown: Shutdown)
    where
        F: Fn() -> UpstreamState + Send,
    {
        let client = Client::new(ANNOUNCE_TIMEOUT);
        let mut next_router = 0;
        let mut last_full = None;
        loop {
            let announced = self.changes.get();
            let state = describe();
            for _ in 0..self.routers.len() {
                let router = self.routers[next_router % self.routers.len()];
                if self.announce(&client, router, &state, &mut last_full).await {
                    break;
                }
                next_router += 1;
            }
            let changed = async {
                self.changes
                    .wait_until(|current| *current != announced)
                    .await;
            };
            if shutdown
                .or(changed.or(sleep(self.interval)))
                .await
                .is_none()
            {
                return;
            }
        }
    }

    /// Renews the last announcement or sends a full one, and returns whether the
    /// router accepted it.
    async fn announce(
        &self,
        client: &Client,
        router: SocketAddr,
        state: &UpstreamState,
        last_full: &mut Option<FullAnnouncement>,
    ) -> bool {
        if let Some(renewal) = last_full.as_ref().and_then(|f| f.renewal(state)) {
            match self.post(client, router, RENEW_PATH, &renewal).await {
                None => return false,
                Some(status) if status.is_success() => return true,
                Some(_) => {}
            }
        }
        let status = self.post(client, router, ANNOUNCE_PATH, state).await;
        let accepted = status.is_some_and(|s| s.is_success());
        *last_full = accepted.then(|| FullAnnouncement {
            state: state.clone(),
            sent_at: Instant::now(),
        });
        accepted
    }

    /// Sends a request and returns the status of its response, or `None` if there
    /// was no response.
    async fn post<T>(
        &self,
        client: &Client,
        router: SocketAddr,
        path: &str,
        body: &T,
    ) -> Option<StatusCode>
    where
        T: Serialize,
    {
        let json = serde_json::to_vec(body).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, router.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.credential))
            .body(from_bytes(json))
            .ok()?;
        let exchange = async {
            let response = client.send(router, request).await.ok()?;
            let status = response.status();
            http_body_util::BodyExt::collect(response.into_body())
                .await
                .ok()?;
            Some(status)
        };
        timeout(ANNOUNCE_TIMEOUT, exchange).await.flatten()
    }
}

/// The last full announcement.
struct FullAnnouncement {
    state: UpstreamState,
    sent_at: Instant,
}

impl FullAnnouncement {
    /// Returns a renewal of the announcement, unless a full one is due or more
    /// than the load has changed.
    fn renewal(&self, state: &UpstreamState) -> Option<Renewal> {
        let is_due = self.sent_at.elapsed() >= Renewal::FULL_INTERVAL;
        let is_renewable = !is_due && self.state.differs_in_load_only(state);
        is_renewable.then(|| Renewal::of(state, self.state.sequence))
    }
}

/// Returns an epoch from the clock, which increases with each start.
pub(crate) fn new_epoch() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

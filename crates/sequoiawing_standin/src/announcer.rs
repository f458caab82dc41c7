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

/// How long an announcement may take.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// How long a stand-in without requests waits for its connections to close.
pub(crate) const LISTENER_LIMIT: Duration = Duration::from_secs(1);

/// The intervals for which an announcement holds.
const LIFETIME_INTERVALS: u64 = 3;

/// The shortest time for which an announcement holds, in milliseconds.
const MIN_LIFETIME: u64 = 300;

/// Returns how long an announcement holds, in milliseconds.
pub(crate) fn lifetime(interval: u64) -> u64 {
    (interval * LIFETIME_INTERVALS).max(MIN_LIFETIME)
}

/// Announces an upstream to one router after the other.
pub(crate) struct Announcer {
    pub(crate) routers: Vec<SocketAddr>,
    pub(crate) credential: String,
    pub(crate) interval: Duration,
    /// Changes when something is to be announced at once.
    pub(crate) news: Watch<u64>,
}

impl Announcer {
    /// Announces what `describe` returns until shutdown starts.
    pub(crate) async fn run<F>(self, describe: F, shutdown: Shutdown)
    where
        F: Fn() -> UpstreamState + Send,
    {
        let client = Client::new(CALL_LIMIT);
        let mut turn = 0;
        let mut whole = None;
        loop {
            let told = self.news.get();
            let state = describe();
            for _ in 0..self.routers.len() {
                let router = self.routers[turn % self.routers.len()];
                if self.tell(&client, router, &state, &mut whole).await {
                    break;
                }
                turn += 1;
            }
            let changed = async {
                self.news.wait_until(|news| *news != told).await;
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

    /// Renews the last announcement, or makes another, and reports whether the
    /// router took it.
    async fn tell(
        &self,
        client: &Client,
        router: SocketAddr,
        state: &UpstreamState,
        whole: &mut Option<Whole>,
    ) -> bool {
        if let Some(renewal) = whole.as_ref().and_then(|w| w.renewal(state)) {
            match self.post(client, router, RENEW_PATH, &renewal).await {
                None => return false,
                Some(status) if status.is_success() => return true,
                Some(_) => {}
            }
        }
        let status = self.post(client, router, ANNOUNCE_PATH, state).await;
        let taken = status.is_some_and(|s| s.is_success());
        *whole = taken.then(|| Whole {
            state: state.clone(),
            at: Instant::now(),
        });
        taken
    }

    /// Returns the answer's status; `None` when none came.
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
            let answer = client.send(router, request).await.ok()?;
            let status = answer.status();
            http_body_util::BodyExt::collect(answer.into_body())
                .await
                .ok()?;
            Some(status)
        };
        timeout(CALL_LIMIT, exchange).await.flatten()
    }
}

/// The last whole announcement.
struct Whole {
    state: UpstreamState,
    at: Instant,
}

impl Whole {
    /// Returns what renews the announcement, unless a whole one is due or more
    /// than the load has changed.
    fn renewal(&self, state: &UpstreamState) -> Option<Renewal> {
        let due = self.at.elapsed() >= Renewal::FULL_INTERVAL;
        let fits = !due && self.state.differs_in_load_only(state);
        fits.then(|| Renewal::of(state, self.state.sequence))
    }
}

/// Returns a number that grows with each start of a stand-in.
pub(crate) fn new_epoch() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |d| u64::try_from(d.as_micros()).unwrap_or(u64::MAX))
}

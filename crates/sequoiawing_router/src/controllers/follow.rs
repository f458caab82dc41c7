use crate::{Controller, RouterState, saved_tables::SavedTables};
use parking_lot::Mutex;
use sequoiawing_link::{FollowReply, FollowRequest, LinkError};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_tables::Tables;
use sequoiawing_types::Name;
use std::{
    future::Future,
    hash::{DefaultHasher, Hash, Hasher},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// How long a source may delay its reply until the tables change.
pub const POLL_WAIT: Duration = Duration::from_secs(5);

/// The timeout of a request to a source.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The delay before the sources are polled again after none of them had recent
/// tables.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The number of routers of a data centre that follow the controllers directly;
/// the other routers follow these relays.
const RELAY_COUNT: usize = 2;

/// The age of a source's tables beyond which the next source is polled as well.
const MAX_AGE: Duration = Duration::from_secs(12);

/// The number of routers that are polled when no other source has recent tables.
const FALLBACK_COUNT: usize = 3;

/// A source of the tables.
#[derive(Clone, Copy, Debug)]
enum Source {
    Controller(usize),
    /// A router that relays the tables.
    Relay(usize),
    /// A router that may have tables when no other source is reachable; it replies
    /// immediately.
    Fallback(usize),
}

/// Follows the tables of the controllers, directly or through a relay in the
/// data centre, and saves them to disk.
///
/// Without a reachable controller or relay, a router serves from its saved
/// tables, or from those of another router if it has none.
pub(crate) struct FollowTables {
    state: Arc<RouterState>,
    saved: Mutex<SavedTables>,
}

impl FollowTables {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let saved = Mutex::new(SavedTables::new(&state.settings));
        Self { state, saved }
    }

    async fn poll(&self) {
        for source in self.sources() {
            let sent_at = self.state.now();
            let result = self.fetch(source).await;
            let delay = match source {
                Source::Controller(_) | Source::Relay(_) => Duration::ZERO,
                Source::Fallback(_) => self.state.now().since(sent_at),
            };
            match result {
                Ok(reply) if is_fresh(&reply) => return self.apply(reply, delay),
                Ok(reply) => self.apply(reply, delay),
                Err(error) => {
                    log::debug!(target: "follow", "A table source did not reply: {error}.");
                }
            }
        }
        sleep(RETRY_DELAY).await;
    }

    /// Returns the sources in the order in which this router polls them.
    ///
    /// A relay polls the controllers first, other routers poll the relays first.
    /// The start depends on the host, which spreads the load over the sources.
    fn sources(&self) -> Vec<Source> {
        let controllers = rotated_indexes(self.state.controllers.len(), &self.state.settings.host);
        let controllers = controllers.into_iter().map(Source::Controller);
        let peers = self.state.peers.all();
        let relays = self.relays();
        let is_relay = relays.contains(&self.state.settings.host);
        let index = |host: &Name| peers.iter().position(|p| p.host == *host);
        let relays: Vec<usize> = relays.iter().filter_map(index).collect();
        let order = rotated_indexes(relays.len(), &self.state.settings.host);
        let relays = order.into_iter().map(|i| Source::Relay(relays[i]));
        let mut fallbacks = rotated_indexes(peers.len(), &self.state.settings.host);
        // Local routers come first, since those of other data centres may all be
        // unreachable.
        let centre = &self.state.settings.centre;
        fallbacks.sort_by_key(|i| peers[*i].centre != *centre);
        let fallbacks = fallbacks
            .into_iter()
            .take(FALLBACK_COUNT)
            .map(Source::Fallback);
        if is_relay {
            controllers.chain(fallbacks).collect()
        } else {
            relays.chain(controllers).chain(fallbacks).collect()
        }
    }

    /// Returns how long a source may delay its reply, which is short enough to
    /// confirm the keys well within their grace period.
    fn poll_wait(&self) -> Duration {
        match self.state.settings.key_grace {
            0 => POLL_WAIT,
            seconds => POLL_WAIT.min(Duration::from_secs(seconds) / 4),
        }
    }

    /// Returns the hosts that act as relays in this data centre.
    fn relays(&self) -> Vec<Name> {
        let tables = self.state.tables.get();
        let members = tables.members(&self.state.settings.centre);
        members.take(RELAY_COUNT).map(|h| h.host.clone()).collect()
    }

    async fn fetch(&self, source: Source) -> Result<FollowReply, LinkError> {
        let wait = match source {
            Source::Controller(_) | Source::Relay(_) => self.poll_wait(),
            Source::Fallback(_) => Duration::ZERO,
        };
        let request = FollowRequest {
            host: self.state.settings.host.clone(),
            revision: self.state.tables.get().revision,
            wait: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match source {
            Source::Controller(i) => {
                let call = self.state.controllers[i]
                    .call(CALL_TIMEOUT, |client, context| async move {
                        client.follow(context, request).await
                    });
                call.await
            }
            Source::Relay(i) | Source::Fallback(i) => {
                let peers = self.state.peers.all();
                let Some(peer) = peers.get(i) else {
                    return Ok(FollowReply::default());
                };
                let call = peer.stub.call(CALL_TIMEOUT, |client, context| async move {
                    client.follow(context, request).await
                });
                call.await
            }
        }
    }

    fn apply(&self, reply: FollowReply, delay: Duration) {
        let age = Duration::from_millis(reply.age);
        self.state.confirm_tables(reply.revision, age, delay);
        let Some(update) = reply.update else {
            return;
        };
        let mut tables = Tables::clone(&self.state.tables.get());
        tables.apply_update(update.clone());
        let tables = Arc::new(tables);
        if self.state.apply_tables(tables.clone()) {
            self.saved.lock().save(&tables, &update);
        }
    }
}

fn is_fresh(reply: &FollowReply) -> bool {
    Duration::from_millis(reply.age) <= MAX_AGE
}

/// Returns the indexes below `count`, rotated to a start that is derived from the
/// host name.
pub(super) fn rotated_indexes(count: usize, host: &Name) -> Vec<usize> {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    let start = usize::try_from(hasher.finish() >> 32).unwrap_or(0);
    (0..count).map(|i| (start + i) % count).collect()
}

impl Controller for FollowTables {
    fn name(&self) -> &'static str {
        "follow"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let saved = self.saved.lock().load();
            if let Some(tables) = saved {
                self.state.apply_tables(Arc::new(tables));
            }
            while shutdown.or(Box::pin(self.poll())).await.is_some() {}
        })
    }
}

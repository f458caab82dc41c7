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

/// How long a source may hold back its answer until the tables change.
pub const POLL_WAIT: Duration = Duration::from_secs(5);

/// How long a question to a source may take.
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// How long the router waits after no source answered.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The routers of a data centre that follow the controllers themselves; the
/// others follow these.
const RELAYS: usize = 2;

/// How old the tables of a relay may be before another source is asked.
const MAX_AGE: Duration = Duration::from_secs(12);

/// The neighbours that are asked when no other source answers.
const NEIGHBOURS: usize = 3;

/// Where the tables come from.
#[derive(Clone, Copy, Debug)]
enum Source {
    Controller(usize),
    /// A router that relays the tables.
    Relay(usize),
    /// A router that may have tables when nothing else is reachable; it is not
    /// waited for.
    Neighbour(usize),
}

/// Follows the tables of the controllers, directly or through a relay of the
/// data centre, and saves them.
///
/// A router that finds no source serves from what it saved, and one that saved
/// nothing from a neighbour's.
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
            let asked = self.state.now();
            let answered = self.ask(source).await;
            let since = match source {
                Source::Controller(_) | Source::Relay(_) => Duration::ZERO,
                Source::Neighbour(_) => self.state.now().since(asked),
            };
            match answered {
                Ok(published) if is_fresh(&published) => return self.take(published, since),
                Ok(published) => self.take(published, since),
                Err(error) => {
                    log::debug!(target: "follow", "A source did not answer: {error}.");
                }
            }
        }
        sleep(RETRY_PAUSE).await;
    }

    /// Returns the sources in the order in which this router asks them.
    ///
    /// A relay asks the controllers first, the others their relays; each host
    /// begins at another one, so that the load spreads.
    fn sources(&self) -> Vec<Source> {
        let controllers = rotated(self.state.control.len(), &self.state.settings.host);
        let controllers = controllers.into_iter().map(Source::Controller);
        let peers = self.state.peers.all();
        let relays = self.relays();
        let is_relay = relays.contains(&self.state.settings.host);
        let index = |host: &Name| peers.iter().position(|p| p.host == *host);
        let relays: Vec<usize> = relays.iter().filter_map(index).collect();
        let turn = rotated(relays.len(), &self.state.settings.host);
        let relays = turn.into_iter().map(|i| Source::Relay(relays[i]));
        let mut neighbours = rotated(peers.len(), &self.state.settings.host);
        // Those of other data centres may all be cut off.
        let centre = &self.state.settings.centre;
        neighbours.sort_by_key(|i| peers[*i].centre != *centre);
        let neighbours = neighbours
            .into_iter()
            .take(NEIGHBOURS)
            .map(Source::Neighbour);
        if is_relay {
            controllers.chain(neighbours).collect()
        } else {
            relays.chain(controllers).chain(neighbours).collect()
        }
    }

    /// Returns how long a source may hold back its answer: short enough to
    /// confirm keys well within their grace.
    fn poll_wait(&self) -> Duration {
        match self.state.settings.key_grace {
            0 => POLL_WAIT,
            seconds => POLL_WAIT.min(Duration::from_secs(seconds) / 4),
        }
    }

    /// Returns the hosts that relay the tables in this data centre.
    fn relays(&self) -> Vec<Name> {
        let tables = self.state.tables.get();
        let members = tables.members(&self.state.settings.centre);
        members.take(RELAYS).map(|h| h.host.clone()).collect()
    }

    async fn ask(&self, source: Source) -> Result<FollowReply, LinkError> {
        let wait = match source {
            Source::Controller(_) | Source::Relay(_) => self.poll_wait(),
            Source::Neighbour(_) => Duration::ZERO,
        };
        let question = FollowRequest {
            host: self.state.settings.host.clone(),
            revision: self.state.tables.get().revision,
            wait: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        match source {
            Source::Controller(i) => {
                let call = self.state.control[i].call(CALL_LIMIT, |client, context| async move {
                    client.follow(context, question).await
                });
                call.await
            }
            Source::Relay(i) | Source::Neighbour(i) => {
                let peers = self.state.peers.all();
                let Some(peer) = peers.get(i) else {
                    return Ok(FollowReply::default());
                };
                let call = peer.stub.call(CALL_LIMIT, |client, context| async move {
                    client.follow(context, question).await
                });
                call.await
            }
        }
    }

    fn take(&self, published: FollowReply, since: Duration) {
        let age = Duration::from_millis(published.age);
        self.state.confirm_tables(published.revision, age, since);
        let Some(update) = published.update else {
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

fn is_fresh(published: &FollowReply) -> bool {
    Duration::from_millis(published.age) <= MAX_AGE
}

/// Returns the numbers below `count`, beginning at one that the host decides.
pub(super) fn rotated(count: usize, host: &Name) -> Vec<usize> {
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

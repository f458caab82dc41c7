use crate::{Controller, RouterState, key_grace::unix_millis, peers::PeerLink};
use futures_lite::FutureExt;
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_tables::{Change, Command, KeyId};
use sequoiawing_types::RequestId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    fs,
    future::Future,
    io::{self, Write},
    path::{Path, PathBuf},
    pin::Pin,
    sync::Arc,
    time::Duration,
};

/// The file with the withdrawn keys, beside the tables.
const KEYS_FILE: &str = "withdrawn.json";

/// How often withdrawals that the log lacks are sent again, so that they reach
/// hosts that were cut off or restarted.
const REPEAT: Duration = Duration::from_secs(1);

/// How long telling another router may take.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How often the time of the last confirmation is saved, in milliseconds.
const SAVE_INTERVAL: u64 = 60_000;

/// What is saved of keys besides the tables.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct SavedKeys {
    withdrawn: BTreeSet<KeyId>,
    confirmed: u64,
}

/// Spreads and saves withdrawn keys.
///
/// A withdrawn key stays so for ever, so hosts join what they know without
/// agreement; a withdrawal that the log lacks is also entered there. See
/// [docs/SECURITY.md](../../../../docs/SECURITY.md).
pub(crate) struct SpreadKeys {
    state: Arc<RouterState>,
    known: usize,
    saved: SavedKeys,
}

impl SpreadKeys {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let saved = SavedKeys::default();
        let known = 0;
        Self {
            state,
            known,
            saved,
        }
    }

    fn file(&self) -> Option<PathBuf> {
        let data = self.state.settings.data.as_ref();
        data.map(|d| d.join(KEYS_FILE))
    }

    fn load(&mut self) {
        let Some(file) = self.file() else {
            self.state.grace.confirm(unix_millis());
            return;
        };
        match read_keys(&file) {
            Ok(saved) => {
                self.state.withdraw_keys(saved.withdrawn.iter().cloned());
                self.state.grace.confirm(saved.confirmed);
                self.saved = saved;
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                self.state.grace.confirm(unix_millis());
            }
            Err(error) => {
                let file = file.display();
                log::error!(target: "keys", "Saved keys {file} are unreadable: {error}.");
            }
        }
    }

    /// Waits until a key is withdrawn or it is time to repeat.
    async fn wait(&self) {
        let known = self.known;
        let changed = async {
            self.state
                .withdrawn
                .wait_until(|keys| keys.len() > known)
                .await;
        };
        changed.or(sleep(REPEAT)).await;
    }

    fn spread(&mut self) {
        let all = self.state.withdrawn.get();
        self.known = all.len();
        self.save(&all);
        let tables = self.state.tables.get();
        let fresh: Vec<KeyId> = all.difference(&tables.withdrawn).cloned().collect();
        if fresh.is_empty() {
            return;
        }
        for peer in self.state.peers.all().iter() {
            spawn(tell(peer, fresh.clone())).detach();
        }
        spawn(enter(self.state.clone(), fresh)).detach();
    }

    fn save(&mut self, all: &BTreeSet<KeyId>) {
        let confirmed = self.state.grace.last_confirmed();
        let is_old = confirmed >= self.saved.confirmed + SAVE_INTERVAL;
        if all.len() == self.saved.withdrawn.len() && !is_old {
            return;
        }
        let saved = SavedKeys {
            withdrawn: all.clone(),
            confirmed,
        };
        if let Some(file) = self.file()
            && let Err(error) = write_keys(&file, &saved)
        {
            log::error!(target: "keys", "Withdrawn keys could not be saved: {error}.");
            return;
        }
        self.saved = saved;
    }
}

/// Tells another router; a lost call is made good by the next repeat.
fn tell(peer: &PeerLink, keys: Vec<KeyId>) -> impl Future<Output = ()> + use<> {
    let stub = peer.stub.clone();
    let host = peer.host.clone();
    async move {
        let call = stub.call(CALL_LIMIT, |client, context| async move {
            client.withdraw(context, keys).await
        });
        if let Err(error) = call.await {
            log::debug!(target: "keys", "Host {host} was not told of withdrawn keys: {error}.");
        }
    }
}

/// Enters withdrawals in the log; all hosts use the same request, so that it
/// is entered once.
async fn enter(state: Arc<RouterState>, keys: Vec<KeyId>) {
    for key in keys {
        let request = RequestId::from(format!("withdraw-{key}").as_str());
        let changes = vec![Change::WithdrawKey(key)];
        let base = None;
        let edit = Command::Edit {
            request,
            base,
            changes,
        };
        if state.propose(edit).await.is_none() {
            return;
        }
    }
}

fn read_keys(file: &Path) -> io::Result<SavedKeys> {
    let bytes = fs::read(file)?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Replaces the file in one step, so that a crash leaves the old or the new.
fn write_keys(file: &Path, keys: &SavedKeys) -> io::Result<()> {
    if let Some(folder) = file.parent() {
        fs::create_dir_all(folder)?;
    }
    let fresh = file.with_extension("new");
    let mut handle = fs::File::create(&fresh)?;
    handle.write_all(&serde_json::to_vec(keys)?)?;
    handle.sync_all()?;
    fs::rename(&fresh, file)
}

impl Controller for SpreadKeys {
    fn name(&self) -> &'static str {
        "keys"
    }

    fn run(mut self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            self.load();
            loop {
                self.spread();
                if shutdown.or(self.wait()).await.is_none() {
                    return;
                }
            }
        })
    }
}

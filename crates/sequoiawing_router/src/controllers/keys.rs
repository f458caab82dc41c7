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

/// The file of withdrawn keys, in the same folder as the tables.
const KEYS_FILE: &str = "withdrawn.json";

/// How often withdrawals that are missing from the log are sent again, so that
/// they reach hosts that were unreachable or restarting.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a call to another router.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the time of the last confirmation is saved, in milliseconds.
const SAVE_INTERVAL: u64 = 60_000;

/// The state of keys that is saved in addition to the tables.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct SavedKeys {
    withdrawn: BTreeSet<KeyId>,
    confirmed: u64,
}

/// Propagates withdrawn keys to the other routers and the log, and saves them.
///
/// A withdrawal is permanent, so hosts merge their sets without consensus.
/// Withdrawals that are missing from the log are proposed to it as well. See
/// [docs/SECURITY.md](../../../../docs/SECURITY.md).
pub(crate) struct PropagateWithdrawals {
    state: Arc<RouterState>,
    propagated: usize,
    saved: SavedKeys,
}

impl PropagateWithdrawals {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        let saved = SavedKeys::default();
        let propagated = 0;
        Self {
            state,
            propagated,
            saved,
        }
    }

    fn file(&self) -> Option<PathBuf> {
        let data = self.state.settings.data.as_ref();
        data.map(|d| d.join(KEYS_FILE))
    }

    fn load(&mut self) {
        let Some(file) = self.file() else {
            self.state.key_grace.confirm(unix_millis());
            return;
        };
        match read_keys(&file) {
            Ok(saved) => {
                self.state.withdraw_keys(saved.withdrawn.iter().cloned());
                self.state.key_grace.confirm(saved.confirmed);
                self.saved = saved;
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                self.state.key_grace.confirm(unix_millis());
            }
            Err(error) => {
                let file = file.display();
                log::error!(target: "keys", "Failed to read the saved keys from {file}: {error}.");
            }
        }
    }

    /// Waits until a key is withdrawn or the resend interval has passed.
    async fn wait(&self) {
        let propagated = self.propagated;
        let changed = async {
            self.state
                .withdrawn
                .wait_until(|keys| keys.len() > propagated)
                .await;
        };
        changed.or(sleep(RESEND_INTERVAL)).await;
    }

    fn propagate(&mut self) {
        let all = self.state.withdrawn.get();
        self.propagated = all.len();
        self.save(&all);
        let tables = self.state.tables.get();
        let unlogged: Vec<KeyId> = all.difference(&tables.withdrawn).cloned().collect();
        if unlogged.is_empty() {
            return;
        }
        for peer in self.state.peers.all().iter() {
            spawn(send_withdrawals(peer, unlogged.clone())).detach();
        }
        spawn(propose_withdrawals(self.state.clone(), unlogged)).detach();
    }

    fn save(&mut self, all: &BTreeSet<KeyId>) {
        let confirmed = self.state.key_grace.last_confirmed();
        let is_outdated = confirmed >= self.saved.confirmed + SAVE_INTERVAL;
        if all.len() == self.saved.withdrawn.len() && !is_outdated {
            return;
        }
        let saved = SavedKeys {
            withdrawn: all.clone(),
            confirmed,
        };
        if let Some(file) = self.file()
            && let Err(error) = write_keys(&file, &saved)
        {
            log::error!(target: "keys", "Failed to save the withdrawn keys: {error}.");
            return;
        }
        self.saved = saved;
    }
}

/// Sends withdrawals to another router. A failed call is repaired by the next
/// resend.
fn send_withdrawals(peer: &PeerLink, keys: Vec<KeyId>) -> impl Future<Output = ()> + use<> {
    let stub = peer.stub.clone();
    let host = peer.host.clone();
    async move {
        let call = stub.call(CALL_TIMEOUT, |client, context| async move {
            client.withdraw(context, keys).await
        });
        if let Err(error) = call.await {
            log::debug!(target: "keys", "Failed to send withdrawn keys to {host}: {error}.");
        }
    }
}

/// Proposes withdrawals to the log. All hosts use the same request identifier, so
/// that the log applies each withdrawal once.
async fn propose_withdrawals(state: Arc<RouterState>, keys: Vec<KeyId>) {
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

/// Replaces the file atomically, so that a crash leaves either the old or the new
/// content. Once it returns, a loss of power leaves the new one.
fn write_keys(file: &Path, keys: &SavedKeys) -> io::Result<()> {
    let folder = file.parent().unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    let temporary = file.with_extension("new");
    let mut handle = fs::File::create(&temporary)?;
    handle.write_all(&serde_json::to_vec(keys)?)?;
    handle.sync_all()?;
    fs::rename(&temporary, file)?;
    fs::File::open(folder)?.sync_all()
}

impl Controller for PropagateWithdrawals {
    fn name(&self) -> &'static str {
        "keys"
    }

    fn run(mut self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            self.load();
            loop {
                self.propagate();
                if shutdown.or(self.wait()).await.is_none() {
                    return;
                }
            }
        })
    }
}

use crate::UpstreamState;
use sequoiawing_types::{Name, Time};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// How long an upstream that was not heard of is remembered, so that a late
/// announcement of a former start is still known as one.
const MEMORY: Duration = Duration::from_mins(5);

/// An upstream as a [`Roster`] lists it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Listed {
    /// What it announced last.
    pub state: Arc<UpstreamState>,
    /// Whether it has left, or another start has taken its address.
    pub gone: bool,
}

/// How far a follower of a roster has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Cursor {
    /// Names the start of the process that keeps the roster.
    pub epoch: u64,
    /// The last change that the follower has.
    pub stamp: u64,
}

/// What is new to a follower of a roster.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RosterNews {
    /// Where the follower stands with this.
    pub cursor: Cursor,
    /// The upstreams of which something changed.
    pub listed: Vec<Listed>,
}

/// What is new to a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interest {
    /// Only what decides where requests go.
    Changes,
    /// Every announcement, for those who judge who is silent.
    Announcements,
}

#[derive(Clone, Debug)]
struct Entry {
    listed: Listed,
    heard: Time,
    /// The stamp of the last change of what was announced.
    changed: u64,
    /// The stamp of the last announcement.
    touched: u64,
}

/// The upstreams of a deployment, by what they announce of themselves.
///
/// Announcements may be repeated, late and reordered: of one name the later
/// start counts, and of one start the later announcement. Rosters of several
/// processes that follow each other become equal, whoever an upstream speaks
/// to.
#[derive(Clone, Debug)]
pub struct Roster {
    epoch: u64,
    stamp: u64,
    entries: BTreeMap<Name, Entry>,
    /// The newest start that announced itself at an address.
    holders: BTreeMap<SocketAddr, Name>,
}

impl Roster {
    /// Returns an empty roster; `epoch` names the start of this process.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            stamp: 0,
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// Takes in an announcement; reports whether it changed what is known.
    pub fn announce(&mut self, now: Time, state: UpstreamState) -> bool {
        let gone = false;
        let state = Arc::new(state);
        self.take(now, Listed { state, gone })
    }

    /// Takes in that an upstream has left. Without a start, the one that is
    /// known is meant.
    pub fn leave(&mut self, now: Time, name: &Name, epoch: Option<u64>) -> bool {
        let Some(entry) = self.entries.get(name) else {
            return false;
        };
        let known = &entry.listed.state;
        if epoch.is_some_and(|e| e < known.epoch) {
            return false;
        }
        let mut state = UpstreamState::clone(known);
        state.epoch = epoch.unwrap_or(state.epoch);
        state.sequence = u64::MAX;
        state.leaving = true;
        let state = Arc::new(state);
        self.take(now, Listed { state, gone: true })
    }

    /// Takes in what another roster lists; reports whether it changed what is
    /// known.
    pub fn take(&mut self, now: Time, listed: Listed) -> bool {
        let name = listed.state.name.clone();
        let known = self.entries.get(&name);
        let is_newer = |entry: &Entry| listed.state.version() > entry.listed.state.version();
        if !known.is_none_or(is_newer) {
            return self.mark_gone(&name, &listed);
        }
        let is_same = known.is_some_and(|entry| is_equivalent(&entry.listed, &listed));
        let listed = self.settle_address(listed);
        self.stamp += 1;
        let changed = match known_change(self.entries.get(&name)) {
            Some(changed) if is_same => changed,
            _ => self.stamp,
        };
        let entry = Entry {
            listed,
            heard: now,
            changed,
            touched: self.stamp,
        };
        self.entries.insert(name, entry);
        !is_same
    }

    /// Notes that an upstream is gone whose last announcement is known.
    fn mark_gone(&mut self, name: &Name, listed: &Listed) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        let is_known = entry.listed.state.version() == listed.state.version();
        if !is_known || !listed.gone || entry.listed.gone {
            return false;
        }
        self.stamp += 1;
        entry.listed.gone = true;
        entry.changed = self.stamp;
        entry.touched = self.stamp;
        true
    }

    /// Lets the newest start at an address stand for it, since the others must
    /// have ended.
    fn settle_address(&mut self, mut listed: Listed) -> Listed {
        let Some(address) = listed.state.address.filter(|_| !listed.gone) else {
            return listed;
        };
        let former = self.holders.get(&address).cloned();
        let former = former.filter(|name| *name != listed.state.name);
        if let Some(name) = former {
            let entry = self.entries.get(&name).filter(|e| !e.listed.gone);
            let born = entry.map(|e| e.listed.state.epoch);
            if born.is_some_and(|b| b > listed.state.epoch) {
                listed.gone = true;
                return listed;
            }
            if let Some(entry) = self.entries.get_mut(&name).filter(|e| !e.listed.gone) {
                self.stamp += 1;
                entry.listed.gone = true;
                entry.changed = self.stamp;
                entry.touched = self.stamp;
            }
        }
        self.holders.insert(address, listed.state.name.clone());
        listed
    }

    /// Forgets who was silent for long.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, e| now < e.heard + MEMORY);
        let entries = &self.entries;
        self.holders.retain(|_, name| entries.contains_key(name));
    }

    /// Returns what is new to a follower; all that is known when the cursor is
    /// of another roster.
    pub fn since(&self, cursor: Cursor, interest: Interest) -> RosterNews {
        let is_known = cursor.epoch == self.epoch;
        let after = if is_known { cursor.stamp } else { 0 };
        let stamp = |e: &Entry| match interest {
            Interest::Changes => e.changed,
            Interest::Announcements => e.touched,
        };
        let newer = self.entries.values().filter(|e| stamp(e) > after);
        let listed = newer.map(|e| match interest {
            Interest::Changes => without_copies(&e.listed),
            Interest::Announcements => e.listed.clone(),
        });
        RosterNews {
            cursor: Cursor {
                epoch: self.epoch,
                stamp: self.stamp,
            },
            listed: listed.collect(),
        }
    }

    /// Returns the upstreams that may serve.
    pub fn present(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        let present = self.entries.values().filter(|e| !e.listed.gone);
        present.map(|e| &e.listed.state)
    }

    /// Returns the upstream of that name, unless it is gone.
    pub fn get(&self, name: &Name) -> Option<&Arc<UpstreamState>> {
        let entry = self.entries.get(name).filter(|e| !e.listed.gone);
        entry.map(|e| &e.listed.state)
    }

    /// Returns the upstreams that have announced nothing for longer than
    /// `limit`.
    pub fn silent(&self, now: Time, limit: Duration) -> Vec<Name> {
        let present = self.entries.iter().filter(|(_, e)| !e.listed.gone);
        let silent = present.filter(|(_, e)| now.since(e.heard) > limit);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns how long ago an upstream announced itself.
    pub fn age(&self, now: Time, name: &Name) -> Option<Duration> {
        self.entries.get(name).map(|e| now.since(e.heard))
    }
}

/// Returns an entry without the copies of weights at hand, which are most of it
/// and decide about loads alone.
fn without_copies(listed: &Listed) -> Listed {
    if listed.state.disk.is_empty() && listed.state.cached.is_empty() {
        return listed.clone();
    }
    let mut state = UpstreamState::clone(&listed.state);
    state.disk.clear();
    state.cached.clear();
    Listed {
        state: Arc::new(state),
        gone: listed.gone,
    }
}

fn known_change(entry: Option<&Entry>) -> Option<u64> {
    entry.map(|e| e.changed)
}

/// Reports whether two entries differ only in what requests do not depend on:
/// the count of announcements, the load and the copies of weights at hand.
fn is_equivalent(known: &Listed, next: &Listed) -> bool {
    let mut state = UpstreamState::clone(&next.state);
    state.sequence = known.state.sequence;
    state.running = known.state.running;
    state.disk.clone_from(&known.state.disk);
    state.cached.clone_from(&known.state.cached);
    known.gone == next.gone && *known.state == state
}

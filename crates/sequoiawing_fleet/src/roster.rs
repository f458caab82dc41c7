use crate::{UpstreamState, software_history::SoftwareHistory};
use sequoiawing_types::{Name, Time};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// How long a silent upstream is kept, so that late announcements from before a
/// restart are still recognized.
const RETENTION: Duration = Duration::from_mins(5);

/// An upstream as listed in a [`Roster`].
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RosterEntry {
    /// Its last announcement.
    pub state: Arc<UpstreamState>,
    /// Whether it has left, or a later start has taken over its address.
    pub gone: bool,
}

/// The position of a follower in the changes of a roster.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Cursor {
    /// Identifies the start of the process that keeps the roster.
    pub epoch: u64,
    /// The stamp of the last change that the follower has received.
    pub stamp: u64,
}

/// The changes of a roster since a follower's cursor.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct RosterUpdate {
    /// The follower's cursor after this update.
    pub cursor: Cursor,
    /// The changed upstreams.
    pub listed: Vec<RosterEntry>,
}

/// The changes that a follower receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interest {
    /// Only changes that affect where requests are sent.
    Changes,
    /// Every announcement, for followers that detect silent upstreams.
    Announcements,
    /// The announcements of upstreams to this process itself, for followers that get
    /// those to others from them.
    OwnAnnouncements,
}

#[derive(Clone, Debug)]
struct TrackedEntry {
    listed: RosterEntry,
    last_heard: Time,
    /// The stamp of the last change in the announced state.
    changed: u64,
    /// The stamp of the last announcement.
    announced: u64,
    /// The stamp of the last announcement to this process itself.
    announced_here: u64,
}

/// The upstreams of a deployment, as they announce themselves.
///
/// Announcements may be duplicated, delayed and reordered: for each name, the
/// latest announcement of the latest start is kept. Rosters of processes that
/// follow each other converge, whichever process an upstream announces itself
/// to.
#[derive(Clone, Debug)]
pub struct Roster {
    epoch: u64,
    stamp: u64,
    entries: BTreeMap<Name, TrackedEntry>,
    /// The upstream with the latest start at each address.
    address_owners: BTreeMap<SocketAddr, Name>,
    software: SoftwareHistory,
}

impl Roster {
    /// Returns an empty roster; `epoch` identifies the start of this process.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            stamp: 0,
            entries: BTreeMap::new(),
            address_owners: BTreeMap::new(),
            software: SoftwareHistory::default(),
        }
    }

    /// Applies an announcement; returns whether the known state changed.
    pub fn announce(&mut self, now: Time, state: UpstreamState) -> bool {
        let gone = false;
        let state = Arc::new(state);
        self.apply_own(now, RosterEntry { state, gone })
    }

    /// Applies an entry that this process learned of by itself; returns whether the known
    /// state changed.
    fn apply_own(&mut self, now: Time, listed: RosterEntry) -> bool {
        let name = listed.state.name.clone();
        let version = listed.state.version();
        let has_changed = self.apply(now, listed);
        let entry = self.entries.get_mut(&name);
        if let Some(entry) = entry.filter(|e| e.listed.state.version() == version) {
            entry.announced_here = entry.announced;
        }
        has_changed
    }

    /// Marks an upstream as gone because it has left; returns whether the known
    /// state changed.
    ///
    /// Without an `epoch`, the known start of the upstream is meant. A departure with an
    /// `epoch` is kept even if the upstream is unknown, since followers may know it.
    pub fn leave(&mut self, now: Time, name: &Name, epoch: Option<u64>) -> bool {
        let Some(epoch) = epoch.or_else(|| self.epoch(name)) else {
            return false;
        };
        match self.departed(name, (epoch, u64::MAX), true) {
            Some(listed) => self.apply_own(now, listed),
            None => false,
        }
    }

    /// Applies the recorded departure of a start of an upstream as of an announcement;
    /// returns whether the known state changed.
    ///
    /// With `is_final`, the start announces nothing more.
    pub fn depart(&mut self, now: Time, name: &Name, version: (u64, u64), is_final: bool) -> bool {
        match self.departed(name, version, is_final) {
            Some(listed) => self.apply(now, listed),
            None => false,
        }
    }

    /// Returns the entry of an upstream after its departure; `None` if a later start of it
    /// is known.
    ///
    /// Of a start that is not known, the entry has the name and the version alone and counts
    /// as gone: followers may know the rest, and late announcements must not bring it back.
    fn departed(&self, name: &Name, version: (u64, u64), is_final: bool) -> Option<RosterEntry> {
        let known = self.entries.get(name).map(|e| &e.listed);
        if known.is_some_and(|k| k.state.epoch > version.0) {
            return None;
        }
        let is_known_start = |k: &&RosterEntry| k.state.epoch == version.0;
        let gone = is_final || known.filter(is_known_start).is_none_or(|k| k.gone);
        let known = known.map(|k| UpstreamState::clone(&k.state));
        let state = UpstreamState {
            name: name.clone(),
            epoch: version.0,
            sequence: version.1,
            leaving: true,
            ..known.unwrap_or_default()
        };
        let state = Arc::new(state);
        Some(RosterEntry { state, gone })
    }

    /// Returns the latest known start of an upstream, whether it is gone or not.
    pub fn epoch(&self, name: &Name) -> Option<u64> {
        self.entries.get(name).map(|e| e.listed.state.epoch)
    }

    /// Returns whether the given start of an upstream is known to leave or to be gone.
    pub fn has_departed(&self, name: &Name, epoch: u64) -> bool {
        let known = self.entries.get(name).map(|e| &e.listed);
        known.is_some_and(|k| k.state.epoch == epoch && (k.gone || k.state.leaving))
    }

    /// Applies an entry of another roster; returns whether the known state
    /// changed.
    pub fn apply(&mut self, now: Time, listed: RosterEntry) -> bool {
        let name = listed.state.name.clone();
        let known = self.entries.get(&name);
        let is_newer = |entry: &TrackedEntry| listed.state.version() > entry.listed.state.version();
        if !known.is_none_or(is_newer) {
            return self.mark_gone(&name, &listed);
        }
        let listed = with_known_address(known, listed);
        let listed = with_known_software(known, listed);
        let is_described = !listed.gone || listed.state.address.is_some();
        if is_described {
            let software = listed.state.software.as_ref();
            self.software.record(now, &listed.state.pool, software);
        }
        let is_same = known.is_some_and(|entry| is_equivalent(&entry.listed, &listed));
        let listed = self.resolve_address(listed);
        self.stamp += 1;
        let changed = match last_change(self.entries.get(&name)) {
            Some(changed) if is_same => changed,
            _ => self.stamp,
        };
        let entry = TrackedEntry {
            listed,
            last_heard: now,
            changed,
            announced: self.stamp,
            announced_here: 0,
        };
        self.entries.insert(name, entry);
        !is_same
    }

    /// Marks an upstream as gone if `listed` says so of its last announcement.
    fn mark_gone(&mut self, name: &Name, listed: &RosterEntry) -> bool {
        let Some(entry) = self.entries.get_mut(name) else {
            return false;
        };
        let is_same = entry.listed.state.version() == listed.state.version();
        if !is_same || !listed.gone || entry.listed.gone {
            return false;
        }
        self.stamp += 1;
        entry.listed.gone = true;
        entry.changed = self.stamp;
        entry.announced = self.stamp;
        true
    }

    /// Marks all but the latest start at an address as gone, since the earlier
    /// processes must have ended.
    fn resolve_address(&mut self, mut listed: RosterEntry) -> RosterEntry {
        let Some(address) = listed.state.address.filter(|_| !listed.gone) else {
            return listed;
        };
        let previous = self.address_owners.get(&address).cloned();
        let previous = previous.filter(|name| *name != listed.state.name);
        if let Some(name) = previous {
            let entry = self.entries.get(&name).filter(|e| !e.listed.gone);
            let epoch = entry.map(|e| e.listed.state.epoch);
            if epoch.is_some_and(|e| e > listed.state.epoch) {
                listed.gone = true;
                return listed;
            }
            if let Some(entry) = self.entries.get_mut(&name).filter(|e| !e.listed.gone) {
                self.stamp += 1;
                entry.listed.gone = true;
                entry.changed = self.stamp;
                entry.announced = self.stamp;
            }
        }
        self.address_owners
            .insert(address, listed.state.name.clone());
        listed
    }

    /// Removes the upstreams that have been silent for longer than the retention
    /// period.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|_, e| now < e.last_heard + RETENTION);
        self.software.expire(now, RETENTION);
        let entries = &self.entries;
        self.address_owners
            .retain(|_, name| entries.contains_key(name));
    }

    /// Returns the changes since a follower's cursor; all entries if the cursor
    /// belongs to another roster.
    pub fn updates_since(&self, cursor: Cursor, interest: Interest) -> RosterUpdate {
        let is_known = cursor.epoch == self.epoch;
        let after = if is_known { cursor.stamp } else { 0 };
        let stamp = |e: &TrackedEntry| match interest {
            Interest::Changes => e.changed,
            Interest::OwnAnnouncements if is_known => e.announced_here,
            Interest::Announcements | Interest::OwnAnnouncements => e.announced,
        };
        let newer = self.entries.values().filter(|e| stamp(e) > after);
        let listed = newer.map(|e| match interest {
            Interest::Changes => without_checkpoints(&e.listed),
            Interest::Announcements | Interest::OwnAnnouncements => e.listed.clone(),
        });
        RosterUpdate {
            cursor: Cursor {
                epoch: self.epoch,
                stamp: self.stamp,
            },
            listed: listed.collect(),
        }
    }

    /// Returns the changes since a follower's cursor, with the times as of `now`.
    pub fn updates_at(&self, now: Time, cursor: Cursor, interest: Interest) -> RosterUpdate {
        let mut update = self.updates_since(cursor, interest);
        for listed in update.listed.iter_mut().filter(|l| l.state.cold > 0) {
            let age = self.age(now, &listed.state.name).unwrap_or_default();
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let state = Arc::make_mut(&mut listed.state);
            state.cold = state.cold.saturating_sub(age);
        }
        update
    }

    /// Returns the upstreams that are cold, with the time for which they stay so.
    pub fn cold(&self, now: Time) -> impl Iterator<Item = (&Arc<UpstreamState>, Duration)> {
        let live = self.entries.values().filter(|e| !e.listed.gone);
        live.filter_map(move |e| {
            let cold = Duration::from_millis(e.listed.state.cold);
            let left = cold.checked_sub(now.since(e.last_heard))?;
            (!left.is_zero()).then_some((&e.listed.state, left))
        })
    }

    /// Returns the only software version that upstreams of a pool have announced for a
    /// while, with the time for which no other one was heard of: at most since the start of
    /// this process, which is at [`Time::ZERO`].
    pub fn only_software(&self, now: Time, pool: &Name) -> Option<(Name, Duration)> {
        let (software, other) = self.software.last(pool)?;
        let since = other.unwrap_or(Time::ZERO);
        Some((software.clone(), now.since(since)))
    }

    /// Returns the upstreams that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &Arc<UpstreamState>> {
        let live = self.entries.values().filter(|e| !e.listed.gone);
        live.map(|e| &e.listed.state)
    }

    /// Returns the upstream of the given name, unless it is gone.
    pub fn get(&self, name: &Name) -> Option<&Arc<UpstreamState>> {
        let entry = self.entries.get(name).filter(|e| !e.listed.gone);
        entry.map(|e| &e.listed.state)
    }

    /// Returns the live upstreams that have announced nothing for longer than
    /// `limit`.
    pub fn silent(&self, now: Time, limit: Duration) -> Vec<Name> {
        let live = self.entries.iter().filter(|(_, e)| !e.listed.gone);
        let silent = live.filter(|(_, e)| now.since(e.last_heard) > limit);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the time since an upstream last announced itself.
    pub fn age(&self, now: Time, name: &Name) -> Option<Duration> {
        self.entries.get(name).map(|e| now.since(e.last_heard))
    }
}

/// Returns an entry without the lists of checkpoints on disk and in main memory,
/// which make up most of its size and matter only for loads.
fn without_checkpoints(listed: &RosterEntry) -> RosterEntry {
    if listed.state.disk.is_empty() && listed.state.cached.is_empty() {
        return listed.clone();
    }
    let mut state = UpstreamState::clone(&listed.state);
    state.disk.clear();
    state.cached.clear();
    RosterEntry {
        state: Arc::new(state),
        gone: listed.gone,
    }
}

/// Returns the entry of an upstream that is gone with what is known of its address and pool,
/// if it comes from a roster without them. The address is needed to close connections.
fn with_known_address(known: Option<&TrackedEntry>, mut listed: RosterEntry) -> RosterEntry {
    if let Some(known) = known
        && listed.gone
        && listed.state.address.is_none()
    {
        let state = &listed.state;
        listed.state = Arc::new(UpstreamState {
            epoch: state.epoch,
            sequence: state.sequence,
            leaving: state.leaving,
            ..UpstreamState::clone(&known.listed.state)
        });
    }
    listed
}

/// Returns an entry with the software version that is known of the same start, if it has
/// none because a process of an earlier build has passed it on.
fn with_known_software(known: Option<&TrackedEntry>, mut listed: RosterEntry) -> RosterEntry {
    let known = known.map(|entry| &entry.listed.state);
    let known = known.filter(|state| state.epoch == listed.state.epoch);
    if let Some(software) = known.and_then(|state| state.software.as_ref())
        && listed.state.software.is_none()
    {
        Arc::make_mut(&mut listed.state).software = Some(software.clone());
    }
    listed
}

fn last_change(entry: Option<&TrackedEntry>) -> Option<u64> {
    entry.map(|e| e.changed)
}

/// Returns whether two entries differ at most in fields that do not affect where
/// requests are sent: the sequence number, the load and the checkpoints on disk
/// and in main memory.
fn is_equivalent(known: &RosterEntry, next: &RosterEntry) -> bool {
    let mut state = UpstreamState::clone(&next.state);
    state.sequence = known.state.sequence;
    state.running = known.state.running;
    state.disk.clone_from(&known.state.disk);
    state.cached.clone_from(&known.state.cached);
    known.gone == next.gone && *known.state == state
}

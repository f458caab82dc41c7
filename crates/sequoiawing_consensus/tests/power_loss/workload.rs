//! Random writes to a storage whose process and machine are lost at any operation.

use crate::disk::{Disk, Fault};
use sequoiawing_consensus::{
    DiskStorage, Entry, HardState, Loaded, LogStorage, Membership, Payload, Position, ReplicaId,
    Snapshot, StorageError, StorageLimits, Write,
};
use std::sync::Arc;

const ID: ReplicaId = ReplicaId(7);

/// The number of losses of power or of the process in a run.
const LOSSES: u64 = 6;

/// The maximum number of writes between two losses.
const MAX_WRITES: u64 = 40;

/// The size of the marker after the last batch of a segment.
const MARKER_BYTES: usize = 12;

/// Segments are closed after a few writes, so that many of them are.
const LIMITS: StorageLimits = StorageLimits { segment_bytes: 700 };

/// The state that a storage must load.
#[derive(Clone, Debug, Default)]
struct Expected {
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
    hard_state: HardState,
    promised_to: Option<ReplicaId>,
    commit: u64,
}

impl Expected {
    fn apply(&mut self, write: &Write) {
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        if write.reset {
            self.entries.clear();
        }
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        self.promised_to = write.promised_to.or(self.promised_to);
        self.commit = self.commit.max(write.commit);
        for entry in &write.entries {
            self.entries.retain(|e| e.index < entry.index);
            self.entries.push(entry.clone());
        }
    }

    fn base(&self) -> Position {
        self.snapshot
            .as_ref()
            .map(|s| s.position)
            .unwrap_or_default()
    }

    fn last(&self) -> u64 {
        let last = self.entries.last().map_or(0, |e| e.index);
        last.max(self.base().index)
    }

    fn loaded(&self) -> Loaded {
        let base = self.base();
        let at_base = self.entries.iter().find(|e| e.index == base.index);
        let first = self.entries.first().map_or(base.index + 1, |e| e.index);
        let continues = match at_base {
            Some(entry) => entry.term == base.term,
            None => first == base.index + 1,
        };
        let after = self.entries.iter().filter(|e| e.index > base.index);
        let entries: Vec<_> = after.filter(|_| continues).cloned().collect();
        let last = base.index + entries.len() as u64;
        let mut hard_state = self.hard_state;
        if base.term > hard_state.term {
            hard_state = HardState {
                term: base.term,
                vote: None,
            };
        }
        Loaded {
            hard_state,
            promised_to: self.promised_to,
            snapshot: self.snapshot.clone(),
            entries,
            commit: self.commit.clamp(base.index, last),
        }
    }

    /// Returns the state after a restart from `loaded`.
    fn restarted(loaded: Loaded) -> Self {
        Self {
            snapshot: loaded.snapshot,
            entries: loaded.entries,
            hard_state: loaded.hard_state,
            promised_to: loaded.promised_to,
            commit: loaded.commit,
        }
    }
}

fn snapshot(position: Position, length: u64) -> Arc<Snapshot> {
    let length = usize::try_from(length).expect("the snapshot must be small");
    Arc::new(Snapshot {
        position,
        members: Arc::new(Membership::default()),
        data: Arc::from("s".repeat(length)),
    })
}

fn entries(disk: &Disk, from: u64, term: u64) -> Vec<Entry> {
    let count = 1 + disk.random(4);
    let text: String = (0..=disk.random(90)).map(|_| 'c').collect();
    let text: Arc<str> = Arc::from(text);
    let entry = |index| Entry {
        index,
        term,
        payload: Payload::Command(text.clone()),
    };
    (from..from + count).map(entry).collect()
}

/// Returns a write that a replica in this state could make.
fn next_write(disk: &Disk, state: &Expected) -> Write {
    let (base, last) = (state.base(), state.last());
    // What is committed is neither overwritten nor replaced by an older snapshot.
    let commit = state.commit.max(base.index);
    let term = state.hard_state.term;
    let mut write = Write::default();
    if state.snapshot.is_none() {
        write.snapshot = Some(snapshot(Position::default(), 0));
        return write;
    }
    match disk.random(12) {
        0 => {
            let vote = Some(ReplicaId(disk.random(5)));
            write.hard_state = Some(HardState {
                term: term + 1,
                vote,
            });
        }
        1 => write.promised_to = Some(ReplicaId(disk.random(5))),
        2 if last > commit => {
            let from = commit + 1 + disk.random(last - commit);
            write.hard_state = Some(HardState {
                term: term + 1,
                vote: None,
            });
            write.entries = entries(disk, from, term + 1);
        }
        3 if last > base.index => {
            let index = base.index + 1 + disk.random(last - base.index);
            let at = state.entries.iter().find(|e| e.index == index);
            let position = at.expect("the entry must exist").position();
            write.commit = index;
            write.snapshot = Some(snapshot(position, disk.random(400)));
        }
        4 => {
            let index = commit + 1 + disk.random(last - commit + 9);
            let position = Position {
                index,
                term: term + 1,
            };
            write.snapshot = Some(snapshot(position, disk.random(400)));
            write.reset = true;
            write.hard_state = Some(HardState {
                term: term + 1,
                vote: None,
            });
            if disk.random(2) == 0 {
                write.entries = entries(disk, index + 1, term + 1);
            }
        }
        _ => {
            write.entries = entries(disk, last + 1, term);
            write.commit = base.index + disk.random(last - base.index + 1);
        }
    }
    write
}

/// Writes until the disk stops or refuses a write; returns the states that the
/// disk may be in afterwards.
fn write_until_stopped(
    disk: &Disk,
    storage: &mut DiskStorage,
    mut state: Expected,
) -> Result<Vec<Expected>, String> {
    for _ in 0..=disk.random(MAX_WRITES) {
        let mut after = state.clone();
        let mut writes = Vec::new();
        for _ in 0..=disk.random(3) {
            let write = next_write(disk, &after);
            after.apply(&write);
            writes.push(write);
        }
        match storage.write(&writes) {
            Ok(()) => state = after,
            Err(error) if disk.has_stopped() || matches!(error, StorageError::Full { .. }) => {
                let mut halfway = state.clone();
                let mut snapshots = writes.iter().filter_map(|w| w.snapshot.clone());
                halfway.snapshot = snapshots.next_back().or(halfway.snapshot);
                return Ok(vec![state, halfway, after]);
            }
            Err(error) => return Err(format!("a write failed: {error}")),
        }
    }
    Ok(vec![state])
}

fn describe(loaded: &Loaded) -> String {
    let positions: Vec<_> = loaded.entries.iter().map(|e| (e.index, e.term)).collect();
    let base = loaded.snapshot.as_ref().map(|s| s.position);
    format!(
        "{:?}, promised to {:?}, snapshot at {base:?}, entries {positions:?}, commit {}",
        loaded.hard_state, loaded.promised_to, loaded.commit
    )
}

fn choose(states: &[Expected], loaded: Loaded) -> Result<Expected, String> {
    if states.iter().any(|s| s.loaded() == loaded) {
        return Ok(Expected::restarted(loaded));
    }
    let expected: Vec<_> = states.iter().map(Expected::loaded).collect();
    let expected: Vec<_> = expected.iter().map(describe).collect();
    let loaded = describe(&loaded);
    Err(format!("loaded {loaded}, expected one of {expected:?}"))
}

fn open(disk: &Disk) -> Result<(DiskStorage, Loaded), StorageError> {
    let mut storage = DiskStorage::open_folder(Box::new(disk.clone()), ID, LIMITS)?;
    let loaded = storage.load()?;
    Ok((storage, loaded))
}

/// Opens the storage after a loss of the process or of power, and again if the
/// next loss interrupts that.
fn reopen(disk: &Disk) -> Result<(DiskStorage, Loaded), String> {
    loop {
        if disk.random(2) == 0 {
            disk.restart_machine();
        } else {
            disk.restart_process();
        }
        if disk.random(2) == 0 {
            disk.stop_after(u32::try_from(disk.random(12)).expect("the number must be small"));
        }
        match open(disk) {
            Ok(opened) => return Ok(opened),
            Err(_) if disk.has_stopped() => {}
            Err(error) => return Err(format!("the folder does not open: {error}")),
        }
    }
}

/// Changes one bit of what was synced and opens the folder.
///
/// # Errors
///
/// Returns which changed bit was not reported as damage.
pub(crate) fn finds_damage(seed: u64) -> Result<(), String> {
    let disk = Disk::new(seed, Fault::None);
    let opened = open(&disk).map_err(|e| format!("the folder does not open: {e}"))?;
    let (mut storage, loaded) = opened;
    write_until_stopped(&disk, &mut storage, Expected::restarted(loaded))?;
    drop(storage);
    let files: Vec<_> = disk.contents().into_iter().collect();
    let chosen = usize::try_from(disk.random(files.len() as u64)).expect("there must be few files");
    let (name, mut bytes) = files[chosen].clone();
    // The last marker of a segment needs no sync.
    let unsynced = if name.ends_with(".segment") {
        MARKER_BYTES
    } else {
        0
    };
    let synced = bytes.len().saturating_sub(unsynced) as u64;
    let at = usize::try_from(disk.random(synced)).expect("the file must be small");
    bytes[at] ^= 1 << disk.random(8);
    disk.damage(&name, bytes);
    match open(&disk) {
        Err(StorageError::Damaged { .. }) => Ok(()),
        Err(error) => Err(format!("another error was returned: {error}")),
        // A hexadecimal digit reads the same in upper and lower case.
        Ok((storage, _)) if name == "identity" && storage.id() == ID => Ok(()),
        Ok(_) => Err(format!(
            "the changed bit at byte {at} of {name} was not found"
        )),
    }
}

/// Runs a storage through losses of power and of its process.
///
/// # Errors
///
/// Returns what was lost, or why the folder does not open.
pub(crate) fn run(seed: u64, fault: Fault) -> Result<(), String> {
    let disk = Disk::new(seed, fault);
    let (mut storage, loaded) = reopen(&disk)?;
    let mut state = choose(&[Expected::default()], loaded)?;
    for _ in 0..LOSSES {
        let operations = u32::try_from(1 + disk.random(150)).expect("the number must be small");
        if disk.random(3) == 0 {
            disk.refuse_after(operations, 1);
        } else {
            disk.stop_after(operations);
        }
        let states = write_until_stopped(&disk, &mut storage, state)?;
        if !disk.has_stopped() && disk.random(2) == 0 {
            match storage.load() {
                Ok(loaded) => {
                    state = choose(&states, loaded)?;
                    continue;
                }
                Err(_) if disk.has_stopped() => {}
                Err(error) => return Err(format!("the log cannot be loaded again: {error}")),
            }
        }
        drop(storage);
        let (reopened, loaded) = reopen(&disk)?;
        storage = reopened;
        state = choose(&states, loaded)?;
    }
    Ok(())
}

//! Recovery of a data folder after crashes and damage.

use sequoiawing_consensus::{
    DiskStorage, Entry, HardState, Loaded, LogStorage, Membership, Payload, Position, ReplicaId,
    Snapshot, StorageError, StorageLimits, Write,
};
use std::{
    fs,
    path::{Path, PathBuf},
    sync::Arc,
};

const ID: ReplicaId = ReplicaId(7);
const LIMITS: StorageLimits = StorageLimits {
    segment_bytes: 4_096,
};

/// A data folder that is removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("sequoiawing-storage-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::remove_dir_all(&path).ok();
        Self(path)
    }

    fn open(&self) -> Result<DiskStorage, StorageError> {
        DiskStorage::open(&self.0, ID, LIMITS)
    }

    fn load(&self) -> Loaded {
        let mut storage = self.open().expect("the folder must not be damaged");
        storage.load().expect("the folder must not be damaged")
    }

    fn segments(&self) -> Vec<PathBuf> {
        let entries = fs::read_dir(&self.0).expect("the folder must exist");
        let paths = entries.map(|e| e.expect("the directory entry must be readable").path());
        let mut segments: Vec<_> = paths
            .filter(|p| p.extension().is_some_and(|e| e == "segment"))
            .collect();
        segments.sort();
        segments
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(Arc::from(format!("command {index} of term {term}")));
    Entry {
        index,
        term,
        payload,
    }
}

fn append(entries: Vec<Entry>) -> Write {
    Write {
        entries,
        ..Write::default()
    }
}

fn founded() -> Write {
    snapshot(0, 0, "")
}

fn snapshot(index: u64, term: u64, data: &str) -> Write {
    Write {
        snapshot: Some(Arc::new(Snapshot {
            position: Position { index, term },
            members: Arc::new(Membership::default()),
            data: Arc::from(data),
        })),
        ..Write::default()
    }
}

fn indexes(loaded: &Loaded) -> Vec<(u64, u64)> {
    loaded.entries.iter().map(|e| (e.index, e.term)).collect()
}

/// Writes three batches to a folder, and returns the length of the segment before
/// the first and after each of them.
fn fill(folder: &Folder) -> Vec<u64> {
    let mut storage = folder.open().expect("a new folder must open");
    storage.write(&[founded()]).expect("the write must succeed");
    let file = folder.segments().pop().expect("there must be a segment");
    let length = |path: &Path| fs::metadata(path).expect("the segment must exist").len();
    let mut lengths = vec![length(&file)];
    for index in 1..=3 {
        let write = append(vec![entry(index, 1)]);
        storage.write(&[write]).expect("the write must succeed");
        lengths.push(length(&file));
    }
    lengths
}

#[test]
fn everything_synced_is_loaded_again() {
    let folder = Folder::new("loaded");
    let hard_state = HardState {
        term: 3,
        vote: Some(ReplicaId(9)),
    };
    let mut storage = folder.open().expect("a new folder must open");
    let vote = Write {
        hard_state: Some(hard_state),
        promised_to: Some(ReplicaId(2)),
        commit: 1,
        ..Write::default()
    };
    let writes = [founded(), append(vec![entry(1, 1), entry(2, 1)]), vote];
    storage.write(&writes).expect("the writes must succeed");
    drop(storage);
    let loaded = folder.load();
    assert_eq!(loaded.hard_state, hard_state);
    assert_eq!(loaded.promised_to, Some(ReplicaId(2)));
    assert_eq!(indexes(&loaded), [(1, 1), (2, 1)]);
    assert_eq!(loaded.commit, 1);
}

#[test]
fn the_identity_stays() {
    let folder = Folder::new("identity");
    drop(folder.open().expect("a new folder must open"));
    let again =
        DiskStorage::open(&folder.0, ReplicaId(8), LIMITS).expect("the folder must open again");
    assert_eq!(again.id(), ID);
}

#[test]
fn a_folder_serves_one_process() {
    let folder = Folder::new("lock");
    let first = folder.open().expect("a new folder must open");
    assert!(matches!(folder.open(), Err(StorageError::InUse { .. })));
    drop(first);
    folder.open().expect("the folder must be unlocked");
}

#[test]
fn a_tail_torn_at_any_byte_loses_only_its_batch() {
    let folder = Folder::new("torn");
    let lengths = fill(&folder);
    let file = folder.segments().pop().expect("there must be a segment");
    let whole = fs::read(&file).expect("the file must be readable");
    let marker = 12;
    for cut in usize::try_from(lengths[0]).expect("the length must fit into usize")..whole.len() {
        fs::write(&file, &whole[..cut]).expect("the file must be writable");
        let loaded = folder.load();
        // A batch is recovered if it is intact, even if its marker is torn.
        let is_whole = |end: &&u64| **end <= cut as u64 + marker;
        let kept = lengths[1..].iter().filter(is_whole).count();
        assert_eq!(loaded.entries.len(), kept, "cut at byte {cut}");
        let mut storage = folder.open().expect("the truncated folder must open");
        let next = kept as u64 + 1;
        let write = append(vec![entry(next, 2)]);
        storage.write(&[write]).expect("the write must succeed");
        drop(storage);
        assert_eq!(folder.load().entries.len(), kept + 1, "cut at byte {cut}");
    }
}

#[test]
fn a_flipped_bit_in_the_middle_is_reported_with_its_place() {
    let folder = Folder::new("flipped");
    let lengths = fill(&folder);
    let file = folder.segments().pop().expect("there must be a segment");
    let whole = fs::read(&file).expect("the file must be readable");
    let synced = usize::try_from(lengths[2]).expect("the length must fit into usize");
    for at in 0..synced {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        fs::write(&file, &bytes).expect("the file must be writable");
        let Err(StorageError::Damaged {
            file: named,
            offset,
            ..
        }) = folder.open()
        else {
            panic!("the flipped bit at byte {at} was not detected");
        };
        assert_eq!(named, file);
        assert!(
            offset <= at as u64,
            "damage at byte {at} was reported at byte {offset}"
        );
        let kept = fs::read(&file).expect("the file must be readable");
        assert_eq!(kept, bytes, "a damaged file must not be changed");
    }
}

#[test]
fn a_flipped_bit_in_the_last_synced_batch_is_reported() {
    let folder = Folder::new("flipped-last");
    let lengths = fill(&folder);
    let file = folder.segments().pop().expect("there must be a segment");
    let mut bytes = fs::read(&file).expect("the file must be readable");
    bytes[usize::try_from(lengths[2]).expect("the length must fit into usize") + 20] ^= 1;
    fs::write(&file, &bytes).expect("the file must be writable");
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
}

/// Writes 200 entries, which takes several segments, and returns these.
fn fill_segments(folder: &Folder) -> Vec<PathBuf> {
    let mut storage = folder.open().expect("a new folder must open");
    storage.write(&[founded()]).expect("the write must succeed");
    for index in 1..=200 {
        let write = append(vec![entry(index, 1)]);
        storage.write(&[write]).expect("the write must succeed");
    }
    folder.segments()
}

#[test]
fn damage_in_a_closed_segment_is_no_torn_tail() {
    let folder = Folder::new("closed");
    let segments = fill_segments(&folder);
    assert!(segments.len() > 2, "several segments must have been closed");
    let closed = &segments[segments.len() - 2];
    let bytes = fs::read(closed).expect("the file must be readable");
    fs::write(closed, &bytes[..bytes.len() - 30]).expect("the file must be writable");
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
    fs::remove_file(closed).expect("the file must be removable");
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
}

/// Closes several segments, lets `change` alter the end of the last closed one, and
/// returns what is loaded afterwards.
fn load_with_changed_marker<F>(name: &str, change: F) -> Loaded
where
    F: Fn(&mut Vec<u8>),
{
    let folder = Folder::new(name);
    let segments = fill_segments(&folder);
    let closed = &segments[segments.len() - 2];
    let mut bytes = fs::read(closed).expect("the file must be readable");
    change(&mut bytes);
    fs::write(closed, bytes).expect("the file must be writable");
    folder.load()
}

macro_rules! closed_segments {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let loaded = load_with_changed_marker(stringify!($name), $change);
            assert_eq!(loaded.entries.len(), 200);
        }
    )*};
}

// Guard against controllers that never start again because a loss of power tore the
// marker at the end of a closed segment.
closed_segments! {
    a_closed_segment_may_lack_its_last_byte: |b| b.truncate(b.len() - 1);
    a_closed_segment_may_lack_half_of_its_marker: |b| b.truncate(b.len() - 6);
    a_closed_segment_may_have_one_byte_of_its_marker: |b| b.truncate(b.len() - 11);
    a_closed_segment_may_lack_its_marker: |b| b.truncate(b.len() - 12);
    a_closed_segment_may_end_in_zeros: |b| {
        let marker = b.len() - 12;
        b[marker..].fill(0);
    };
    a_closed_segment_may_end_in_a_marker_of_half_zeros: |b| {
        let half = b.len() - 5;
        b[half..].fill(0);
    };
}

#[test]
fn a_log_without_its_identity_is_reported() {
    let folder = Folder::new("no-identity");
    fill(&folder);
    fs::remove_file(folder.0.join("identity")).expect("the file must be removable");
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
}

#[test]
fn an_identity_without_its_log_is_reported() {
    let folder = Folder::new("no-log");
    fill(&folder);
    for segment in folder.segments() {
        fs::remove_file(segment).expect("the file must be removable");
    }
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
}

#[test]
fn a_snapshot_bounds_the_log() {
    let folder = Folder::new("bounded");
    let mut storage = folder.open().expect("a new folder must open");
    storage.write(&[founded()]).expect("the write must succeed");
    for index in 1..=2_000 {
        let write = append(vec![entry(index, 1)]);
        storage.write(&[write]).expect("the write must succeed");
        if index % 100 == 0 {
            let write = snapshot(index - 10, 1, "state");
            storage.write(&[write]).expect("the write must succeed");
        }
    }
    drop(storage);
    assert!(folder.segments().len() < 8, "old segments must be deleted");
    let loaded = folder.load();
    assert_eq!(loaded.entries.first().map(|e| e.index), Some(1_991));
    let snapshot = loaded.snapshot.expect("there must be a snapshot");
    assert_eq!(&*snapshot.data, "state");
}

#[test]
fn a_damaged_snapshot_is_reported() {
    let folder = Folder::new("snapshot");
    fill(&folder);
    let file = folder.0.join("snapshot");
    let mut bytes = fs::read(&file).expect("the file must be readable");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(&file, bytes).expect("the file must be writable");
    assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
}

#[test]
fn a_leaders_snapshot_replaces_foreign_entries() {
    let folder = Folder::new("reset");
    let mut storage = folder.open().expect("a new folder must open");
    let foreign = append((1..=30).map(|i| entry(i, 1)).collect());
    storage
        .write(&[founded(), foreign])
        .expect("the write must succeed");
    let install = Write {
        reset: true,
        ..snapshot(20, 2, "state")
    };
    let next = append(vec![entry(21, 2)]);
    storage
        .write(&[install, next])
        .expect("the write must succeed");
    drop(storage);
    assert_eq!(indexes(&folder.load()), [(21, 2)]);
}

/// Returns a folder with entries of term 1 whose process crashed while it replaced
/// them by a leader's snapshot: the snapshot is there, the record behind it is not.
fn half_installed(name: &str, snapshot_index: u64) -> Folder {
    let folder = Folder::new(name);
    let mut storage = folder.open().expect("a new folder must open");
    let foreign = append((1..=30).map(|i| entry(i, 1)).collect());
    storage
        .write(&[founded(), foreign])
        .expect("the write must succeed");
    let segments = folder.segments();
    let before: Vec<_> = segments
        .iter()
        .map(|s| fs::read(s).expect("the segment must be readable"))
        .collect();
    let install = Write {
        reset: true,
        ..snapshot(snapshot_index, 2, "state")
    };
    storage.write(&[install]).expect("the write must succeed");
    drop(storage);
    for segment in folder.segments() {
        fs::remove_file(segment).expect("the file must be removable");
    }
    for (segment, bytes) in segments.iter().zip(before) {
        fs::write(segment, bytes).expect("the segment must be writable");
    }
    folder
}

#[test]
fn a_crash_between_snapshot_and_reset_keeps_no_foreign_entry() {
    let folder = half_installed("half-reset", 20);
    let loaded = folder.load();
    assert_eq!(indexes(&loaded), []);
    assert_eq!(
        loaded.hard_state.term, 2,
        "the term must be that of the snapshot"
    );
}

macro_rules! half_installed_snapshots {
    ($($name:ident: $index:expr;)*) => {$(
        #[test]
        fn $name() {
            let folder = half_installed(stringify!($name), $index);
            let mut storage = folder.open().expect("the folder must open");
            storage.load().expect("the log must load");
            let next = append(vec![entry($index + 1, 2)]);
            storage.write(&[next]).expect("the write must succeed");
            drop(storage);
            assert_eq!(indexes(&folder.load()), [($index + 1, 2)]);
        }
    )*};
}

// Guard against entries that are lost, or a folder that no longer opens, once writes
// have gone on behind a snapshot that was half installed when the process crashed.
half_installed_snapshots! {
    entries_behind_a_half_installed_snapshot_are_kept: 20;
    entries_behind_a_half_installed_snapshot_may_leave_a_gap: 50;
}

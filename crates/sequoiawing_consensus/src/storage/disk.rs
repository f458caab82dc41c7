use super::{
    Folder, Loaded, LogStorage, StorageError,
    data_folder::DataFolder,
    disk_folder::DiskFolder,
    frame::{self, Kind},
    replay::{Record, Replay},
    segment::{self, ClosedSegment, Segment},
};
use crate::{ReplicaId, Snapshot, Write};
use std::{collections::VecDeque, io, path::Path, sync::Arc};

const SNAPSHOT_FILE: &str = "snapshot";

/// The size limits of the files in a data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StorageLimits {
    /// The size at which a segment is closed and a new one is started, in bytes.
    pub segment_bytes: u64,
}

impl Default for StorageLimits {
    fn default() -> Self {
        Self {
            segment_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Stores the log in checksummed segment files in a data folder.
///
/// See [docs/design/storage.md](../../../../docs/design/storage.md).
#[derive(Debug)]
pub struct DiskStorage {
    folder: DataFolder,
    limits: StorageLimits,
    id: ReplicaId,
    closed: VecDeque<ClosedSegment>,
    open: Option<Segment>,
    replay: Replay,
    snapshot: Option<Arc<Snapshot>>,
    /// Whether the segments hold entries that do not continue the snapshot, which
    /// the next write must discard.
    is_reset_due: bool,
    /// Whether a sync has failed, after which all writes are refused.
    is_failed: bool,
}

impl DiskStorage {
    /// Opens a data folder and, if it is new, assigns it the identity `new_id`.
    ///
    /// # Errors
    ///
    /// Returns an error if another process has locked the folder, if durable data
    /// is damaged or missing, or if an I/O operation fails.
    pub fn open(
        path: &Path,
        new_id: ReplicaId,
        limits: StorageLimits,
    ) -> Result<Self, StorageError> {
        Self::open_folder(Box::new(DiskFolder::open(path)?), new_id, limits)
    }

    /// Opens a data folder that is kept elsewhere than in the file system of the
    /// host, for example in the memory of a test.
    ///
    /// # Errors
    ///
    /// Returns an error if durable data is damaged or missing, or if an I/O
    /// operation fails.
    pub fn open_folder(
        folder: Box<dyn Folder>,
        new_id: ReplicaId,
        limits: StorageLimits,
    ) -> Result<Self, StorageError> {
        let folder = DataFolder::new(folder);
        // A former process may have ended before it synced a name.
        folder.sync()?;
        let known = folder.identity()?;
        let mut storage = Self {
            folder,
            limits,
            id: known.unwrap_or(new_id),
            closed: VecDeque::new(),
            open: None,
            replay: Replay::default(),
            snapshot: None,
            is_reset_due: false,
            is_failed: false,
        };
        let has_segments = !storage.segment_numbers()?.is_empty();
        if known.is_some() && !has_segments {
            let problem = "the data folder has an identity, but its log is gone";
            return Err(StorageError::damaged(storage.folder.path(), 0, problem));
        }
        storage.load()?;
        if known.is_none() {
            storage.assign_identity()?;
        }
        Ok(storage)
    }

    /// Assigns an identity to a new folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder has a log, because it then lost its identity.
    fn assign_identity(&mut self) -> Result<(), StorageError> {
        let is_new = self.replay.is_empty() && self.snapshot.is_none();
        if !is_new {
            let file = self.folder.file("identity");
            return Err(StorageError::damaged(
                &file,
                0,
                "is gone, but there is a log",
            ));
        }
        self.folder.set_identity(self.id)
    }

    /// Returns the identity of the replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    fn segment_numbers(&self) -> Result<Vec<u64>, StorageError> {
        let names = self.folder.names()?;
        let mut numbers: Vec<_> = names
            .iter()
            .filter_map(|n| segment::parse_name(n))
            .collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn read_snapshot(&self) -> Result<Option<Arc<Snapshot>>, StorageError> {
        let file = self.folder.file(SNAPSHOT_FILE);
        let Some(bytes) = self.folder.read(SNAPSHOT_FILE)? else {
            return Ok(None);
        };
        let damaged = |problem: String| StorageError::damaged(&file, 0, problem);
        let frame = frame::decode(&bytes, 0).filter(|f| f.kind == Kind::Snapshot);
        let frame = frame.ok_or_else(|| damaged("does not match its checksum".to_owned()))?;
        let snapshot = serde_json::from_slice(frame.content).map_err(|e| damaged(e.to_string()))?;
        Ok(Some(Arc::new(snapshot)))
    }

    fn save_snapshot(&mut self, snapshot: &Arc<Snapshot>) -> Result<(), StorageError> {
        let file = self.folder.file(SNAPSHOT_FILE);
        let json = serde_json::to_vec(&**snapshot).map_err(io::Error::from);
        let content = json.map_err(|e| StorageError::from_io(&file, e))?;
        let mut bytes = Vec::new();
        frame::encode(Kind::Snapshot, &content, &mut bytes);
        self.folder.replace(SNAPSHOT_FILE, &bytes)?;
        self.snapshot = Some(snapshot.clone());
        Ok(())
    }

    /// Closes the open segment and starts the next one.
    fn roll(&mut self) -> Result<(), StorageError> {
        let number = self.open.as_ref().map_or(1, |s| s.number + 1);
        let mut new_segment = Segment::create(&self.folder, number)?;
        self.folder.sync()?;
        new_segment.append(&[self.replay.header_record()])?;
        if let Some(previous) = self.open.replace(new_segment) {
            let bytes = previous.length();
            let closed = previous.close();
            log::info!(
                target: "storage", segment = closed.number, bytes = bytes, last = closed.last;
                "Segment closed."
            );
            self.closed.push_back(closed);
        }
        Ok(())
    }

    /// Deletes the oldest segments, as long as the snapshot contains their entries.
    fn delete_covered(&mut self) -> Result<(), StorageError> {
        let index = self.snapshot.as_ref().map_or(0, |s| s.position.index);
        let is_covered = |c: &mut ClosedSegment| c.last <= index;
        let mut deleted = 0;
        while let Some(covered) = self.closed.pop_front_if(is_covered) {
            self.folder.remove(&segment::file_name(covered.number))?;
            // Syncs after each deletion, so that a crash leaves no gap between
            // segments.
            self.folder.sync()?;
            deleted += 1;
        }
        log::info!(
            target: "storage", snapshot = index, deleted = deleted, kept = self.closed.len();
            "Segments before the snapshot deleted."
        );
        self.replay.compact(index);
        Ok(())
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        let snapshot = writes
            .iter()
            .filter_map(|w| w.snapshot.as_ref())
            .next_back();
        if let Some(snapshot) = snapshot {
            self.save_snapshot(snapshot)?;
        }
        let reset = self.is_reset_due.then(Record::reset);
        let records = reset.into_iter().chain(writes.iter().map(Record::from));
        let records: Vec<_> = records.collect();
        if self
            .open
            .as_ref()
            .is_none_or(|s| s.length() >= self.limits.segment_bytes)
        {
            self.roll()?;
        }
        if let Some(open) = &mut self.open {
            open.append(&records)?;
        }
        self.is_reset_due = false;
        for record in records {
            self.replay.apply(record).map_err(|problem| {
                let file = self.folder.file(SNAPSHOT_FILE);
                StorageError::damaged(&file, 0, problem)
            })?;
        }
        if snapshot.is_some() {
            self.roll()?;
            self.delete_covered()?;
        }
        Ok(())
    }
}

impl LogStorage for DiskStorage {
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError> {
        if self.is_failed {
            let file = self.folder.file(SNAPSHOT_FILE);
            let source = io::Error::other("an earlier sync failed");
            return Err(StorageError::Sync { file, source });
        }
        let written = self.write_all(writes);
        if let Err(StorageError::Sync { .. }) = written {
            self.is_failed = true;
        }
        written
    }

    fn load(&mut self) -> Result<Loaded, StorageError> {
        self.replay = Replay::default();
        self.closed.clear();
        self.open = None;
        // What is read here is relied on, also if an earlier sync of its name failed.
        self.folder.sync()?;
        self.folder.remove_temporary_files()?;
        self.snapshot = self.read_snapshot()?;
        let numbers = self.segment_numbers()?;
        let (mut size, mut cut_off) = (0, 0);
        for (i, number) in numbers.iter().copied().enumerate() {
            let name = segment::file_name(number);
            let path = self.folder.file(&name);
            if i > 0 && numbers[i - 1] + 1 != number {
                let problem = format!("segment {} is missing before it", number - 1);
                return Err(StorageError::damaged(&path, 0, problem));
            }
            let is_last = i + 1 == numbers.len();
            let bytes = self.folder.read(&name)?;
            let bytes = bytes.ok_or_else(|| StorageError::damaged(&path, 0, "is gone"))?;
            size += bytes.len();
            let scan = segment::scan(&path, &bytes, is_last, &mut self.replay)?;
            if is_last {
                cut_off = bytes.len() as u64 - scan.length;
                self.open = Some(Segment::reopen(&self.folder, number, &scan)?);
            } else {
                let last = scan.last;
                self.closed.push_back(ClosedSegment { number, last });
            }
        }
        if self.open.is_none() {
            self.roll()?;
        }
        let base = self.snapshot.as_ref().map(|s| s.position);
        let discarded = self.replay.discard_foreign(base.unwrap_or_default());
        self.is_reset_due =
            discarded.map_err(|problem| StorageError::damaged(self.folder.path(), 0, problem))?;
        let loaded = self.replay.finish(self.snapshot.clone());
        log::info!(
            target: "storage", segments = numbers.len(), bytes = size, cut_off = cut_off,
            snapshot = loaded.snapshot.as_ref().map(|s| s.position.index),
            entries = loaded.entries.len(), commit = loaded.commit,
            term = loaded.hard_state.term, discarded = self.is_reset_due;
            "Log loaded."
        );
        Ok(loaded)
    }
}

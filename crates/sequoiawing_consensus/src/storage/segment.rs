use super::{
    FolderFile, StorageError,
    data_folder::DataFolder,
    frame::{self, Kind},
    replay::{Record, Replay},
};
use std::{
    io,
    path::{Path, PathBuf},
};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".segment";

/// Returns the file name of a segment.
pub(super) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:012}{SUFFIX}")
}

/// Returns the segment number in a file name, or `None` for other files.
pub(super) fn parse_name(name: &str) -> Option<u64> {
    let number = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    number.parse().ok()
}

/// A segment that is no longer written to.
#[derive(Debug)]
pub(super) struct ClosedSegment {
    pub(super) number: u64,
    /// The highest index of its entries.
    pub(super) last: u64,
}

/// The segment that is currently written to.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    path: PathBuf,
    file: Box<dyn FolderFile>,
    /// The length of the durable frames and their marker, in bytes.
    length: u64,
    /// The highest index of its entries.
    last: u64,
}

impl Segment {
    /// Creates a new segment file.
    pub(super) fn create(folder: &DataFolder, number: u64) -> Result<Self, StorageError> {
        let name = file_name(number);
        Ok(Self {
            number,
            path: folder.file(&name),
            file: folder.create(&name)?,
            length: 0,
            last: 0,
        })
    }

    /// Reopens the last segment and truncates it after the last intact frame.
    pub(super) fn reopen(
        folder: &DataFolder,
        number: u64,
        scan: &Scan,
    ) -> Result<Self, StorageError> {
        let name = file_name(number);
        let mut segment = Self {
            number,
            path: folder.file(&name),
            file: folder.open(&name)?,
            length: scan.length,
            last: scan.last,
        };
        let truncated = segment.file.set_length(scan.length);
        let synced = truncated.and_then(|()| segment.file.sync());
        synced.map_err(|e| StorageError::from_io(&segment.path, e))?;
        segment.write_marker()?;
        Ok(segment)
    }

    pub(super) fn length(&self) -> u64 {
        self.length
    }

    pub(super) fn close(self) -> ClosedSegment {
        ClosedSegment {
            number: self.number,
            last: self.last,
        }
    }

    /// Appends records as one batch and syncs it.
    ///
    /// If the write fails, for example on a full disk, the segment is truncated to
    /// its previous length.
    pub(super) fn append(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let json = serde_json::to_vec(records).map_err(io::Error::from);
        let content = json.map_err(|e| StorageError::from_io(&self.path, e))?;
        let mut bytes = Vec::with_capacity(content.len() + frame::HEADER_BYTES);
        frame::encode(Kind::Batch, &content, &mut bytes);
        if let Err(error) = self.file.write_at(self.length, &bytes) {
            self.file.set_length(self.length).ok();
            return Err(StorageError::from_io(&self.path, error));
        }
        // After a failed sync it is unknown which data is durable.
        self.file.sync().map_err(|source| StorageError::Sync {
            file: self.path.clone(),
            source,
        })?;
        self.length += bytes.len() as u64;
        let entries = records.iter().flat_map(|r| &r.entries);
        self.last = entries.map(|e| e.index).fold(self.last, u64::max);
        self.write_marker()
    }

    /// Appends a marker, which does not need to be durable itself.
    fn write_marker(&mut self) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        frame::encode(Kind::Marker, &[], &mut bytes);
        match self.file.write_at(self.length, &bytes) {
            Ok(()) => self.length += bytes.len() as u64,
            Err(error) => {
                self.file.set_length(self.length).ok();
                if error.kind() != io::ErrorKind::StorageFull {
                    return Err(StorageError::from_io(&self.path, error));
                }
            }
        }
        Ok(())
    }
}

/// The result of scanning a segment.
#[derive(Debug, Default)]
pub(super) struct Scan {
    /// The length up to the end of the last intact frame, in bytes.
    pub(super) length: u64,
    /// The highest index of its entries.
    pub(super) last: u64,
}

/// Applies the records of a segment to `replay`.
///
/// The last segment may end in a torn batch, that is, in a damaged frame that no
/// marker follows. The batches of the other segments are durable, but not their last
/// markers, which no sync follows.
pub(super) fn scan(
    path: &Path,
    bytes: &[u8],
    is_last: bool,
    replay: &mut Replay,
) -> Result<Scan, StorageError> {
    let mut scan = Scan::default();
    let mut offset = 0;
    while offset < bytes.len() {
        let place = offset as u64;
        let Some(frame) = frame::decode(bytes, offset) else {
            let is_torn = if is_last {
                !frame::has_marker(bytes, offset + 1)
            } else {
                bytes.len() - offset <= frame::HEADER_BYTES
            };
            if is_torn {
                break;
            }
            let (rest, size) = (bytes.len() - offset, bytes.len());
            let age = if is_last { "newest" } else { "closed" };
            let problem = format!(
                "a synced frame does not match its checksum; {rest} of {size} bytes of the \
                 {age} segment are left"
            );
            return Err(StorageError::damaged(path, place, problem));
        };
        if frame.kind == Kind::Batch {
            let records = serde_json::from_slice::<Vec<Record>>(frame.content);
            let records = records.map_err(|e| StorageError::damaged(path, place, e.to_string()))?;
            for record in records {
                let indexes = record.entries.iter().map(|e| e.index);
                scan.last = indexes.fold(scan.last, u64::max);
                let applied = replay.apply(record);
                applied.map_err(|problem| StorageError::damaged(path, place, problem))?;
            }
        }
        offset = frame.end;
        scan.length = offset as u64;
    }
    Ok(scan)
}

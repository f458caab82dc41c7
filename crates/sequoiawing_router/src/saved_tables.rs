//! The last applied tables on the disk of a host, if it has one.
//!
//! They are stored in a snapshot file and a log of the changes since then. When the
//! log has grown large, a new snapshot replaces it. Each change has a checksum and
//! is synced to disk, so that an incomplete record at the end is detected and
//! truncated.

#[cfg(test)]
mod tests;

use crate::RouterSettings;
use sequoiawing_tables::{Revision, Tables, Update};
use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

const TABLES_FILE: &str = "tables.json";
const CHANGES_FILE: &str = "changes.log";

/// The size of the change log at which it is replaced by a snapshot, in bytes.
const COMPACT_BYTES: u64 = 1024 * 1024;

/// The size of the header of each change, which has its length and checksum, in
/// bytes.
const HEADER_BYTES: usize = 8;

/// The saved tables of one host.
#[derive(Debug)]
pub(crate) struct SavedTables {
    folder: Option<PathBuf>,
    /// The state of the files, or `None` if it is unknown and only a snapshot may be
    /// written.
    file_state: Option<FileState>,
}

/// The revision that the files on disk have reached.
#[derive(Clone, Copy, Debug)]
struct FileState {
    revision: Revision,
    /// The size of the change log, in bytes.
    size: u64,
}

impl SavedTables {
    /// Returns the saved tables of a host. Nothing is saved if the host has no disk.
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let folder = settings.data.clone();
        let file_state = None;
        Self { folder, file_state }
    }

    /// Loads the saved tables, if any.
    pub(crate) fn load(&mut self) -> Option<Tables> {
        let folder = self.folder.clone()?;
        match read(&folder) {
            Ok((tables, size)) => {
                let revision = tables.revision;
                self.file_state = Some(FileState { revision, size });
                Some(tables)
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                let folder = folder.display();
                log::error!(
                    target: "follow",
                    "Failed to read the saved tables in {folder}: {error}."
                );
                None
            }
        }
    }

    /// Saves the tables that result from `update`.
    pub(crate) fn save(&mut self, tables: &Tables, update: &Update) {
        let Some(folder) = self.folder.clone() else {
            return;
        };
        let written = match self.append_offset(update) {
            Some(size) => append(&folder, size, update),
            None => write_snapshot(&folder, tables),
        };
        let revision = tables.revision;
        match written {
            Ok(size) => self.file_state = Some(FileState { revision, size }),
            Err(error) => {
                self.file_state = None;
                log::error!(target: "follow", "Failed to save the tables: {error}.");
            }
        }
    }
}

impl SavedTables {
    /// Returns the offset at which the update may be appended to the change log, or
    /// `None` if a snapshot is needed.
    fn append_offset(&self, update: &Update) -> Option<u64> {
        let Update::Changes { base, .. } = update else {
            return None;
        };
        let file_state = self.file_state?;
        let fits = file_state.revision == *base && file_state.size < COMPACT_BYTES;
        fits.then_some(file_state.size)
    }
}

/// Reads the tables and the size of the valid part of the change log.
fn read(folder: &Path) -> io::Result<(Tables, u64)> {
    // A former process may have ended before it synced a name; changes are appended to
    // what is read here.
    sync_folder(folder)?;
    let bytes = fs::read(folder.join(TABLES_FILE))?;
    let mut tables: Tables = serde_json::from_slice(&bytes)?;
    let changes = match fs::read(folder.join(CHANGES_FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        read => read?,
    };
    let mut rest = &changes[..];
    while let Some((update, after)) = decode_change(rest) {
        tables.apply_update(update);
        rest = after;
    }
    if !rest.is_empty() {
        let ignored = rest.len();
        log::warn!(
            target: "follow",
            "Ignoring the last {ignored} bytes of the change log, which are incomplete or corrupt."
        );
    }
    let size = changes.len() - rest.len();
    Ok((tables, u64::try_from(size).unwrap_or(u64::MAX)))
}

/// Decodes the first change of the bytes and returns it with the remaining bytes, or
/// `None` if it is incomplete or corrupt.
fn decode_change(bytes: &[u8]) -> Option<(Update, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
    let (body, rest) = rest.split_at_checked(length)?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    Some((serde_json::from_slice(body).ok()?, rest))
}

/// Writes a change after the first `size` bytes of the change log, and returns the
/// new size.
fn append(folder: &Path, size: u64, update: &Update) -> io::Result<u64> {
    let body = serde_json::to_vec(update)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(length.to_be_bytes());
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    let mut options = OpenOptions::new();
    let file = options.append(true).create(true);
    let mut file = file.open(folder.join(CHANGES_FILE))?;
    file.set_len(size)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    if size == 0 {
        sync_folder(folder)?;
    }
    Ok(size + u64::try_from(bytes.len()).unwrap_or(u64::MAX))
}

/// Replaces the snapshot atomically and then truncates the change log. A crash in
/// between leaves changes of earlier revisions, which have no effect.
fn write_snapshot(folder: &Path, tables: &Tables) -> io::Result<u64> {
    fs::create_dir_all(folder)?;
    let file = folder.join(TABLES_FILE);
    let temporary = file.with_extension("new");
    let mut handle = File::create(&temporary)?;
    write_tables(&mut handle, tables)?;
    handle.sync_all()?;
    fs::rename(&temporary, file)?;
    sync_folder(folder)?;
    File::create(folder.join(CHANGES_FILE))?.sync_all()?;
    sync_folder(folder)?;
    Ok(0)
}

/// Writes the tables through a buffer, since serializing them to one string first
/// would double the memory use.
fn write_tables(file: &mut File, tables: &Tables) -> io::Result<()> {
    let mut writer = BufWriter::new(file);
    serde_json::to_writer(&mut writer, tables)?;
    writer.flush()
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

//! The last tables in force, on the disk of a host that has one.
//!
//! They lie in a file of whole tables and one of the changes since, which is
//! written anew when it has grown large. Each change is synced with a checksum,
//! so that a torn end is noticed and cut off.

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

/// The size from which the file of changes is replaced by whole tables, in
/// bytes.
const COMPACT_BYTES: u64 = 1024 * 1024;

/// What stands before each change: its length and its checksum.
const HEAD_BYTES: usize = 8;

/// The saved tables of one host.
#[derive(Debug)]
pub(crate) struct SavedTables {
    folder: Option<PathBuf>,
    /// How far the files lead; `None` when that is not known, so that only
    /// whole tables may be written.
    saved: Option<Saved>,
}

/// How far the files lead.
#[derive(Clone, Copy, Debug)]
struct Saved {
    revision: Revision,
    /// The size of the file of changes, in bytes.
    size: u64,
}

impl SavedTables {
    /// Returns the files of a host, if it has a disk.
    pub(crate) fn new(settings: &RouterSettings) -> Self {
        let folder = settings.data.clone();
        let saved = None;
        Self { folder, saved }
    }

    /// Returns the saved tables, if there are any.
    pub(crate) fn load(&mut self) -> Option<Tables> {
        let folder = self.folder.clone()?;
        match read(&folder) {
            Ok((tables, size)) => {
                let revision = tables.revision;
                self.saved = Some(Saved { revision, size });
                Some(tables)
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => {
                let folder = folder.display();
                log::error!(target: "follow", "Saved tables in {folder} are unreadable: {error}.");
                None
            }
        }
    }

    /// Saves the tables that `update` led to.
    pub(crate) fn save(&mut self, tables: &Tables, update: &Update) {
        let Some(folder) = self.folder.clone() else {
            return;
        };
        let written = match self.appendable(update) {
            Some(size) => append(&folder, size, update),
            None => replace(&folder, tables),
        };
        let revision = tables.revision;
        match written {
            Ok(size) => self.saved = Some(Saved { revision, size }),
            Err(error) => {
                self.saved = None;
                log::error!(target: "follow", "Tables could not be saved: {error}.");
            }
        }
    }
}

impl SavedTables {
    /// Returns where the update may be added to the file of changes.
    fn appendable(&self, update: &Update) -> Option<u64> {
        let Update::Changes { base, .. } = update else {
            return None;
        };
        let saved = self.saved?;
        let fits = saved.revision == *base && saved.size < COMPACT_BYTES;
        fits.then_some(saved.size)
    }
}

/// Reads the tables, and the size of the file of changes without its torn end.
fn read(folder: &Path) -> io::Result<(Tables, u64)> {
    let bytes = fs::read(folder.join(TABLES_FILE))?;
    let mut tables: Tables = serde_json::from_slice(&bytes)?;
    let changes = match fs::read(folder.join(CHANGES_FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
        read => read?,
    };
    let mut rest = &changes[..];
    while let Some((update, after)) = frame(rest) {
        tables.apply_update(update);
        rest = after;
    }
    if !rest.is_empty() {
        let torn = rest.len();
        log::warn!(target: "follow", "The last {torn} bytes of the saved changes are torn.");
    }
    let size = changes.len() - rest.len();
    Ok((tables, u64::try_from(size).unwrap_or(u64::MAX)))
}

/// Takes one change from the beginning of the bytes, if it is whole.
fn frame(bytes: &[u8]) -> Option<(Update, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
    let (body, rest) = rest.split_at_checked(length)?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    Some((serde_json::from_slice(body).ok()?, rest))
}

/// Writes a change after the first `size` bytes, and returns the new size.
fn append(folder: &Path, size: u64, update: &Update) -> io::Result<u64> {
    let body = serde_json::to_vec(update)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEAD_BYTES + body.len());
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

/// Replaces the file of tables in one step and then empties the file of
/// changes; a crash in between leaves changes of former revisions, which change
/// nothing.
fn replace(folder: &Path, tables: &Tables) -> io::Result<u64> {
    fs::create_dir_all(folder)?;
    let file = folder.join(TABLES_FILE);
    let fresh = file.with_extension("new");
    let mut handle = File::create(&fresh)?;
    write_tables(&mut handle, tables)?;
    handle.sync_all()?;
    fs::rename(&fresh, file)?;
    sync_folder(folder)?;
    File::create(folder.join(CHANGES_FILE))?.sync_all()?;
    sync_folder(folder)?;
    Ok(0)
}

/// Writes the tables piece by piece, since a text of all of them would take as
/// much memory again.
fn write_tables(file: &mut File, tables: &Tables) -> io::Result<()> {
    let mut writer = BufWriter::new(file);
    serde_json::to_writer(&mut writer, tables)?;
    writer.flush()
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

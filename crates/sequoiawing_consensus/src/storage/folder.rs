use super::StorageError;
use crate::ReplicaId;
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";

/// A data folder that is locked by this process.
#[derive(Debug)]
pub(super) struct Folder {
    path: PathBuf,
    /// The lock, which the operating system releases even if the process crashes.
    _lock: File,
}

impl Folder {
    /// Opens and locks the folder, and creates it if necessary.
    pub(super) fn open(path: &Path) -> Result<Self, StorageError> {
        fs::create_dir_all(path).map_err(|e| StorageError::from_io(path, e))?;
        let file = path.join(LOCK_FILE);
        let mut options = OpenOptions::new();
        let opened = options.create(true).truncate(false).write(true).open(&file);
        let lock = opened.map_err(|e| StorageError::from_io(&file, e))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StorageError::InUse {
                folder: path.to_owned(),
            }),
            Err(TryLockError::Error(error)) => Err(StorageError::from_io(&file, error)),
        }
    }

    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the names of all files in the folder.
    pub(super) fn names(&self) -> Result<Vec<String>, StorageError> {
        let list = || -> io::Result<Vec<String>> {
            let entries = fs::read_dir(&self.path)?;
            let name = |e: io::Result<fs::DirEntry>| Ok(e?.file_name().into_string().ok());
            let names: io::Result<Vec<_>> = entries.map(name).collect();
            Ok(names?.into_iter().flatten().collect())
        };
        list().map_err(|e| StorageError::from_io(&self.path, e))
    }

    /// Syncs the directory, so that created, renamed and deleted files are durable.
    pub(super) fn sync(&self) -> Result<(), StorageError> {
        let synced = File::open(&self.path).and_then(|f| f.sync_all());
        synced.map_err(|e| StorageError::from_io(&self.path, e))
    }

    /// Replaces a file atomically: after a crash it has its old or new content.
    pub(super) fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = self.file(&format!("{name}.new"));
        let write = || -> io::Result<()> {
            let mut file = File::create(&temporary)?;
            file.write_all(bytes)?;
            file.sync_all()?;
            fs::rename(&temporary, self.file(name))
        };
        write().map_err(|e| StorageError::from_io(&temporary, e))?;
        self.sync()
    }

    /// Returns the identity of the replica, or `None` if the folder is new.
    pub(super) fn identity(&self) -> Result<Option<ReplicaId>, StorageError> {
        let file = self.file(IDENTITY_FILE);
        let text = match fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(StorageError::from_io(&file, error)),
        };
        let damaged = || StorageError::damaged(&file, 0, "holds no identity");
        let (id, sum) = text.trim_end().split_once(' ').ok_or_else(damaged)?;
        let sum = u32::from_str_radix(sum, 16).map_err(|_| damaged())?;
        if crc32fast::hash(id.as_bytes()) != sum {
            return Err(damaged());
        }
        let id = u64::from_str_radix(id, 16).map_err(|_| damaged())?;
        Ok(Some(ReplicaId(id)))
    }

    /// Stores the identity of the replica.
    pub(super) fn set_identity(&self, id: ReplicaId) -> Result<(), StorageError> {
        let id = id.to_string();
        let sum = crc32fast::hash(id.as_bytes());
        self.replace(IDENTITY_FILE, format!("{id} {sum:08x}\n").as_bytes())
    }
}

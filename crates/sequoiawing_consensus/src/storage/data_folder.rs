use super::{Folder, FolderFile, StorageError};
use crate::ReplicaId;
use std::{
    io,
    path::{Path, PathBuf},
};

const IDENTITY_FILE: &str = "identity";

/// The suffix of the file that is written before it replaces another one.
const TEMPORARY_SUFFIX: &str = ".new";

/// The data folder of a replica; its errors name the file that they concern.
#[derive(Debug)]
pub(super) struct DataFolder {
    folder: Box<dyn Folder>,
}

impl DataFolder {
    pub(super) fn new(folder: Box<dyn Folder>) -> Self {
        Self { folder }
    }

    pub(super) fn path(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the path of a file.
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the names of all files.
    pub(super) fn names(&self) -> Result<Vec<String>, StorageError> {
        let names = self.folder.names();
        names.map_err(|e| StorageError::from_io(self.folder.path(), e))
    }

    /// Returns the content of a file, or `None` if it does not exist.
    pub(super) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match self.folder.read(name) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StorageError::from_io(&self.file(name), error)),
        }
    }

    /// Creates an empty file.
    pub(super) fn create(&self, name: &str) -> Result<Box<dyn FolderFile>, StorageError> {
        let created = self.folder.create(name);
        created.map_err(|e| StorageError::from_io(&self.file(name), e))
    }

    /// Opens an existing file for writing.
    pub(super) fn open(&self, name: &str) -> Result<Box<dyn FolderFile>, StorageError> {
        let opened = self.folder.open(name);
        opened.map_err(|e| StorageError::from_io(&self.file(name), e))
    }

    /// Removes a file.
    pub(super) fn remove(&self, name: &str) -> Result<(), StorageError> {
        let removed = self.folder.remove(name);
        removed.map_err(|e| StorageError::from_io(&self.file(name), e))
    }

    /// Makes created, renamed and removed files durable.
    pub(super) fn sync(&self) -> Result<(), StorageError> {
        let synced = self.folder.sync();
        synced.map_err(|e| StorageError::from_io(self.folder.path(), e))
    }

    /// Replaces a file atomically: after a crash it has its old or new content.
    pub(super) fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let write = || -> io::Result<()> {
            let mut file = self.folder.create(&temporary)?;
            file.write_at(0, bytes)?;
            file.sync()?;
            self.folder.rename(&temporary, name)
        };
        write().map_err(|e| StorageError::from_io(&self.file(&temporary), e))?;
        self.sync()
    }

    /// Removes the files that an interrupted replacement has left.
    ///
    /// After a loss of power such a file may be the replaced one under its former
    /// name, so it must not be written to again.
    pub(super) fn remove_temporary_files(&self) -> Result<(), StorageError> {
        let names = self.names()?;
        let mut temporary = names.iter().filter(|n| n.ends_with(TEMPORARY_SUFFIX));
        temporary.try_for_each(|name| self.remove(name))
    }

    /// Returns the identity of the replica, or `None` if the folder is new.
    pub(super) fn identity(&self) -> Result<Option<ReplicaId>, StorageError> {
        let Some(bytes) = self.read(IDENTITY_FILE)? else {
            return Ok(None);
        };
        let damaged = || StorageError::damaged(&self.file(IDENTITY_FILE), 0, "holds no identity");
        let text = String::from_utf8(bytes).map_err(|_| damaged())?;
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

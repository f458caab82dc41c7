use super::{Folder, FolderFile, StorageError};
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Seek, SeekFrom, Write as _},
    path::{Path, PathBuf},
};

const LOCK_FILE: &str = "lock";

/// A folder of the file system that is locked by this process.
#[derive(Debug)]
pub(super) struct DiskFolder {
    path: PathBuf,
    /// The lock, which the operating system releases even if the process crashes.
    _lock: File,
}

impl DiskFolder {
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
}

impl Folder for DiskFolder {
    fn path(&self) -> &Path {
        &self.path
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        let name = |e: io::Result<fs::DirEntry>| Ok(e?.file_name().into_string().ok());
        let names: io::Result<Vec<_>> = entries.map(name).collect();
        Ok(names?.into_iter().flatten().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn FolderFile>> {
        let file = File::create(self.path.join(name))?;
        Ok(Box::new(DiskFile(file)))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn FolderFile>> {
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        Ok(Box::new(DiskFile(file)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

#[derive(Debug)]
struct DiskFile(File);

impl FolderFile for DiskFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.seek(SeekFrom::Start(offset))?;
        self.0.write_all(bytes)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}

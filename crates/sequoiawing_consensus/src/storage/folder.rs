use std::{fmt::Debug, io, path::Path};

/// The operations on a data folder that the storage uses.
///
/// What an implementation promises after a loss of power is described in
/// [docs/design/storage.md](../../../../docs/design/storage.md).
pub trait Folder: Debug + Send {
    /// Returns the path of the folder, which is named in errors.
    fn path(&self) -> &Path;

    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be listed.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, in place of an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    fn create(&self, name: &str) -> io::Result<Box<dyn FolderFile>>;

    /// Opens an existing file for writing.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist or cannot be opened.
    fn open(&self, name: &str) -> io::Result<Box<dyn FolderFile>>;

    /// Renames a file, in place of an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file does not exist or cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown which names are durable.
    fn sync(&self) -> io::Result<()>;
}

/// A file of a [`Folder`] that is open for writing.
pub trait FolderFile: Debug + Send {
    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes were not all written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file off at a length, or extends it by zeros.
    ///
    /// # Errors
    ///
    /// Returns an error if the length was not changed.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and length durable.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown which writes are durable.
    fn sync(&mut self) -> io::Result<()>;
}

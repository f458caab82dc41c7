use std::{io, path::PathBuf};
use thiserror::Error;

/// An error of the durable storage.
#[derive(Debug, Error)]
pub enum StorageError {
    /// Another process uses the data folder.
    #[error("{} is in use by another process", folder.display())]
    InUse {
        /// The data folder.
        folder: PathBuf,
    },
    /// Data that was synced cannot be read back.
    #[error("{} is damaged at byte {offset}: {problem}", file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// The offset of the damage, in bytes.
        offset: u64,
        /// A description of the damage.
        problem: String,
    },
    /// The disk is full; the writes were not made.
    #[error("the disk is full: {} could not be written", file.display())]
    Full {
        /// The file.
        file: PathBuf,
    },
    /// A sync failed, so it is unknown whether the data is durable.
    #[error("{} could not be synced: {source}", file.display())]
    Sync {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another I/O error occurred.
    #[error("{}: {source}", file.display())]
    Io {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl StorageError {
    pub(super) fn from_io(file: &std::path::Path, source: io::Error) -> Self {
        let file = file.to_owned();
        if matches!(
            source.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        ) {
            return Self::Full { file };
        }
        Self::Io { file, source }
    }

    pub(super) fn damaged<P>(file: &std::path::Path, offset: u64, problem: P) -> Self
    where
        P: Into<String>,
    {
        Self::Damaged {
            file: file.to_owned(),
            offset,
            problem: problem.into(),
        }
    }

    /// Returns `true` if the operation may be retried without restarting the
    /// process.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Full { .. } | Self::Io { .. })
    }
}

//! The durable storage of a replica.

mod data_folder;
mod disk;
mod disk_folder;
mod error;
mod folder;
mod frame;
mod replay;
mod segment;

pub use disk::{DiskStorage, StorageLimits};
pub use error::StorageError;
pub use folder::{Folder, FolderFile};

use crate::{Entry, HardState, ReplicaId, Snapshot, Write};
use std::sync::Arc;

/// The state that a replica loads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loaded {
    /// The term and vote.
    pub hard_state: HardState,
    /// The bootstrap replica that an empty disk is promised to, if any.
    pub promised_to: Option<ReplicaId>,
    /// The latest snapshot, or `None` if the disk does not belong to a deployment
    /// yet.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The highest index known to be committed.
    pub commit: u64,
}

/// A storage whose writes survive a crash.
pub trait LogStorage: Send {
    /// Makes writes durable, in order.
    ///
    /// Once it returns successfully, none of the writes may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not certain that all writes are durable. The
    /// replica must then restart from the result of [`LogStorage::load`].
    fn write(&mut self, writes: &[Write]) -> Result<(), StorageError>;

    /// Loads all durable state.
    ///
    /// # Errors
    ///
    /// Returns an error with the file and offset if durable data is damaged; the
    /// replica must then not vote.
    fn load(&mut self) -> Result<Loaded, StorageError>;
}

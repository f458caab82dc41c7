use crate::call::decode;
use sequoiawing_consensus::Snapshot;
use sequoiawing_runtime::Watch;
use sequoiawing_tables::{Command, Outcome, Tables};
use std::sync::Arc;

/// The tables as the log has made them so far.
///
/// Routers get a copy only after an edit; claims and allotments, which come with
/// requests, change the tables in place.
pub(crate) struct Applied {
    tables: Tables,
    published: Watch<Arc<Tables>>,
}

impl Applied {
    pub(crate) fn new(published: Watch<Arc<Tables>>) -> Self {
        Self {
            tables: Tables::default(),
            published,
        }
    }

    /// Applies a committed command.
    pub(crate) fn apply(&mut self, command: &str) -> Option<Outcome> {
        match serde_json::from_str::<Command>(command) {
            Ok(command) => Some(self.tables.apply(command)),
            Err(error) => {
                log::error!(target: "controller", "A committed command is unreadable: {error}.");
                None
            }
        }
    }

    /// Replaces the tables by those of a snapshot.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        match decode(snapshot) {
            Ok(tables) => self.tables = tables,
            Err(error) => {
                log::error!(target: "controller", "A snapshot is unreadable: {error}.");
            }
        }
    }

    /// Starts over, as a replica does that is started again.
    pub(crate) fn reset(&mut self) {
        self.tables = Tables::default();
    }

    pub(crate) fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Shows routers what edits changed, and never an older revision.
    pub(crate) fn publish(&self) {
        let shown = self.published.get();
        let Some(update) = self.tables.update_from(shown.revision) else {
            return;
        };
        let mut next = Tables::clone(&shown);
        drop(shown);
        next.apply_update(update);
        self.published.set(Arc::new(next));
    }
}

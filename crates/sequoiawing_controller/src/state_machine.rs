use crate::request::decode;
use sequoiawing_consensus::Snapshot;
use sequoiawing_runtime::Watch;
use sequoiawing_tables::{Command, Outcome, Tables};
use std::sync::Arc;

/// The replicated state machine: the tables after all applied log entries.
///
/// Routers get a copy only after an edit. Claims and allotments change the tables
/// in place, because they are as frequent as requests.
pub(crate) struct StateMachine {
    tables: Tables,
    published: Watch<Arc<Tables>>,
}

impl StateMachine {
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
                log::error!(target: "controller", "Failed to decode a committed command: {error}.");
                None
            }
        }
    }

    /// Replaces the tables with those of a snapshot.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        match decode(snapshot) {
            Ok(tables) => self.tables = tables,
            Err(error) => {
                log::error!(target: "controller", "Failed to decode a snapshot: {error}.");
            }
        }
    }

    /// Clears the tables before the replica restarts and replays its log.
    pub(crate) fn reset(&mut self) {
        self.tables = Tables::default();
    }

    pub(crate) fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Publishes edits to routers. The published revision never decreases.
    pub(crate) fn publish(&self) {
        let published = self.published.get();
        let Some(update) = self.tables.update_from(published.revision) else {
            return;
        };
        let mut next = Tables::clone(&published);
        drop(published);
        next.apply_update(update);
        self.published.set(Arc::new(next));
    }
}

use crate::request::decode;
use sequoiawing_consensus::Snapshot;
use sequoiawing_runtime::Watch;
use sequoiawing_tables::{Command, Departures, Outcome, Tables};
use std::sync::Arc;

/// The replicated state machine: the tables after all applied log entries.
///
/// Routers get a copy only after an edit. Claims and allotments change the tables
/// in place, because they are as frequent as requests. Departures are published by
/// themselves, so that they cause no copies and no conflicts of edits.
pub(crate) struct StateMachine {
    tables: Tables,
    published: Watch<Arc<Tables>>,
    departures: Watch<Arc<Departures>>,
}

impl StateMachine {
    pub(crate) fn new(published: Watch<Arc<Tables>>, departures: Watch<Arc<Departures>>) -> Self {
        Self {
            tables: Tables::default(),
            published,
            departures,
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

    /// Publishes edits and departures. Published revisions never decrease.
    pub(crate) fn publish(&self) {
        let departures = &self.tables.departures;
        if departures.revision() > self.departures.get().revision() {
            self.departures.set(Arc::new(departures.clone()));
        }
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

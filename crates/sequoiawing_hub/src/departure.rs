//! Departures of upstreams, which are in the log before they are acknowledged.
//!
//! See [docs/design/departures.md](../../../docs/design/departures.md).

use crate::hub::{Hub, HubState, LEADER_TIMEOUT, join_names};
use sequoiawing_fleet::UpstreamState;
use sequoiawing_link::{ControlError, HubClient};
use sequoiawing_tables::{Command, Departure, Departures, Outcome};
use sequoiawing_types::Name;
use std::sync::Arc;

/// The most upstreams that one line of the log names.
const MAX_LOGGED: usize = 16;

/// Why a departure was not recorded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DepartureError {
    /// The call names no start, and this host knows none of the upstream. Another host may.
    #[error("no start of the upstream is known here, and the call names none")]
    UnknownStart,
    /// The log did not confirm it in time; it may still be recorded later.
    #[error(transparent)]
    Log(#[from] ControlError),
}

impl HubState {
    /// Commits a departure through the log.
    pub(crate) async fn depart_as_leader(
        &self,
        upstream: &Name,
        departure: Departure,
    ) -> Result<Outcome, ControlError> {
        let command = Command::Depart {
            upstream: upstream.clone(),
            departure,
            now: 0,
        };
        self.handle.propose(&command).await
    }

    /// Applies an announcement to the roster; returns whether its start was known to leave
    /// before.
    fn apply_announcement(&self, state: &UpstreamState) -> bool {
        let mut roster = self.roster.lock();
        let had_departed = roster.has_departed(&state.name, state.epoch);
        let changed = roster.announce(self.now(), state.clone());
        drop(roster);
        if changed {
            log::info!(
                target: "hub", upstream = state.name.as_str(), leaving = state.leaving,
                software = state.software.as_ref().map(Name::as_str), start = state.epoch,
                sequence = state.sequence, loaded = join_names(&state.loaded),
                disk = state.disk.len(), memory = state.cached.len();
                "Upstream announced a change."
            );
            self.notify_changed();
        }
        had_departed
    }

    /// Applies a call by which an upstream leaves to the roster; returns its start that was
    /// known before.
    fn apply_departure(&self, name: &Name, epoch: Option<u64>) -> Option<u64> {
        let mut roster = self.roster.lock();
        let known = roster.epoch(name);
        let changed = roster.leave(self.now(), name, epoch);
        drop(roster);
        log::info!(
            target: "hub", upstream = name.as_str(), start = epoch, known_start = known,
            changed = changed;
            "Upstream left."
        );
        if changed {
            self.notify_changed();
        }
        known
    }

    /// Applies the departures of the log to the roster as they are committed; never returns.
    ///
    /// A hub that has started knows no upstream, and one that did not get the call would
    /// learn of the departure from the roster of a host that may have ended since.
    pub(crate) async fn follow_departures(self: Arc<Self>) {
        let mut revision = 0;
        loop {
            let departures = self.handle.wait_for_departures(revision).await;
            self.apply_recorded(&departures, revision);
            revision = departures.revision();
        }
    }

    /// Applies the departures that were recorded after a revision.
    fn apply_recorded(&self, departures: &Departures, revision: u64) {
        let now = self.now();
        let mut roster = self.roster.lock();
        let changed = departures.after(revision).filter(|(upstream, departure)| {
            let version = (departure.start, departure.sequence);
            roster.depart(now, upstream, version, departure.is_final)
        });
        let changed: Vec<&Name> = changed.map(|(upstream, _)| upstream).collect();
        drop(roster);
        if !changed.is_empty() {
            log::info!(
                target: "hub", upstreams = join_names(changed.into_iter().take(MAX_LOGGED)),
                revision = departures.revision(), recorded = departures.len();
                "Departures learned from the log."
            );
            self.notify_changed();
        }
    }
}

impl Hub {
    /// Records the announcement of an upstream. It returns once the first one by which a
    /// start says that it leaves is in the log; others are not kept there, as upstreams
    /// repeat them.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader confirmed the departure in time. The announcement
    /// counts at this host all the same.
    pub async fn announce(&self, state: &UpstreamState) -> Result<(), ControlError> {
        let had_departed = self.state.apply_announcement(state);
        if !state.leaving {
            return Ok(());
        }
        let recorded = self.state.handle.departures().get(&state.name);
        let is_recorded = recorded.is_some_and(|known| known.start == state.epoch);
        if had_departed && is_recorded {
            return Ok(());
        }
        let departure = Departure {
            start: state.epoch,
            sequence: state.sequence,
            is_final: false,
        };
        self.record_departure(&state.name, departure).await
    }

    /// Records that an upstream has left, and returns once that is in the log; `epoch`
    /// identifies its start, if known.
    ///
    /// # Errors
    ///
    /// Returns an error when the start is not known, or no leader confirmed the departure
    /// in time. It counts at this host all the same.
    pub async fn leave(&self, name: &Name, epoch: Option<u64>) -> Result<(), DepartureError> {
        let known = self.state.apply_departure(name, epoch);
        let start = epoch.or(known).ok_or(DepartureError::UnknownStart)?;
        let departure = Departure::of_start(start);
        Ok(self.record_departure(name, departure).await?)
    }

    /// Commits a departure on a majority, unless it is committed already.
    async fn record_departure(
        &self,
        upstream: &Name,
        departure: Departure,
    ) -> Result<(), ControlError> {
        let recorded = self.state.handle.departures().get(upstream);
        if recorded.is_some_and(|known| known.covers(&departure)) {
            return Ok(());
        }
        let outcome = self
            .call_leader(
                || self.state.depart_as_leader(upstream, departure),
                |stub| {
                    let upstream = upstream.clone();
                    let call = async move |client: HubClient, context| {
                        client.depart(context, upstream, departure).await
                    };
                    async move { stub.call(LEADER_TIMEOUT, call).await }
                },
            )
            .await?;
        match outcome {
            Outcome::Departed(_) => Ok(()),
            _ => Err(ControlError::Uncertain),
        }
    }
}

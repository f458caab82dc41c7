//! Orders of the operator to evacuate a data centre and to take it back.
//!
//! See [docs/design/evacuation.md](../../../docs/design/evacuation.md).

use crate::hub::{Hub, HubState, LEADER_TIMEOUT, join_names};
use sequoiawing_link::{ControlError, HubClient};
use sequoiawing_tables::{Command, Evacuations, Outcome, Revision};
use sequoiawing_types::{Findings, Name, Time};
use std::{sync::atomic::Ordering, time::Duration};

/// How long after its start a hub whose tables lag behind keeps gateways without a
/// configuration waiting. An election takes less time; without a leader gateways serve by
/// the tables that there are.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(3);

impl HubState {
    /// Returns whether gateways may start to serve by the tables of this host.
    ///
    /// A controller that has started applies its log step by step, so that its tables may
    /// have the configuration and lack the evacuation that followed it. Without
    /// evacuations gateways start at once, as callers are refused until then.
    pub(crate) fn may_start_gateways(&self, now: Time) -> bool {
        if !self.settings.evacuations {
            return true;
        }
        if self.handle.leadership().is_some() {
            self.is_caught_up.store(true, Ordering::Relaxed);
        }
        self.is_caught_up.load(Ordering::Relaxed) || now >= Time::ZERO + CATCH_UP_LIMIT
    }

    /// Records the revision of the leader's tables; returns whether those of this host have
    /// reached a leader's for the first time.
    pub(crate) fn record_revision(&self, revision: Revision) -> bool {
        let is_caught_up = self.handle.tables().revision >= revision;
        is_caught_up && !self.is_caught_up.swap(true, Ordering::Relaxed)
    }

    /// Commits an order through the log.
    pub(crate) async fn evacuate_as_leader(
        &self,
        centre: &Name,
        begin: bool,
    ) -> Result<Outcome, ControlError> {
        let centre = centre.clone();
        self.handle
            .propose(&Command::Evacuate { centre, begin })
            .await
    }
}

impl Hub {
    /// Begins or ends the evacuation of a data centre on a majority and returns the
    /// revision of the set, or the findings if the order is invalid.
    ///
    /// The order always passes the log, since the tables of this host may be older than
    /// an order that was acknowledged elsewhere. One that is in force already changes
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns an error when no leader confirmed it in time; it may still be committed
    /// later.
    pub async fn evacuate(
        &self,
        centre: &Name,
        begin: bool,
    ) -> Result<Result<u64, Findings>, ControlError> {
        if let Err(findings) = Evacuations::check_name(centre) {
            return Ok(Err(findings));
        }
        let outcome = self
            .call_leader(
                || self.state.evacuate_as_leader(centre, begin),
                |stub| {
                    let centre = centre.clone();
                    let call = async move |client: HubClient, context| {
                        client.evacuate(context, centre, begin).await
                    };
                    async move { stub.call(LEADER_TIMEOUT, call).await }
                },
            )
            .await?;
        match outcome {
            Outcome::Evacuated(revision) => Ok(Ok(revision)),
            Outcome::Invalid(findings) => Ok(Err(findings)),
            _ => Err(ControlError::Uncertain),
        }
    }
}

/// Logs the data centres whose evacuation began or ended on this host, and replaces the
/// known set.
pub(crate) fn log_evacuations(known: &mut Evacuations, current: &Evacuations) {
    if known.revision == current.revision {
        return;
    }
    log::info!(
        target: "hub", revision = current.revision, former = known.revision,
        begun = join_names(current.centres.difference(&known.centres)),
        ended = join_names(known.centres.difference(&current.centres)),
        evacuated = current.centres.len();
        "Evacuated data centres changed."
    );
    *known = current.clone();
}

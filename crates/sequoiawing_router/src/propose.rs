//! Proposals of commands to the replicated log.

use crate::RouterState;
use futures::stream::{FuturesUnordered, StreamExt};
use sequoiawing_link::ControlError;
use sequoiawing_runtime::timeout;
use sequoiawing_tables::{Command, Outcome};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// The timeout of a proposal to one controller.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a controller may leave a proposal unanswered before it is also sent to
/// the next one. This is much longer than a commit takes and much shorter than the
/// time limit of a claim.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// The index of the controller that last committed a command, which receives the
/// next proposal first.
#[derive(Debug, Default)]
pub(crate) struct PreferredController(AtomicUsize);

impl RouterState {
    /// Proposes a command to the controllers and returns its outcome if one of
    /// them committed it.
    ///
    /// An unreachable controller delays the proposal to the next one only briefly.
    /// The command must be idempotent, since it may be proposed to several
    /// controllers at the same time.
    pub(crate) async fn propose(&self, command: Command) -> Option<Outcome> {
        let count = self.controllers.len();
        let first = self.preferred_controller.0.load(Ordering::Relaxed);
        let mut next = (0..count).map(|i| (first + i) % count);
        let mut pending = FuturesUnordered::new();
        pending.push(self.propose_to(next.next()?, command.clone()));
        loop {
            let result = match next.len() {
                0 => Some(pending.next().await),
                _ => timeout(HEDGE_DELAY, pending.next()).await,
            };
            if let Some(Some(Some((controller, outcome)))) = result {
                self.preferred_controller
                    .0
                    .store(controller, Ordering::Relaxed);
                return Some(outcome);
            }
            match next.next() {
                Some(controller) => pending.push(self.propose_to(controller, command.clone())),
                None if pending.is_empty() => return None,
                None => {}
            }
        }
    }

    /// Proposes a command to one controller.
    async fn propose_to(&self, controller: usize, command: Command) -> Option<(usize, Outcome)> {
        let stub = &self.controllers[controller];
        let call = stub.call(PROPOSE_TIMEOUT, |client, context| async move {
            client.propose(context, command).await
        });
        match call.await {
            Ok(Ok(outcome)) => return Some((controller, outcome)),
            Ok(Err(ControlError::NotLeader { .. })) => {}
            Ok(Err(error)) => {
                log::warn!(target: "router", "A controller rejected a command: {error}.");
            }
            Err(error) => log::warn!(target: "router", "Failed to reach a controller: {error}."),
        }
        None
    }
}

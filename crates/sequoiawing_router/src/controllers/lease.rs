use crate::{Controller, RouterState};
use sequoiawing_cell::{CellAction, CellEvent, CellReply, CellRequest};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_tables::Command;
use sequoiawing_types::Name;
use std::{collections::BTreeSet, future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often the member's timers are driven.
const INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of a request to another member. A later reply would no longer
/// count.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Takes part in the election of the data centre's leader, and holds the lease
/// while this host is elected.
pub(crate) struct ElectLeader {
    state: Arc<RouterState>,
}

impl ElectLeader {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    /// Passes the members in the tables and the highest fencing token of the upstreams
    /// to the cell.
    fn observe(&self) {
        let tables = self.state.tables.get();
        let centre = &self.state.settings.centre;
        let epoch = tables.cell_epoch(centre).epoch;
        let members: BTreeSet<Name> = tables.members(centre).map(|h| h.host.clone()).collect();
        self.state
            .handle_cell_event(CellEvent::Members { epoch, members });
        let fence = {
            let registry = self.state.registry.lock();
            let local = registry.iter().filter(|s| s.centre == *centre);
            local.map(|s| s.fence).max()
        };
        if let Some(fence) = fence {
            self.state.handle_cell_event(CellEvent::Fence(fence));
        }
    }
}

impl RouterState {
    /// Passes an event to this member of the cell and executes the resulting
    /// actions.
    pub(crate) fn handle_cell_event(self: &Arc<Self>, event: CellEvent) {
        let mut out = Vec::new();
        let now = self.now();
        {
            let mut cell = self.cell.lock();
            cell.handle(now, event, &mut out);
            *self.leader.write() = cell.leader(now).cloned();
        }
        for action in out {
            self.execute_cell_action(action);
        }
    }

    /// Handles a request from another member of the cell.
    pub(crate) fn handle_cell_request(&self, request: CellRequest) -> Option<CellReply> {
        let mut out = Vec::new();
        let now = self.now();
        let mut cell = self.cell.lock();
        cell.handle(now, CellEvent::Request(request), &mut out);
        *self.leader.write() = cell.leader(now).cloned();
        out.into_iter().find_map(|action| match action {
            CellAction::Reply(reply) => Some(reply),
            _ => None,
        })
    }

    fn execute_cell_action(self: &Arc<Self>, action: CellAction) {
        match action {
            CellAction::Send { to, request } => self.send_to_member(&to, request),
            CellAction::Reply(_) => {}
            CellAction::LeaseAcquired { term } => {
                log::info!(target: "cell", "This host leads its data centre in term {term}.");
            }
            CellAction::LeaseLost => {
                log::warn!(target: "cell", "This host no longer leads its data centre.");
            }
            CellAction::Settled { epoch } => self.settle_epoch(epoch),
        }
    }

    fn send_to_member(self: &Arc<Self>, to: &Name, request: CellRequest) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let state = self.clone();
        spawn(async move {
            let call = peer.stub.call(CALL_TIMEOUT, |client, context| async move {
                client.cell(context, request).await
            });
            if let Ok(Some(reply)) = call.await {
                state.handle_cell_event(CellEvent::Reply(reply));
            }
        })
        .detach();
    }

    /// Proposes to mark the epoch as settled, which allows the next membership change
    /// in the log.
    fn settle_epoch(self: &Arc<Self>, epoch: u64) {
        let state = self.clone();
        spawn(async move {
            let centre = state.settings.centre.clone();
            if state.tables.get().cell_epoch(&centre).settled {
                return;
            }
            while state.lease().is_some() {
                let centre = centre.clone();
                let command = Command::SettleCell { centre, epoch };
                if state.propose(command).await.is_some() {
                    return;
                }
                sleep(CALL_TIMEOUT).await;
            }
        })
        .detach();
    }
}

impl Controller for ElectLeader {
    fn name(&self) -> &'static str {
        "cell"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                self.observe();
                self.state.handle_cell_event(CellEvent::Tick);
            }
            self.state.handle_cell_event(CellEvent::Resign);
        })
    }
}

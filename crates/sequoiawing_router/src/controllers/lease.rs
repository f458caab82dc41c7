use crate::{Controller, RouterState};
use sequoiawing_cell::{CellAction, CellEvent, CellReply, CellRequest};
use sequoiawing_runtime::{Shutdown, sleep, spawn};
use sequoiawing_tables::Command;
use sequoiawing_types::Name;
use std::{collections::BTreeSet, future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often the member looks at the time.
const INTERVAL: Duration = Duration::from_millis(20);

/// How long a request to another member may take; a later reply could not be
/// counted any more.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Takes part in electing the leader of the data centre, and leads when it is
/// elected.
pub(crate) struct HoldLease {
    state: Arc<RouterState>,
}

impl HoldLease {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    /// Tells the cell what the tables and the upstreams say.
    fn observe(&self) {
        let tables = self.state.tables.get();
        let centre = &self.state.settings.centre;
        let epoch = tables.cell_epoch(centre).epoch;
        let members: BTreeSet<Name> = tables.members(centre).map(|h| h.host.clone()).collect();
        self.state.cell_event(CellEvent::Members { epoch, members });
        let fence = {
            let registry = self.state.registry.lock();
            let here = registry.iter().filter(|s| s.centre == *centre);
            here.map(|s| s.fence).max()
        };
        if let Some(fence) = fence {
            self.state.cell_event(CellEvent::Fence(fence));
        }
    }
}

impl RouterState {
    /// Passes an event to this member of the cell and carries out what it
    /// wants done.
    pub(crate) fn cell_event(self: &Arc<Self>, event: CellEvent) {
        let mut out = Vec::new();
        let now = self.now();
        {
            let mut cell = self.cell.lock();
            cell.handle(now, event, &mut out);
            *self.leader.write() = cell.leader(now).cloned();
        }
        for action in out {
            self.cell_action(action);
        }
    }

    /// Answers another member of the cell.
    pub(crate) fn cell_request(&self, request: CellRequest) -> Option<CellReply> {
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

    fn cell_action(self: &Arc<Self>, action: CellAction) {
        match action {
            CellAction::Send { to, request } => self.ask_member(&to, request),
            CellAction::Reply(_) => {}
            CellAction::LeaseAcquired { term } => {
                log::info!(target: "cell", "This host leads its data centre in term {term}.");
            }
            CellAction::LeaseLost => {
                log::warn!(target: "cell", "This host does not lead its data centre any more.");
            }
            CellAction::Settled { epoch } => self.settle_epoch(epoch),
        }
    }

    fn ask_member(self: &Arc<Self>, to: &Name, request: CellRequest) {
        let Some(peer) = self.peers.get(to) else {
            return;
        };
        let state = self.clone();
        spawn(async move {
            let call = peer.stub.call(CALL_LIMIT, |client, context| async move {
                client.cell(context, request).await
            });
            if let Ok(Some(reply)) = call.await {
                state.cell_event(CellEvent::Reply(reply));
            }
        })
        .detach();
    }

    /// Lets the log change the members again.
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
                sleep(CALL_LIMIT).await;
            }
        })
        .detach();
    }
}

impl Controller for HoldLease {
    fn name(&self) -> &'static str {
        "cell"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                self.observe();
                self.state.cell_event(CellEvent::Tick);
            }
            self.state.cell_event(CellEvent::Resign);
        })
    }
}

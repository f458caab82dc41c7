use crate::simulation::pool;
use sequoiawing_fleet::{Order, OrderKind, OrderReply, UpstreamState};
use sequoiawing_types::Name;
use std::collections::BTreeSet;

/// A runner that executes each order immediately and only once.
pub(crate) struct Runner {
    pub(crate) state: UpstreamState,
    orders: BTreeSet<(u64, u64)>,
}

impl Runner {
    pub(crate) fn new(i: usize, centre: Name) -> Self {
        let state = UpstreamState {
            name: Name::from(format!("runner-{i}")),
            pool: pool(),
            centre,
            epoch: 1,
            fenced: true,
            memory: 1_000_000,
            slots: 4,
            ..UpstreamState::default()
        };
        Self {
            state,
            orders: BTreeSet::new(),
        }
    }

    pub(crate) fn handle_order(&mut self, order: &Order) -> OrderReply {
        if order.fence < self.state.fence {
            let fence = self.state.fence;
            return OrderReply::Outdated { fence };
        }
        self.state.fence = order.fence;
        if self.orders.insert((order.fence, order.id)) {
            self.execute(&order.kind);
        }
        OrderReply::Accepted
    }

    fn execute(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Load { model, .. } if !self.state.has_model(model) => {
                self.state.loaded.push(model.clone());
            }
            OrderKind::Unload { model } => self.state.loaded.retain(|m| m != model),
            _ => {}
        }
    }
}

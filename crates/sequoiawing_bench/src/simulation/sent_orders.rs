use sequoiawing_fleet::{Order, OrderKind};
use sequoiawing_types::Name;
use std::collections::HashMap;

/// The data centre, fencing token and identifier of an order.
type Key = (usize, u64, u64);

/// Checks that order identifiers are unique.
///
/// An upstream executes an identifier once. A repeated identifier is therefore
/// valid only as a resend of the latest order for the same subject.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentOrders {
    orders: HashMap<Key, (Name, Order)>,
    newest: HashMap<(Name, Name), Key>,
}

impl SentOrders {
    /// Records an order. Returns whether its identifier was reused other than by
    /// a resend of the latest order.
    pub(crate) fn record(&mut self, centre: usize, upstream: &Name, order: &Order) -> bool {
        let key = (centre, order.fence, order.id);
        let subject = (upstream.clone(), subject(order));
        let previous = self.newest.insert(subject, key);
        let value = (upstream.clone(), order.clone());
        let known = self.orders.insert(key, value.clone());
        known.is_some_and(|k| k != value || previous != Some(key))
    }
}

/// Returns the model or adapter of an order; empty for a fence.
fn subject(order: &Order) -> Name {
    match &order.kind {
        OrderKind::Load { model, .. } | OrderKind::Unload { model } => model.clone(),
        OrderKind::LoadAdapter { adapter } | OrderKind::UnloadAdapter { adapter } => {
            adapter.clone()
        }
        OrderKind::Fence => Name::default(),
    }
}

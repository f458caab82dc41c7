use super::{EngineReply, ModelLoader};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// How long after an order that was not answered an engine may still execute it.
const LATE_ORDER_TTL: Duration = Duration::from_secs(30);

/// How long the reply to an order may take, after which it counts as unanswered.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// What an engine needs to execute an order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SentOrder {
    pub(super) sent: Time,
    /// The number of orders that the engine must have accepted before.
    pub(super) expected: u64,
    /// The memory of the model to load in megabytes.
    pub(super) memory: u64,
    /// The number of adapters to load.
    pub(super) adapters: u32,
}

/// What an engine must keep free for orders that may still arrive.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Reserve {
    /// Memory in megabytes.
    pub(super) memory: u64,
    pub(super) adapters: u32,
}

#[derive(Clone, Copy, Debug)]
struct LateOrder {
    order: SentOrder,
    /// The start of the engine in which the order does no harm: the one that it was sent
    /// to, whose room was planned for it, or a later one that has accepted more orders than
    /// it expects.
    harmless_in: u64,
    /// Whether the reply may still arrive.
    is_awaited: bool,
}

/// Orders that were not answered, by engine.
///
/// An engine may start again under the same name and accept such an order then: it knows
/// nothing of the former start, and counts accepted orders anew. Only that count tells the
/// new start's orders from late ones, so room is kept until the count has passed theirs.
#[derive(Clone, Debug, Default)]
pub(super) struct LateOrders {
    orders: BTreeMap<Name, Vec<LateOrder>>,
}

impl LateOrders {
    /// Records an order that the start `epoch` of an engine did not answer.
    pub(super) fn record(&mut self, engine: &Name, epoch: u64, order: SentOrder) {
        self.push(engine, epoch, order, false);
    }

    /// Records an order whose reply has not arrived when its engine is forgotten.
    pub(super) fn record_awaited(&mut self, engine: &Name, epoch: u64, order: SentOrder) {
        self.push(engine, epoch, order, true);
    }

    fn push(&mut self, engine: &Name, epoch: u64, order: SentOrder, is_awaited: bool) {
        let orders = self.orders.entry(engine.clone()).or_default();
        orders.push(LateOrder {
            order,
            harmless_in: epoch,
            is_awaited,
        });
    }

    /// Returns whether the reply to an order to a former start is due. It could be taken for
    /// the reply to the next order.
    pub(super) fn is_awaited(&self, now: Time, engine: &Name) -> bool {
        let mut orders = self.orders.get(engine).into_iter().flatten();
        orders.any(|o| o.is_awaited && now < o.order.sent + REPLY_TIMEOUT)
    }

    /// Processes a reply; returns whether it was one to an order to a former start.
    pub(super) fn on_reply(&mut self, now: Time, engine: &Name, reply: EngineReply) -> bool {
        if !self.is_awaited(now, engine) {
            return false;
        }
        let Some(orders) = self.orders.get_mut(engine) else {
            return false;
        };
        if reply == EngineReply::Unknown {
            for late in orders {
                late.is_awaited = false;
            }
        } else {
            orders.retain(|o| !o.is_awaited);
        }
        true
    }

    /// Returns what the start `epoch` of an engine must keep free. `accepted` is the number
    /// of orders that it has accepted, if known.
    fn reserve(&mut self, engine: &Name, epoch: u64, accepted: Option<u64>) -> Reserve {
        let Some(orders) = self.orders.get_mut(engine) else {
            return Reserve::default();
        };
        // Of the orders that expect the same count only one can be accepted.
        let mut needs: BTreeMap<u64, Reserve> = BTreeMap::new();
        for late in orders {
            let order = late.order;
            if accepted.is_some_and(|accepted| accepted > order.expected) {
                late.harmless_in = epoch;
            }
            if late.harmless_in == epoch {
                continue;
            }
            let need = needs.entry(order.expected).or_default();
            need.memory = need.memory.max(order.memory);
            need.adapters = need.adapters.max(order.adapters);
        }
        needs
            .values()
            .fold(Reserve::default(), |sum, need| Reserve {
                memory: sum.memory + need.memory,
                adapters: sum.adapters + need.adapters,
            })
    }

    fn drop_expired(&mut self, now: Time) {
        self.orders.retain(|_, orders| {
            orders.retain(|o| now < o.order.sent + LATE_ORDER_TTL);
            !orders.is_empty()
        });
    }
}

impl ModelLoader {
    /// Removes an engine. An order that it has not answered may still be executed.
    pub(super) fn remove_engine(&mut self, name: &Name) {
        let Some(engine) = self.engines.remove(name) else {
            return;
        };
        if let Some(order) = engine.pending_order() {
            let epoch = engine.state.epoch;
            self.late_orders.record_awaited(name, epoch, order);
        }
    }

    /// Keeps room in all engines for orders to their former starts.
    pub(super) fn reserve_for_late_orders(&mut self, now: Time) {
        self.late_orders.drop_expired(now);
        for (name, engine) in &mut self.engines {
            let (epoch, accepted) = (engine.state.epoch, engine.accepted());
            engine.reserve = self.late_orders.reserve(name, epoch, accepted);
        }
    }
}

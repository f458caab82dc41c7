use crate::{CheckpointLocation, place::allotments::Target};
use sequoiawing_fleet::{Order, OrderKind, UpstreamState};
use sequoiawing_types::{Name, Time};
use std::{collections::BTreeMap, time::Duration};

/// The maximum number of attempts to send an order.
const MAX_ATTEMPTS: u32 = 3;

/// The progress of an order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// The order was sent.
    Sent,
    /// The upstream accepted the order.
    Accepted,
    /// The upstream announced that it is loading the model.
    Started,
}

/// An order whose outcome the upstream has not announced yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) upstream: Name,
    pub(crate) target: Target,
    pub(crate) order: Order,
    /// When the order was first sent.
    pub(crate) first_sent: Time,
    /// When the order was last sent.
    pub(crate) last_sent: Time,
    pub(crate) attempts: u32,
    pub(crate) phase: Phase,
    /// Whether the order is late, so that another replica may be loaded. It may
    /// still arrive at its upstream.
    pub(crate) is_late: bool,
    /// Whether the load timed out and the upstream was ordered to unload.
    pub(crate) is_cancelled: bool,
    /// Whether an earlier load was announced as failed when this order was
    /// sent.
    pub(crate) had_failed: bool,
    pub(crate) checkpoint: CheckpointLocation,
    pub(crate) memory: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// The order was carried out.
    Done,
    /// The upstream could not carry the order out.
    Failed,
    /// The upstream restarted, or the order expired before it arrived.
    Lapsed,
}

impl PendingOrder {
    /// Returns the order's outcome, if an announcement shows one.
    pub(crate) fn outcome(
        &self,
        now: Time,
        state: &UpstreamState,
        lifetime: Duration,
        stable_since: Time,
    ) -> Option<OrderOutcome> {
        if state.epoch != self.order.epoch {
            return Some(OrderOutcome::Lapsed);
        }
        let is_taken = state.taken.contains(&self.order.id);
        // An upstream that was frozen may still find the order in its queue.
        let expired =
            (now >= self.last_sent.max(stable_since) + lifetime).then_some(OrderOutcome::Lapsed);
        let done = |is_done: bool| is_done.then_some(OrderOutcome::Done);
        match &self.order.kind {
            OrderKind::Load { model, .. } if state.is_loading(model) => None,
            OrderKind::Load { model, .. } => self.load_outcome(state, model, is_taken).or(expired),
            OrderKind::Unload { model } => {
                done(!state.has_model(model) && !state.is_loading(model)).or(expired)
            }
            OrderKind::LoadAdapter { adapter } => {
                let failed = state.failed.contains(adapter) && (is_taken || !self.had_failed);
                let failed = failed || !state.has_model(&self.target.1);
                let failed = failed.then_some(OrderOutcome::Failed);
                done(state.has_adapter(adapter)).or(failed).or(expired)
            }
            OrderKind::UnloadAdapter { adapter } => done(!state.has_adapter(adapter)).or(expired),
            OrderKind::Fence => done(state.fence >= self.order.fence).or(expired),
        }
    }

    fn load_outcome(
        &self,
        state: &UpstreamState,
        model: &Name,
        is_taken: bool,
    ) -> Option<OrderOutcome> {
        if state.has_model(model) {
            return Some(OrderOutcome::Done);
        }
        let has_failed = state.failed.contains(model) && !self.had_failed;
        let failed = self.phase == Phase::Started || is_taken || has_failed;
        failed.then_some(OrderOutcome::Failed)
    }

    pub(crate) fn is_load(&self) -> bool {
        matches!(self.order.kind, OrderKind::Load { .. })
    }

    /// Raises the order's phase to at least `phase`.
    pub(crate) fn advance_to(&mut self, phase: Phase) {
        self.phase = self.phase.max(phase);
    }

    pub(crate) fn is_unload(&self) -> bool {
        matches!(self.order.kind, OrderKind::Unload { .. })
    }

    pub(crate) fn is_adapter_load(&self) -> bool {
        matches!(self.order.kind, OrderKind::LoadAdapter { .. })
    }

    /// Returns whether the order should be sent again.
    pub(crate) fn is_unanswered(&self, now: Time, resend_after: Duration) -> bool {
        self.phase == Phase::Sent
            && !self.is_cancelled
            && self.attempts < MAX_ATTEMPTS
            && now >= self.last_sent + resend_after
    }
}

/// The orders whose outcome no upstream has announced yet, by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingOrders {
    orders: BTreeMap<u64, PendingOrder>,
}

impl PendingOrders {
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
    }

    pub(crate) fn insert(&mut self, order: PendingOrder) {
        self.orders.insert(order.order.id, order);
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<PendingOrder> {
        self.orders.remove(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut PendingOrder> {
        self.orders.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PendingOrder> {
        self.orders.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingOrder> {
        self.orders.values_mut()
    }

    pub(crate) fn remove_upstream(&mut self, upstream: &Name) {
        self.orders.retain(|_, o| o.upstream != *upstream);
    }

    /// Returns the models that an upstream was ordered to load.
    pub(crate) fn loads_on(&self, upstream: &Name) -> impl Iterator<Item = &Name> {
        let here = self.iter().filter(move |o| o.upstream == *upstream);
        here.filter(|o| o.is_load()).map(|o| &o.target.1)
    }

    /// Returns the upstreams that were ordered to load the model.
    pub(crate) fn loaders(&self, target: &Target) -> impl Iterator<Item = &Name> {
        let loads = self
            .iter()
            .filter(move |o| o.target == *target && o.is_load());
        loads.map(|o| &o.upstream)
    }

    /// Returns whether the upstream has a pending order for the model.
    pub(crate) fn has(&self, upstream: &Name, target: &Target) -> bool {
        self.iter()
            .any(|o| o.upstream == *upstream && o.target == *target)
    }
}

//! The adapters of an engine, of which it holds a limited number.

use super::{Engine, PendingOrder};
use crate::serving::loader::leaving::{DROP_POLL_INTERVAL, IDLE_DROP_POLL_INTERVAL};
use sequoiawing_fleet::OrderKind;
use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The interval between two requests for the state of an engine whose adapters requests did
/// not find. Gateways learn of a new adapter within that time.
const ADAPTER_VERIFY_INTERVAL: Duration = Duration::from_secs(3);

/// How long after its last request an adapter counts as in use.
const ADAPTER_USE_TTL: Duration = Duration::from_secs(4);

impl Engine {
    pub(in super::super) fn will_have_adapter(&self, adapter: &Name) -> bool {
        self.adapters.contains_key(adapter) || self.queued_adapters.contains(adapter)
    }

    /// Drops queued adapters whose models are no longer loaded.
    pub(super) fn drop_orphaned_adapters(&mut self) {
        let held = &self.held;
        self.queued_adapters.retain(|adapter| {
            let model = adapter.as_str().split_once(':').map(|(model, _)| model);
            model.is_some_and(|model| held.contains_key(model))
        });
    }

    /// Records that an adapter was requested.
    pub(in super::super) fn use_adapter(&mut self, now: Time, adapter: &Name) {
        if let Some(used) = self.adapters.get_mut(adapter) {
            *used = now;
        }
    }

    /// Returns whether an adapter can be loaded without giving up one that is in use.
    /// `slots` is the number of adapters that the engine can hold.
    pub(in super::super) fn has_adapter_slot(&self, now: Time, slots: u32) -> bool {
        let in_use = self.adapters.values();
        let in_use = in_use.filter(|used| now < **used + ADAPTER_USE_TTL);
        let taken = in_use.count() + self.queued_adapters.len();
        taken + self.leaving.len() + (self.reserve.adapters as usize) < slots as usize
    }

    /// Requests the engine's state before its next order, since requests did not find an
    /// adapter there that it should hold. A leader that has just begun does not know which
    /// adapters are being unloaded.
    pub(in super::super) fn verify_adapter(&mut self, now: Time, adapter: &Name) {
        let is_due = now >= self.asked + ADAPTER_VERIFY_INTERVAL;
        self.is_unverified |= is_due && self.adapters.contains_key(adapter);
    }

    /// Queues an adapter to be loaded. `slots` is the number of adapters that
    /// the engine can hold.
    pub(in super::super) fn queue_adapter(&mut self, adapter: Name, slots: u32) {
        self.adapter_slots = slots;
        self.queued_adapters.push_back(adapter);
    }

    /// Returns the next queued adapter that can be loaded. One that is being unloaded cannot,
    /// as the engine holds it already.
    fn next_adapter(&self) -> Option<&Name> {
        let mut queued = self.queued_adapters.iter();
        queued.find(|adapter| !self.leaving.contains(adapter))
    }

    /// Returns whether the engine is to be asked if it has dropped an adapter.
    pub(super) fn waits_for_drop(&self, now: Time) -> bool {
        let interval = if self.queued_adapters.is_empty() {
            IDLE_DROP_POLL_INTERVAL
        } else {
            DROP_POLL_INTERVAL
        };
        self.leaving.len() > 0 && now >= self.asked + interval
    }

    /// Returns the order for the next queued adapter, if it need not wait for one to be dropped.
    pub(super) fn next_adapter_order(&self, now: Time) -> Option<(PendingOrder, OrderKind)> {
        let adapter = self.next_adapter()?;
        let reserved = self.leaving.len() + self.reserve.adapters as usize;
        if self.adapters.len() + reserved < self.adapter_slots as usize {
            let adapter = adapter.clone();
            let pending = PendingOrder::LoadAdapter(adapter.clone());
            return Some((pending, OrderKind::LoadAdapter { adapter }));
        }
        // Without an adapter that could give way, all slots are kept for late orders.
        let (oldest, used) = self.adapters.iter().min_by_key(|(_, used)| **used)?;
        let is_in_use = now < *used + ADAPTER_USE_TTL;
        if is_in_use && self.leaving.len() >= self.queued_adapters.len() {
            return None;
        }
        let adapter = oldest.clone();
        let pending = PendingOrder::UnloadAdapter(adapter.clone());
        Some((pending, OrderKind::UnloadAdapter { adapter }))
    }
}

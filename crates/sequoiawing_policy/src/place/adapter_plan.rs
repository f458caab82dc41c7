//! Plans the loads of adapters.

use crate::{
    PlaceAction, Placer,
    place::{adapter_demands::AdapterDemand, pending_orders::PendingOrder, runner::Runner},
};
use sequoiawing_fleet::OrderKind;
use sequoiawing_types::{Name, Time};

impl Placer {
    /// Orders adapter loads up to the limit on concurrent ones.
    pub(crate) fn plan_adapters(&mut self, now: Time, out: &mut Vec<PlaceAction>) {
        if self.adapters.len() == 0 {
            return;
        }
        let mut running = self.orders.iter().filter(|o| o.is_adapter_load()).count();
        let limit = usize::try_from(self.credits.adapter_slots()).unwrap_or(usize::MAX);
        for (adapter, wanted) in self.adapters.in_fair_order() {
            if running >= limit {
                return;
            }
            if self.is_adapter_loaded(&adapter) {
                self.adapters.remove(&adapter);
            } else if let Some(upstream) = self.adapter_upstream(now, &adapter, &wanted) {
                let target = (wanted.pool.clone(), wanted.model.clone());
                let kind = OrderKind::LoadAdapter { adapter };
                self.send(now, &upstream, &target, kind, out);
                running += 1;
            }
        }
    }

    fn is_adapter_loaded(&self, adapter: &Name) -> bool {
        let mut runners = self.runners.values();
        runners.any(|r| r.is_usable() && r.state.has_adapter(adapter))
    }

    /// Returns the least busy upstream with the base model of the adapter, or
    /// `None` if the adapter is already loading.
    fn adapter_upstream(&self, now: Time, adapter: &Name, wanted: &AdapterDemand) -> Option<Name> {
        let loads = |o: &PendingOrder| matches!(&o.order.kind, OrderKind::LoadAdapter { adapter: a } if a == adapter);
        if self.orders.iter().any(loads) {
            return None;
        }
        let leadership = self.leadership?;
        let runners = self.runners.values();
        let usable = runners.filter(|r| r.is_usable() && r.state.pool == wanted.pool);
        let usable = usable.filter(|r| r.state.has_model(&wanted.model));
        let usable = usable.filter(|r| r.is_synced(now, &leadership, self.led_since));
        let target = (wanted.pool.clone(), wanted.model.clone());
        let unloads = |o: &PendingOrder| {
            o.target == target && matches!(o.order.kind, OrderKind::Unload { .. })
        };
        let keeps_model = |r: &&Runner| {
            let mut orders = self.orders.iter().filter(|o| o.upstream == r.state.name);
            !orders.any(unloads) && !r.is_backing_off(now, adapter)
        };
        let load = |r: &&Runner| {
            let orders = self.orders.iter().filter(|o| o.upstream == r.state.name);
            let running = r.state.running * 100 / r.state.slots.max(1);
            (orders.count(), running)
        };
        let best = usable.filter(keeps_model).min_by_key(load);
        best.map(|r| r.state.name.clone())
    }
}

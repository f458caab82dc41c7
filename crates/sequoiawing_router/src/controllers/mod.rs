//! The standard background controllers of a router.

mod budget;
mod centre_budgets;
mod expire;
mod follow;
mod join;
mod keys;
mod lease;
mod metrics;
mod placement;
mod relay;
mod store_credits;
mod summary;
mod upstream_updates;

use crate::{Plugin, RouterBuilder};
use sequoiawing_runtime::Shutdown;
use std::{future::Future, pin::Pin};

/// A background task that maintains part of a router's state until the router
/// shuts down.
pub trait Controller: Send + Sync {
    /// Returns the name of the controller, which is also its log target.
    fn name(&self) -> &'static str;

    /// Runs the controller until shutdown starts.
    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>>;
}

/// Adds the standard controllers to a router.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StandardControllers;

impl Plugin for StandardControllers {
    fn build(&self, router: &mut RouterBuilder) {
        let state = router.state();
        router
            .add_controller(follow::FollowTables::new(state.clone()))
            .add_controller(keys::PropagateWithdrawals::new(state.clone()))
            .add_controller(expire::ExpireUpstreams::new(state.clone()))
            .add_controller(relay::RelayAnnouncements::new(state.clone()))
            .add_controller(metrics::ExportMetrics::new(state.clone()))
            .add_controller(join::JoinCell::new(state.clone()))
            .add_controller(lease::ElectLeader::new(state.clone()))
            .add_controller(budget::ExchangeBudgets::new(state.clone()))
            .add_controller(placement::PlaceModels::new(state));
    }
}

pub(crate) use centre_budgets::CentreBudgets;
pub(crate) use placement::PlacerHandle;
pub(crate) use relay::Outbox;

/// The intervals of the standard controllers, from which the figures of
/// [docs/CAPACITY.md](../../../docs/CAPACITY.md) are calculated.
pub mod intervals {
    pub use super::{
        expire::INTERVAL as REGISTRY, follow::POLL_WAIT as FOLLOW, placement::INTERVAL as CELL,
        relay::LOAD_INTERVAL as LOAD, summary::REMOTE_INTERVAL as REMOTE,
    };
}

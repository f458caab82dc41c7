//! The standard filters of a router.

mod authenticate;
mod deadline;
mod forward;
mod idempotency;
mod measure;
mod rate_limit;
mod read_body;
mod route;
mod token_counter;

use crate::{Plugin, RouterBuilder};

/// Adds the standard filters in the order in which requests pass them.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandardFilters;

impl Plugin for StandardFilters {
    fn build(&self, router: &mut RouterBuilder) {
        let state = router.state();
        router
            .add_filter(measure::MeasureRequest::new(state.clone()))
            .add_filter(deadline::Deadline)
            .add_filter(authenticate::Authenticate::new(state.clone()))
            .add_filter(route::SelectRoute::new(state.clone()))
            .add_filter(read_body::ReadBody::new(state.clone()))
            .add_filter(idempotency::Idempotency::new(state.clone()))
            .add_filter(rate_limit::RateLimit::new(state.clone()))
            .add_filter(measure::MeasureColdStart::new(state.clone()))
            .add_filter(forward::Forward::new(state));
    }
}

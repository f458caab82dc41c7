use crate::{Controller, RouterState};
use sequoiawing_fleet::Pauses;
use sequoiawing_runtime::{Shutdown, sleep};
use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often expired upstreams are removed and the dispatchers check their
/// deadlines.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Removes upstreams whose announcements have expired, and drives the timers of
/// the dispatchers.
pub(crate) struct ExpireUpstreams {
    state: Arc<RouterState>,
}

impl ExpireUpstreams {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }
}

impl Controller for ExpireUpstreams {
    fn name(&self) -> &'static str {
        "registry"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let mut pauses = Pauses::new(self.state.now(), INTERVAL);
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                let now = self.state.now();
                self.state.expire_upstreams(now, pauses.tick(now));
            }
        })
    }
}

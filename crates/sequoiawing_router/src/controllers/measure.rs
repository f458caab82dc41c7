use crate::{Controller, RouterState};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_telemetry::{Meters, serve_metrics};
use sequoiawing_types::Name;
use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often the state is measured.
const INTERVAL: Duration = Duration::from_secs(1);

/// Measures the router's state and serves all its measures to scrapers.
pub(crate) struct MeasureState {
    state: Arc<RouterState>,
}

impl MeasureState {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    async fn listen(&self, meters: &Arc<Meters>, shutdown: &Shutdown) {
        let Some(address) = self.state.settings.metrics else {
            return;
        };
        let served = serve_metrics(address, meters.clone(), shutdown.clone()).await;
        if let Err(error) = served {
            log::error!(target: "metrics", "Metrics are not served at {address}: {error}.");
        }
    }

    fn measure(&self, meters: &Meters) {
        let status = self.state.status();
        meters.set_upstreams(status.upstreams);
        meters.set_requests(status.waiting, status.open);
        let leading = self.state.lease().is_some();
        meters.set_state(status.revision.0, leading);
        if leading {
            for pool in self.idle_runners() {
                meters.record_idle_time(&pool, INTERVAL);
            }
        }
    }

    /// Returns the pool of each runner of the data centre that holds a model
    /// and runs nothing; only the cell leader counts, so that each counts once.
    fn idle_runners(&self) -> Vec<Name> {
        let centre = &self.state.settings.centre;
        let registry = self.state.registry.lock();
        let here = registry.iter().filter(|u| u.centre == *centre);
        let idle = here.filter(|u| !u.loaded.is_empty() && u.running == 0);
        idle.map(|u| u.pool.clone()).collect()
    }
}

impl Controller for MeasureState {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let Some(meters) = self.state.meters.clone() else {
                log::error!(target: "metrics", "Metrics cannot be collected.");
                return;
            };
            self.listen(&meters, &shutdown).await;
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                self.measure(&meters);
            }
        })
    }
}

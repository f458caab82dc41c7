use crate::{Controller, RouterState};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_telemetry::{Meters, serve_metrics};
use sequoiawing_types::Name;
use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

/// How often the metrics of the state are updated.
const INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics of the router's state and serves all metrics to scrapers.
pub(crate) struct ExportMetrics {
    state: Arc<RouterState>,
}

impl ExportMetrics {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self { state }
    }

    async fn serve(&self, meters: &Arc<Meters>, shutdown: &Shutdown) {
        let Some(address) = self.state.settings.metrics else {
            return;
        };
        let result = serve_metrics(address, meters.clone(), shutdown.clone()).await;
        if let Err(error) = result {
            log::error!(target: "metrics", "Failed to serve metrics at {address}: {error}.");
        }
    }

    fn update_metrics(&self, meters: &Meters) {
        let status = self.state.status();
        meters.set_upstreams(status.upstreams);
        meters.set_requests(status.waiting, status.open);
        let is_leading = self.state.lease().is_some();
        meters.set_state(status.revision.0, is_leading);
        if is_leading {
            for pool in self.idle_runners() {
                meters.record_idle_time(&pool, INTERVAL);
            }
        }
    }

    /// Returns the pool of each runner of the data centre that has a model loaded
    /// and runs no request. Only the cell leader reports them, so that each runner
    /// is counted once.
    fn idle_runners(&self) -> Vec<Name> {
        let centre = &self.state.settings.centre;
        let registry = self.state.registry.lock();
        let local = registry.iter().filter(|u| u.centre == *centre);
        let idle = local.filter(|u| !u.loaded.is_empty() && u.running == 0);
        idle.map(|u| u.pool.clone()).collect()
    }
}

impl Controller for ExportMetrics {
    fn name(&self) -> &'static str {
        "metrics"
    }

    fn run(self: Box<Self>, shutdown: Shutdown) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let Some(meters) = self.state.meters.clone() else {
                log::error!(
                    target: "metrics",
                    "Metrics are disabled because the meters failed to initialize."
                );
                return;
            };
            self.serve(&meters, &shutdown).await;
            while shutdown.or(sleep(INTERVAL)).await.is_some() {
                self.update_metrics(&meters);
            }
        })
    }
}

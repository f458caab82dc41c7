//! Collects a controller's metrics and serves them to scrapers.

use crate::{ControllerHandle, ControllerSettings};
use sequoiawing_runtime::{Shutdown, sleep};
use sequoiawing_telemetry::{Meters, serve_metrics};
use std::{sync::Arc, time::Duration};

/// How often the metrics are updated.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics until shutdown, if the settings contain a metrics address.
pub(crate) async fn report_metrics(
    settings: ControllerSettings,
    handle: ControllerHandle,
    shutdown: Shutdown,
) {
    let Some(address) = settings.metrics else {
        return;
    };
    let meters = Meters::new("sequoiawing-controller", &settings.host, &settings.centre);
    let Ok(meters) = meters.map(Arc::new) else {
        log::error!(target: "metrics", "Failed to set up the metrics exporter.");
        return;
    };
    if let Err(error) = serve_metrics(address, meters.clone(), shutdown.clone()).await {
        log::error!(target: "metrics", "Failed to serve metrics at {address}: {error}.");
        return;
    }
    while shutdown.or(sleep(REPORT_INTERVAL)).await.is_some() {
        let status = handle.status();
        meters.set_state(status.revision.0, status.role == "leader");
    }
}

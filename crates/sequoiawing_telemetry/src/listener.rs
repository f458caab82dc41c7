use crate::Meters;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use sequoiawing_http::{Body, Handler, HttpListener, HttpSettings, from_bytes};
use sequoiawing_runtime::{Shutdown, spawn};
use std::{io, net::SocketAddr, sync::Arc};

/// The path at which metrics are scraped.
const METRICS_PATH: &str = "/metrics";

struct MetricsHandler {
    meters: Arc<Meters>,
}

impl Handler for MetricsHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != METRICS_PATH {
            return text(StatusCode::NOT_FOUND, "no such path\n".to_owned());
        }
        match self.meters.scrape() {
            Ok(body) => text(StatusCode::OK, body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(from_bytes(body));
    *response.status_mut() = status;
    let content = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

/// Serves metrics at `/metrics` until shutdown, and returns the bound address.
///
/// Requests are not authenticated, so `address` must be internal.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, for example because it is in
/// use.
pub async fn serve_metrics(
    address: SocketAddr,
    meters: Arc<Meters>,
    shutdown: Shutdown,
) -> io::Result<SocketAddr> {
    let listener = HttpListener::bind(address, HttpSettings::default()).await?;
    let bound = listener.address()?;
    let handler = Arc::new(MetricsHandler { meters });
    spawn(listener.serve(handler, shutdown)).detach();
    log::info!(target: "metrics", "Serving metrics at http://{bound}{METRICS_PATH}.");
    Ok(bound)
}

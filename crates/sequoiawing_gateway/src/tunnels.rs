//! Tunnels: those that this gateway opens for others, and the attempts to connect directly again.

use crate::GatewayState;
use futures_lite::FutureExt;
use sequoiawing_http::run_tunnel;
use sequoiawing_link::{Connection, ConnectionHandler, TunnelRequest, TunnelStatus};
use sequoiawing_runtime::{Shutdown, sleep, spawn, timeout};
use sequoiawing_types::{Name, Time};
use std::{
    future::pending,
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Timeout of a request for a tunnel on an open connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How often shutdown checks whether the tunnels have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the handler of connections that ask for tunnels.
pub(crate) fn tunnel_handler(state: &Arc<GatewayState>) -> ConnectionHandler {
    let state = state.clone();
    Box::new(move |connection| {
        let state = state.clone();
        Box::pin(async move {
            if let Err(error) = serve_tunnel(&state, connection).await {
                log::info!(target: "gateway", cause = error.to_string(); "Tunnel failed.");
            }
        })
    })
}

/// Counts a tunnel as open.
struct TunnelGuard<'a>(&'a GatewayState);

impl<'a> TunnelGuard<'a> {
    /// Counts a tunnel, unless there are too many or the gateway is shutting down.
    fn new(state: &'a GatewayState) -> Option<Self> {
        let is_stopping = state.is_stopping.load(Ordering::Relaxed);
        let open = state.open_tunnels.fetch_add(1, Ordering::Relaxed);
        let guard = Self(state);
        (!is_stopping && open < state.settings.max_tunnels).then_some(guard)
    }
}

impl Drop for TunnelGuard<'_> {
    fn drop(&mut self) {
        self.0.open_tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_tunnel(state: &GatewayState, connection: Connection) -> io::Result<()> {
    let request = timeout(REQUEST_TIMEOUT, TunnelRequest::read(connection)).await;
    let request = request.ok_or_else(|| io::Error::from(io::ErrorKind::TimedOut))??;
    let address = request.upstream;
    let Some(_guard) = TunnelGuard::new(state) else {
        return refuse(request, TunnelStatus::Busy).await;
    };
    let Some(upstream) = state.connector.upstream_at(address) else {
        return refuse(request, TunnelStatus::Unknown).await;
    };
    // The other gateway may not have learned of the evacuation.
    if state.is_evacuated(&upstream) {
        return refuse(request, TunnelStatus::Unreachable).await;
    }
    // A tunnel never leads into another one.
    let Ok(server) = state.connector.probe(&upstream, address).await else {
        return refuse(request, TunnelStatus::Unreachable).await;
    };
    server.set_nodelay(true).ok();
    let client = request.answer(TunnelStatus::Connected).await?;
    run_tunnel(client, server).await;
    Ok(())
}

async fn refuse(request: TunnelRequest, status: TunnelStatus) -> io::Result<()> {
    log::info!(
        target: "gateway", upstream = request.upstream.to_string(),
        outcome = format!("{status:?}");
        "Refused a tunnel to another gateway."
    );
    request.answer(status).await.map(drop)
}

/// Waits until all tunnels of other gateways have ended, for as long as given.
pub(crate) async fn drain_tunnels(state: &GatewayState, limit: Duration) {
    let ended = async {
        while state.open_tunnels.load(Ordering::Relaxed) > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    ended.or(sleep(limit)).await;
}

/// Tries lost direct paths until shutdown starts.
pub(crate) async fn probe_paths(state: Arc<GatewayState>, shutdown: Shutdown) {
    loop {
        let changed = state.connector.paths_changed.listen();
        for (upstream, address) in state.connector.take_due() {
            let state = state.clone();
            spawn(async move { state.connector.probe(&upstream, address).await.ok() }).detach();
        }
        let next = state.connector.next_probe();
        let due = async {
            match next {
                Some(wait) => sleep(wait).await,
                None => pending().await,
            }
        };
        if shutdown.or(changed.or(due)).await.is_none() {
            return;
        }
        state.close_lost();
    }
}

impl GatewayState {
    /// Sends requests again to upstreams to which a tunnel was found.
    pub(crate) fn use_tunnels(&self, now: Time, found: &[Name]) {
        if found.is_empty() {
            return;
        }
        let mut balancer = self.balancer.lock();
        for upstream in found {
            balancer.end_backoff(now, upstream);
        }
        drop(balancer);
        self.upstreams_changed.notify(usize::MAX);
    }

    /// Closes the idle connections to upstreams whose direct path is lost, which may hang.
    fn close_lost(&self) {
        let lost = self.connector.lost();
        let balancer = self.balancer.lock();
        let addresses = lost.iter().filter_map(|name| balancer.state(name)?.address);
        let addresses: Vec<_> = addresses.collect();
        drop(balancer);
        for address in addresses {
            self.client.close_idle(address);
        }
    }
}

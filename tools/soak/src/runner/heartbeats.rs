//! The heartbeats of a runner.

use super::{Phase, Runner, State};
use crate::wire::call;
use sequoiawing_runtime::{sleep, timeout};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The time within which a heartbeat is acknowledged.
const ACKNOWLEDGED: Duration = Duration::from_secs(1);

pub(super) fn model_list(state: &State) -> Vec<Value> {
    let models = state.models.iter();
    models
        .map(|m| json!({ "name": m, "version": 1, "adapters": [] }))
        .collect()
}

/// Sends heartbeats, and changes to the next controller when one isn't acknowledged.
pub(super) async fn send(runner: Arc<Runner>) {
    let settings = &runner.settings;
    let path = format!("/Instances.Heartbeat/{}", settings.id);
    let mut next = 0;
    let mut named: Option<SocketAddr> = None;
    loop {
        let mode = runner.mode();
        if !mode.silent && mode.phase != Phase::Departed {
            let address = named.unwrap_or(settings.controls[next % settings.controls.len()]);
            let body = description(&runner).to_string();
            let sent = timeout(ACKNOWLEDGED, call(address, "POST", &path, &body));
            if let Some(Ok((200, body))) = sent.await {
                let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                let address = body["heartbeat_addr"].as_str();
                named = address.and_then(|a| a.parse().ok()).or(named);
            } else {
                named = None;
                next += 1;
            }
        }
        sleep(Duration::from_millis(settings.heartbeat)).await;
    }
}

fn description(runner: &Runner) -> Value {
    let settings = &runner.settings;
    let mut state = runner.state.lock();
    state.heartbeats += 1;
    let mut body = json!({
        "service": settings.service, "addr": settings.address, "zone": settings.centre,
        "version": settings.version, "slots": settings.slots, "state": state.mode.phase,
        "cold_left_ms": 0, "seq": state.heartbeats, "born": settings.born,
    });
    if !settings.models.is_empty() {
        body["stage"] = json!("mixed");
        body["models"] = json!(model_list(&state));
    }
    body
}

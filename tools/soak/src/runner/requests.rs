//! How a runner answers requests.

use super::{BRITTLE_NOTICE, Mode, Runner, RunnerSettings, heartbeats::model_list};
use crate::{
    event_ids::{event_id, event_number},
    record::{Record, now_ms},
    wire::{Head, Wire, head},
};
use async_net::TcpStream;
use futures_lite::FutureExt;
use rand::RngExt;
use sequoiawing_runtime::{sleep, spawn};
use serde_json::{Value, json};
use std::{io, sync::Arc, time::Duration};

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a plain request runs.
const RUN_TIME: Duration = Duration::from_millis(30);

/// How often a waiting request looks for a slot.
const QUEUE_INTERVAL: Duration = Duration::from_millis(5);

/// The signature of all answers of the stand-ins.
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// A request that a runner read.
struct Request {
    /// When its head was read, in milliseconds.
    at: u64,
    head: Head,
    attempt: String,
    body: Vec<u8>,
}

/// Counts a request that waits or runs, until it is dropped.
struct Slot {
    runner: Arc<Runner>,
    is_running: bool,
}

impl Slot {
    fn take(runner: &Arc<Runner>) -> Option<Self> {
        let mut state = runner.state.lock();
        let brittle = state.mode.brittle;
        let settings = &runner.settings;
        let queue = brittle.filter(|b| now_ms() >= b.began + BRITTLE_NOTICE);
        let queue = queue.map_or(settings.queue, |brittle| brittle.queue);
        if state.running + state.waiting >= settings.slots + queue {
            return None;
        }
        state.waiting += 1;
        Some(Self {
            runner: runner.clone(),
            is_running: false,
        })
    }

    /// Waits until the request may run.
    async fn begin(&mut self) {
        loop {
            {
                let mut state = self.runner.state.lock();
                if state.running < self.runner.settings.slots {
                    state.waiting -= 1;
                    state.running += 1;
                    self.is_running = true;
                    return;
                }
            }
            sleep(QUEUE_INTERVAL).await;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.runner.state.lock();
        if self.is_running {
            state.running -= 1;
        } else {
            state.waiting -= 1;
        }
    }
}

/// Serves the requests of one connection.
pub(super) async fn serve(runner: Arc<Runner>, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    while let Ok(true) = serve_next(&runner, &mut wire).await {}
    if runner.has_fallen() {
        wire.reset().ok();
    }
}

/// Serves a request; returns whether the connection may be used again.
async fn serve_next(runner: &Arc<Runner>, wire: &mut Wire) -> io::Result<bool> {
    let head = wire.read_head().await?;
    let at = now_ms();
    let body = wire.read_body(head.request_framing()).await?;
    if runner.has_fallen() {
        return Ok(false);
    }
    while runner.mode().silent {
        sleep(Duration::from_millis(50)).await;
    }
    let request = Request {
        attempt: head.get("attempt-id").unwrap_or_default().to_owned(),
        at,
        head,
        body,
    };
    match request.head.word(1) {
        "/healthz" => answer(runner, wire, 200, &request, "", None).await?,
        "/report" => {
            let text = report(runner).to_string();
            answer(runner, wire, 200, &request, &text, None).await?;
        }
        "/order" => {
            let status = order(runner, &request.body);
            answer(runner, wire, status, &request, "", None).await?;
        }
        _ if request.attempt.is_empty() => answer(runner, wire, 400, &request, "", None).await?,
        _ => return run(runner, wire, &request).await,
    }
    Ok(!request.head.closes())
}

/// Writes an answer with its length.
async fn answer(
    runner: &Runner,
    wire: &mut Wire,
    status: u16,
    request: &Request,
    body: &str,
    retry_after: Option<f64>,
) -> io::Result<()> {
    let length = body.len().to_string();
    let mut headers = vec![
        ("Instance-Id", runner.settings.id.as_str()),
        ("Content-Length", &length),
    ];
    if !request.attempt.is_empty() {
        headers.push(("Attempt-Id", &request.attempt));
    }
    let tolerance = tolerance(runner);
    headers.extend(tolerance.as_deref().map(|t| ("Server-Brittle", t)));
    let retry_after = retry_after.map(|seconds| seconds.to_string());
    headers.extend(retry_after.as_deref().map(|s| ("Retry-After", s)));
    match status {
        400 | 421 | 503 => headers.push(("Not-Executed", "1")),
        _ => headers.push(("Server-Seal", SEAL)),
    }
    let mut text = head(&format!("HTTP/1.1 {status} Status"), &headers);
    text.push_str(body);
    wire.write(text.as_bytes()).await
}

/// Returns the rejections within a second that the runner names in its answers.
fn tolerance(runner: &Runner) -> Option<String> {
    let brittle = runner.state.lock().mode.brittle;
    brittle.map(|brittle| brittle.tolerance.to_string())
}

fn report(runner: &Runner) -> Value {
    let state = runner.state.lock();
    json!({
        "stage": "mixed", "models": model_list(&state), "busy": state.is_busy,
        "seq": state.orders, "waiting": state.waiting, "running": state.running,
        "kv_used": 0, "kv_total": 100_000, "handles": 0,
    })
}

/// Carries out an order and returns the status.
fn order(runner: &Arc<Runner>, body: &[u8]) -> u16 {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut state = runner.state.lock();
    let fence = order["fence"].as_u64().unwrap_or_default();
    let expected = order["precondition"].as_u64();
    if fence < state.fence {
        return 412;
    }
    if state.is_busy || expected.is_some_and(|e| e != state.orders) {
        return 409;
    }
    state.fence = fence;
    state.orders += 1;
    state.is_busy = true;
    let model = order["model"].as_str().unwrap_or_default().to_owned();
    let is_load = order["op"] == "loading";
    let shared = runner.clone();
    spawn(async move {
        sleep(Duration::from_millis(if is_load { 400 } else { 30 })).await;
        let mut state = shared.state.lock();
        state.is_busy = false;
        state.models.retain(|m| *m != model);
        if is_load {
            state.models.push(model);
        }
    })
    .detach();
    202
}

/// Returns the status of a refusal, nothing if the runner runs the request.
fn refusal(runner: &Runner, request: &Request, mode: &Mode) -> Option<u16> {
    let head = &request.head;
    let id = head.get("expect-instance");
    if id.is_some_and(|id| id != runner.settings.id) {
        return Some(421);
    }
    let model = head.get("model").and_then(|m| m.split('/').next());
    let state = runner.state.lock();
    if model.is_some_and(|m| !state.models.iter().any(|known| known == m)) {
        return Some(421);
    }
    rand::rng().random_bool(mode.refuse).then_some(503)
}

async fn run(runner: &Arc<Runner>, wire: &mut Wire, request: &Request) -> io::Result<bool> {
    let mode = runner.mode();
    let is_stream = request.head.get("model").is_some();
    let refused = refusal(runner, request, &mode);
    let mut slot = match refused {
        Some(_) => None,
        None => Slot::take(runner),
    };
    let fails = !is_stream && rand::rng().random_bool(mode.errors);
    let status = match (refused, &slot) {
        (Some(status), _) => status,
        (None, None) => 503,
        (None, Some(_)) if fails => 500,
        _ => 200,
    };
    let has_backoff = status == 503 && mode.retry_after > 0.0;
    let retry_after = has_backoff.then_some(mode.retry_after);
    let number = |name| request.head.get(name).and_then(|v| v.parse().ok());
    let settings = &runner.settings;
    runner.note(&Record::Arrival {
        at: request.at,
        attempt: request.attempt.clone(),
        service: settings.service.clone(),
        runner: settings.id.clone(),
        version: settings.version.clone(),
        deadline: number("deadline-ms"),
        after: number("last-event-id").map(|id| event_number(settings.id_step, id)),
        ran: slot.is_some(),
        status,
        retry_after: retry_after.map(millis),
    });
    if slot.is_none() {
        if refused.is_none() {
            runner.reject(&request.attempt);
        }
        answer(runner, wire, status, request, "", retry_after).await?;
        if mode.twice {
            sleep(Duration::from_millis(20)).await;
            answer(runner, wire, status, request, "", retry_after).await?;
        }
        return Ok(!request.head.closes());
    }
    if let Some(slot) = &mut slot {
        let begun = async {
            slot.begin().await;
            Ok(())
        };
        begun.or(gone(wire)).await?;
    }
    if is_stream {
        let after = number("last-event-id").map(|id| event_number(settings.id_step, id));
        return stream(runner, wire, request, &mode, after).await;
    }
    let work = async {
        sleep(RUN_TIME.mul_f64(mode.slow)).await;
        Ok(())
    };
    work.or(gone(wire)).await?;
    let body = format!("ran {} at {}", request.attempt, settings.id);
    runner.note(&made(runner, request, &body));
    answer(runner, wire, status, request, &body, None).await?;
    Ok(!request.head.closes())
}

fn millis(seconds: f64) -> u64 {
    let span = Duration::from_secs_f64(seconds);
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn made(runner: &Runner, request: &Request, text: &str) -> Record {
    Record::Made {
        attempt: request.attempt.clone(),
        runner: runner.settings.id.clone(),
        text: text.to_owned(),
    }
}

/// Waits until the caller closes the connection.
async fn gone(wire: &mut Wire) -> io::Result<()> {
    while wire.fill().await? {}
    Err(io::ErrorKind::BrokenPipe.into())
}

/// Returns the text of an event, with what the judge needs to check its ID.
fn event_text(settings: &RunnerSettings, number: u64, last: u64) -> String {
    let step = settings.id_step;
    let id = event_id(step, number);
    let place = format!("{number}/{last}");
    let data = format!("{} {} {place}", settings.id, settings.version);
    match step {
        1 => format!("id: {id}\ndata: {data}"),
        _ => format!("id: {id}\ndata: {data} {step}"),
    }
}

/// Sends the events of a stream behind `after`; returns whether the connection may be
/// used again.
async fn stream(
    runner: &Arc<Runner>,
    wire: &mut Wire,
    request: &Request,
    mode: &Mode,
    after: Option<u64>,
) -> io::Result<bool> {
    let (is_unframed, is_cut, is_early, is_anew) = {
        let mut random = rand::rng();
        (
            random.random_bool(mode.unframed),
            random.random_bool(mode.cut),
            random.random_bool(mode.early),
            random.random_bool(mode.anew),
        )
    };
    let settings = &runner.settings;
    if is_unframed {
        runner.note(&Record::Unframed {
            attempt: request.attempt.clone(),
            runner: settings.id.clone(),
        });
    }
    let last = last_event(request.head.word(1));
    let first = after.filter(|_| !is_anew).unwrap_or(0) + 1;
    let framing = if is_unframed {
        ("Connection", "close")
    } else {
        ("Transfer-Encoding", "chunked")
    };
    let tolerance = tolerance(runner);
    let mut headers = vec![
        ("Content-Type", "text/event-stream"),
        ("Instance-Id", &settings.id),
        ("Attempt-Id", &request.attempt),
        ("Server-Seal", SEAL),
        framing,
    ];
    headers.extend(tolerance.as_deref().map(|t| ("Server-Brittle", t)));
    let pause = EVENT_INTERVAL.mul_f64(mode.slow);
    sleep(pause).await;
    wire.write(head("HTTP/1.1 200 OK", &headers).as_bytes())
        .await?;
    for number in first..=last {
        let wait = async {
            sleep(pause).await;
            Ok(())
        };
        wait.or(gone(wire)).await?;
        if runner.has_fallen() {
            return Ok(false);
        }
        while runner.mode().silent {
            sleep(Duration::from_millis(50)).await;
        }
        let text = event_text(settings, number, last);
        let is_break = number > first + 2;
        if is_break && is_early && is_unframed {
            runner.note(&Record::Stopped {
                attempt: request.attempt.clone(),
                runner: settings.id.clone(),
            });
            return Ok(false);
        }
        let message = format!("{text}\n\n");
        if is_break && is_cut {
            let half = &message[..message.len() / 2];
            let half = if is_unframed {
                half.to_owned()
            } else {
                chunk(half)
            };
            wire.write(half.as_bytes()).await?;
            return Ok(false);
        }
        runner.note(&made(runner, request, &text));
        let message = if is_unframed {
            message
        } else {
            chunk(&message)
        };
        wire.write(message.as_bytes()).await?;
    }
    if is_unframed {
        return Ok(false);
    }
    wire.write(b"0\r\n\r\n").await?;
    Ok(!request.head.closes())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the number of events that the path asks for.
fn last_event(path: &str) -> u64 {
    let number = path.rsplit('/').next().and_then(|n| n.parse().ok());
    number.unwrap_or(10)
}

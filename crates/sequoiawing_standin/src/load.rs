use crate::load_report::{LoadReport, Outcome};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response,
    header::{self, HeaderValue},
};
use parking_lot::Mutex;
use sequoiawing_http::{Body, Client, ClientBody, from_bytes};
use sequoiawing_runtime::{Clock, sleep, spawn};
use sequoiawing_settings::Check;
use sequoiawing_types::{Findings, Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The header with the request ID, which routers echo.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The number of different response lengths, by which a response to another
/// request is detected.
const LENGTH_COUNT: u64 = 7;

/// One of several customers of a load test.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LoadCustomer {
    /// The name of the customer in the report.
    pub name: Name,
    /// The key of the customer.
    pub key: String,
    /// The number of requests per second.
    pub rate: u64,
}

/// The settings of a load test.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct LoadSettings {
    /// The routers that requests are sent to, in rotation.
    pub routers: Vec<SocketAddr>,
    /// The path of the requests.
    pub path: String,
    /// The key of a single customer.
    pub key: String,
    /// The number of requests per second of a single customer.
    pub rate: u64,
    /// Several customers, which replace the single one.
    pub customers: Vec<LoadCustomer>,
    /// The models that are requested, in rotation; none for a plain service.
    pub models: Vec<String>,
    /// The duration of the test, in milliseconds.
    pub span: u64,
    /// The minimum number of tokens that a request asks for.
    pub tokens: u64,
    /// Whether responses are streamed.
    pub stream: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            routers: Vec::new(),
            path: "/v1/completions".to_owned(),
            key: String::new(),
            rate: 10,
            customers: Vec::new(),
            models: Vec::new(),
            span: 5_000,
            tokens: 16,
            stream: false,
        }
    }
}

impl LoadSettings {
    fn customers(&self) -> Vec<LoadCustomer> {
        if !self.customers.is_empty() {
            return self.customers.clone();
        }
        vec![LoadCustomer {
            name: Name::from("customer"),
            key: self.key.clone(),
            rate: self.rate,
        }]
    }
}

impl Check for LoadSettings {
    fn check(&self, findings: &mut Findings) {
        if self.routers.is_empty() {
            findings.push("routers", "must name at least one router");
        }
        if self.customers.is_empty() && self.rate == 0 {
            findings.push("rate", "must be at least 1 request a second");
        }
        for (i, customer) in self.customers.iter().enumerate() {
            if customer.rate == 0 {
                let place = format!("customers[{i}].rate");
                findings.push(place, "must be at least 1 request a second");
            }
        }
        if self.tokens == 0 {
            findings.push("tokens", "must be at least 1");
        }
    }
}

/// Sends requests at constant rates, independent of the response times.
///
/// Times are measured from the moment at which a request was due, so that delays
/// in the load test or in a router count.
pub async fn run_load(settings: LoadSettings) -> LoadReport {
    let settings = Arc::new(settings);
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let clock = Clock::start();
    let client = Client::new(Duration::from_secs(2));
    let senders: Vec<_> = settings
        .customers()
        .into_iter()
        .map(|customer| {
            let sender = Sender {
                settings: settings.clone(),
                client: client.clone(),
                report: report.clone(),
                customer: Arc::new(customer),
                clock,
            };
            spawn(sender.run())
        })
        .collect();
    for sender in senders {
        sender.await;
    }
    std::mem::take(&mut *report.lock())
}

/// Sends the requests of one customer.
#[derive(Clone)]
struct Sender {
    settings: Arc<LoadSettings>,
    client: Client,
    report: Arc<Mutex<LoadReport>>,
    customer: Arc<LoadCustomer>,
    clock: Clock,
}

impl Sender {
    async fn run(self) {
        let rate = self.customer.rate.max(1);
        let count = (rate * self.settings.span / 1_000).max(1);
        let mut tasks = Vec::new();
        for i in 0..count {
            let due = Duration::from_micros(i * 1_000_000 / rate);
            let wait = due.saturating_sub(self.clock.elapsed());
            if !wait.is_zero() {
                sleep(wait).await;
            }
            let sender = self.clone();
            tasks.push(spawn(async move {
                let outcome = sender.send(i, due).await;
                let mut report = sender.report.lock();
                report.record(&sender.customer.name, &outcome);
            }));
        }
        for task in tasks {
            task.await;
        }
    }

    async fn send(&self, i: u64, due: Duration) -> Outcome {
        let tokens = self.settings.tokens + i % LENGTH_COUNT;
        let id = format!("{}-{i}", self.customer.name);
        let Some((router, request)) = self.request(i, &id, tokens) else {
            return Outcome::default();
        };
        let body = request_text(i);
        let Ok(response) = self.client.send(router, request).await else {
            return Outcome::default();
        };
        let mut outcome = Outcome {
            status: response.status().as_u16(),
            ..Outcome::default()
        };
        let echoed = response
            .headers()
            .get(REQUEST_ID_HEADER)
            .map(HeaderValue::as_bytes);
        outcome.wrong = echoed.is_some_and(|e| e != id.as_bytes());
        let Some(text) = self.read_body(response, due, &mut outcome).await else {
            outcome.status = 0;
            return outcome;
        };
        if outcome.status == 200 && !self.is_expected(&text, &body, tokens) {
            outcome.wrong = true;
        }
        outcome
    }

    async fn read_body(
        &self,
        response: Response<ClientBody>,
        due: Duration,
        outcome: &mut Outcome,
    ) -> Option<Bytes> {
        let mut body = response.into_body();
        let mut text = BytesMut::new();
        let mut last_part = None;
        while let Some(frame) = body.frame().await {
            let now = self.clock.elapsed();
            match last_part {
                None => outcome.first = Some(now.saturating_sub(due)),
                Some(previous) => outcome.gaps.push(now.saturating_sub(previous)),
            }
            last_part = Some(now);
            text.extend_from_slice(&frame.ok()?.into_data().unwrap_or_default());
        }
        outcome.took = self.clock.elapsed().saturating_sub(due);
        Some(text.freeze())
    }

    fn request(&self, i: u64, id: &str, tokens: u64) -> Option<(SocketAddr, Request<Body>)> {
        let settings = &self.settings;
        let index = |len: usize| usize::try_from(i).unwrap_or(0) % len.max(1);
        let router = *settings.routers.get(index(settings.routers.len()))?;
        let body = match settings.models.get(index(settings.models.len())) {
            Some(model) if !model.is_empty() => {
                let body = serde_json::json!({
                    "model": model,
                    "prompt": request_text(i),
                    "max_tokens": tokens,
                    "stream": settings.stream,
                });
                body.to_string()
            }
            _ => request_text(i),
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(&settings.path)
            .header(header::HOST, router.to_string())
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.customer.key),
            )
            .header(REQUEST_ID_HEADER, id)
            .body(from_bytes(body));
        Some((router, request.ok()?))
    }

    /// Returns whether a response is complete and belongs to its request.
    fn is_expected(&self, text: &[u8], body: &str, tokens: u64) -> bool {
        let text = String::from_utf8_lossy(text);
        if self.settings.models.iter().all(String::is_empty) {
            return text == format!("done: {body}");
        }
        let last_token = format!("w{}\"", tokens - 1);
        let is_ended = !self.settings.stream || text.ends_with("data: [DONE]\n\n");
        is_ended && text.contains(&last_token) && !text.contains(&format!("w{tokens}\""))
    }
}

fn request_text(i: u64) -> String {
    format!("request {i}")
}

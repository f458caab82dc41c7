//! Callers that follow the users' pages: kept connections until they break, new tries
//! on new connections, take-ups of streams, and pauses that refusals name.

use crate::{
    record::{End, Record, Sent, now_ms},
    wire::{Wire, head},
};
use parking_lot::Mutex;
use rand::RngExt;
use sequoiawing_runtime::{sleep, timeout};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The gap after which a caller abandons a stream: eight event gaps of its route.
const STREAM_GAP: Duration = Duration::from_millis(4_800);

/// The time a caller waits beyond its deadline.
const PATIENCE: Duration = Duration::from_secs(1);

/// The bytes of a request that a slow caller sends first.
const FIRST_BYTES: usize = 20;

/// The longest time until it sends the others.
const SLOWEST: Duration = Duration::from_secs(7);

/// The tries after the first of a request, or of a stream that broke off.
const RETRIES: usize = 3;

/// A route as callers use it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) prefix: &'static str,
    pub(crate) service: &'static str,
    pub(crate) is_repeatable: bool,
    pub(crate) is_stream: bool,
    pub(crate) max_attempts: usize,
    pub(crate) deadline: u64,
}

/// The services of a run.
pub(crate) const STREAMS: &str = "scribes";
pub(crate) const PLAIN: &str = "desk";

/// The routes of a run.
pub(crate) const ROUTES: [Route; 4] = [
    Route {
        prefix: "/a/",
        service: STREAMS,
        is_repeatable: false,
        is_stream: true,
        max_attempts: 2,
        deadline: 8_000,
    },
    Route {
        prefix: "/b/",
        service: STREAMS,
        is_repeatable: true,
        is_stream: true,
        max_attempts: 3,
        deadline: 12_000,
    },
    Route {
        prefix: "/c/",
        service: PLAIN,
        is_repeatable: false,
        is_stream: false,
        max_attempts: 2,
        deadline: 4_000,
    },
    Route {
        prefix: "/d/",
        service: PLAIN,
        is_repeatable: true,
        is_stream: false,
        max_attempts: 3,
        deadline: 4_000,
    },
];

/// What all callers share.
pub(crate) struct Callers {
    /// The addresses of the gateways.
    pub(crate) gateways: Vec<SocketAddr>,
    /// Whether each is in rotation.
    pub(crate) rotation: Vec<AtomicBool>,
    pub(crate) records: Mutex<Vec<Record>>,
    pub(crate) is_over: AtomicBool,
}

/// How a try ended.
struct Outcome {
    status: u16,
    end: End,
    /// The last event that came.
    last: Option<u64>,
    /// The pause that the answer asks for, in seconds.
    pause: Option<f64>,
}

/// A caller with the connection that it keeps.
pub(crate) struct Caller {
    shared: Arc<Callers>,
    kept: Option<(usize, Wire)>,
    /// Whether it waits as long as refusals ask for.
    is_patient: bool,
    /// Whether its requests arrive in two parts.
    is_slow: bool,
}

impl Callers {
    pub(crate) fn note(&self, record: Record) {
        self.records.lock().push(record);
    }

    /// Picks a gateway in rotation, any if fewer than half are.
    fn pick(&self) -> usize {
        let ready: Vec<usize> = (0..self.gateways.len())
            .filter(|i| self.rotation[*i].load(Ordering::Relaxed))
            .collect();
        let mut random = rand::rng();
        if ready.len() * 2 < self.gateways.len() {
            return random.random_range(0..self.gateways.len());
        }
        ready[random.random_range(0..ready.len())]
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

impl Caller {
    pub(crate) fn new(shared: Arc<Callers>, is_patient: bool, is_slow: bool) -> Self {
        Self {
            shared,
            kept: None,
            is_patient,
            is_slow,
        }
    }

    /// Sends requests until the run is over.
    pub(crate) async fn run(mut self) {
        while !self.shared.is_over() {
            let (route, events, think, is_new) = {
                let mut random = rand::rng();
                let route = ROUTES[[0, 1, 1, 2, 2, 2, 3, 3, 3, 3][random.random_range(0..10)]];
                let events = random.random_range(5..30);
                let think = random.random_range(50..600);
                (route, events, think, random.random_bool(0.3))
            };
            if is_new {
                self.kept = None;
            }
            if route.is_stream {
                self.stream(&route, events).await;
            } else {
                self.plain(&route).await;
            }
            sleep(Duration::from_millis(think)).await;
        }
    }

    /// Sends a request until it is answered, within the tries.
    async fn plain(&mut self, route: &Route) {
        for _ in 0..=RETRIES {
            let outcome = self.send(route, 0, None, None).await;
            let is_refusal = matches!(outcome.status, 429 | 503);
            if !is_refusal && (outcome.end == End::Whole || !route.is_repeatable) {
                return;
            }
            self.wait(&outcome).await;
        }
    }

    /// Reads a stream, and takes it up again behind its last event when it breaks off.
    async fn stream(&mut self, route: &Route, events: u64) {
        let mut first = None;
        let mut last = None;
        for _ in 0..=RETRIES {
            let resumed = first.as_ref().zip(last);
            let attempt = new_attempt();
            let outcome = self.send(route, events, Some(&attempt), resumed).await;
            let is_success = (200..300).contains(&outcome.status);
            if is_success && outcome.end == End::Whole {
                return;
            }
            if outcome.last.is_some() {
                first.get_or_insert(attempt);
                last = outcome.last;
            }
            if last.is_some() && !route.is_repeatable {
                return;
            }
            self.wait(&outcome).await;
        }
    }

    async fn wait(&mut self, outcome: &Outcome) {
        self.kept = None;
        let pause = outcome.pause.filter(|_| self.is_patient);
        let pause = pause.unwrap_or(0.1).clamp(0.0, 5.0);
        sleep(Duration::from_secs_f64(pause)).await;
    }

    /// Sends one try and records all that comes.
    async fn send(
        &mut self,
        route: &Route,
        events: u64,
        attempt: Option<&str>,
        resumed: Option<(&String, u64)>,
    ) -> Outcome {
        let attempt = attempt.map_or_else(new_attempt, str::to_owned);
        let (gateway, mut wire) = match self.kept.take() {
            Some((gateway, wire)) => (gateway, Some(wire)),
            None => (self.shared.pick(), None),
        };
        let address = self.shared.gateways[gateway];
        let mut message = request(route, events, &attempt, resumed);
        if self.is_slow && wire.is_none() {
            let rest = message.split_off(FIRST_BYTES);
            wire = begin(address, &message).await;
            let begun = std::mem::replace(&mut message, rest);
            if wire.is_none() {
                message.insert_str(0, &begun);
            }
        }
        self.shared.note(Record::Sent(Sent {
            at: now_ms(),
            attempt: attempt.clone(),
            service: route.service.to_owned(),
            is_repeatable: route.is_repeatable,
            is_stream: route.is_stream,
            max_attempts: route.max_attempts,
            deadline: route.deadline,
            resumes: resumed.map(|(first, _)| first.clone()),
            gateway,
        }));
        let mut exchange = Exchange {
            shared: self.shared.clone(),
            attempt: attempt.clone(),
            outcome: Outcome {
                status: 0,
                end: End::Broken,
                last: None,
                pause: None,
            },
            rest: Vec::new(),
            wire,
        };
        let limit = Duration::from_millis(route.deadline) + PATIENCE;
        let done = timeout(limit, exchange.run(address, &message, route)).await;
        if done.is_none() {
            exchange.outcome.end = End::Abandoned;
        }
        let outcome = exchange.outcome;
        self.shared.note(Record::Ended {
            at: now_ms(),
            attempt,
            end: outcome.end,
            body: String::from_utf8_lossy(&exchange.rest).into_owned(),
        });
        if done == Some(true) {
            self.kept = exchange.wire.map(|wire| (gateway, wire));
        }
        outcome
    }
}

/// One request on one connection.
struct Exchange {
    shared: Arc<Callers>,
    attempt: String,
    outcome: Outcome,
    /// What came and is no whole event.
    rest: Vec<u8>,
    wire: Option<Wire>,
}

impl Exchange {
    /// Returns whether the connection may be used again.
    async fn run(&mut self, address: SocketAddr, message: &str, route: &Route) -> bool {
        if self.wire.is_none() {
            self.wire = Wire::connect(address).await.ok();
        }
        let Some(mut wire) = self.wire.take() else {
            return false;
        };
        if wire.write(message.as_bytes()).await.is_err() {
            return false;
        }
        let Ok(head) = wire.read_head().await else {
            return false;
        };
        self.outcome.status = head.status();
        self.outcome.pause = head.get("retry-after").and_then(|v| v.parse().ok());
        self.shared.note(Record::Head {
            attempt: self.attempt.clone(),
            status: head.status(),
            is_sealed: head.get("server-seal").is_some(),
            echo: head.get("attempt-id").map(str::to_owned),
        });
        let mut framing = head.response_framing();
        let closes = head.closes() || framing == crate::wire::Framing::Close;
        let is_stream = route.is_stream && (200..300).contains(&head.status());
        loop {
            let part = if is_stream {
                timeout(STREAM_GAP, wire.read_part(&mut framing)).await
            } else {
                Some(wire.read_part(&mut framing).await)
            };
            match part {
                None => {
                    self.outcome.end = End::Abandoned;
                    return false;
                }
                Some(Err(_)) => return false,
                Some(Ok(None)) => break,
                Some(Ok(Some(part))) => self.rest.extend(part),
            }
            if is_stream {
                self.take_events();
            }
        }
        self.rest.extend_from_slice(wire.ahead());
        self.outcome.end = End::Whole;
        let is_clean = wire.ahead().is_empty();
        self.wire = Some(wire);
        is_clean && !closes
    }

    fn take_events(&mut self) {
        while let Some(end) = self.rest.windows(2).position(|w| w == b"\n\n") {
            let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            self.rest.drain(..end + 2);
            let id = text.strip_prefix("id: ").and_then(|t| t.split('\n').next());
            self.outcome.last = id.and_then(|id| id.parse().ok()).or(self.outcome.last);
            self.shared.note(Record::Event {
                at: now_ms(),
                attempt: self.attempt.clone(),
                text,
            });
        }
    }
}

/// Sends the first bytes of a request, and lets the others wait.
async fn begin(address: SocketAddr, first: &str) -> Option<Wire> {
    let mut wire = Wire::connect(address).await.ok()?;
    wire.write(first.as_bytes()).await.ok()?;
    let wait = rand::rng().random_range(Duration::ZERO..SLOWEST);
    sleep(wait).await;
    Some(wire)
}

fn new_attempt() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Writes a request.
fn request(route: &Route, events: u64, attempt: &str, resumed: Option<(&String, u64)>) -> String {
    let deadline = route.deadline.to_string();
    let last = resumed.map(|(_, last)| last.to_string());
    let mut headers = vec![
        ("Host", "h.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", &deadline),
        ("Key", "key-of-daily"),
        ("Content-Length", "4"),
    ];
    if route.is_stream {
        let model = ["m0", "m1"][attempt.len() % 2];
        headers.push(("Model", model));
        headers.push(("Token-Counts", "100,20"));
    }
    if let (Some((first, _)), Some(last)) = (resumed, &last) {
        headers.push(("Resumes", first));
        headers.push(("Last-Event-Id", last));
    }
    let first = format!("POST {}{events} HTTP/1.1", route.prefix);
    head(&first, &headers) + "body"
}

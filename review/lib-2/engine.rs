//! A runner that loads models on order: announces itself, carries out orders, serves streams.

use crate::{record::Record, runner::heartbeat_address, wire};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The memory of the runner for weights, in MB.
pub const WEIGHTS_MB: u64 = 200_000;

/// The models, with their weights in MB.
pub const MODELS: [(&str, u64); 6] = [
    ("model-a", 65_500),
    ("model-b", 65_100),
    ("model-c", 65_100),
    ("model-x", 72_700),
    ("model-y", 72_700),
    ("model-z", 72_700),
];

/// The time of a load from the runner's disk.
const DISK_LOAD: Duration = Duration::from_millis(500);

const CALL_LIMIT: Duration = Duration::from_secs(1);

/// An order as the runner received it.
#[derive(Clone, Debug)]
struct Order {
    op: String,
    model: String,
    precondition: Option<u64>,
    holder: String,
    fence: u64,
}

/// The order to load a model that is not answered, and carried out later.
#[derive(Clone)]
pub struct LateOrder {
    pub model: &'static str,
    pub delay: Duration,
    /// Whether the next one is; the runners share this.
    pub is_next: Arc<AtomicBool>,
}

/// What a process of the runner has; a restart begins anew.
#[derive(Default)]
struct State {
    born: u128,
    loaded: Vec<String>,
    loading: Option<(String, Instant)>,
    seq: u64,
    fence: u64,
    beats: u64,
    connections: Vec<TcpStream>,
}

pub struct Engine {
    id: String,
    service: String,
    address: SocketAddr,
    nodes: Vec<SocketAddr>,
    state: Mutex<State>,
    is_down: AtomicBool,
    late: LateOrder,
    /// How many orders would have exceeded the memory.
    pub exceeded: AtomicU64,
    /// Whether it has received the order that may be late.
    pub was_ordered: AtomicBool,
    record: Record,
}

fn weights(model: &str) -> u64 {
    MODELS
        .iter()
        .find(|(name, _)| *name == model)
        .map_or(0, |(_, mb)| *mb)
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    Some(match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next()?,
        None => rest.split([',', '}']).next()?.trim(),
    })
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        held: &[&str],
        nodes: Vec<SocketAddr>,
        late: LateOrder,
        record: Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            nodes,
            state: Mutex::default(),
            is_down: AtomicBool::new(false),
            late,
            exceeded: AtomicU64::new(0),
            was_ordered: AtomicBool::new(false),
            record,
        });
        engine.begin(held);
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A machine whose runner is down answers no connection with an answer.
                if serving.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.state.lock().unwrap().connections.push(copy);
                }
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beating = engine.clone();
        thread::spawn(move || beating.send_heartbeats());
        Ok(engine)
    }

    /// Begins a process that holds some models.
    fn begin(&self, held: &[&str]) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        *self.state.lock().unwrap() = State {
            born: born.as_millis(),
            loaded: held.iter().map(ToString::to_string).collect(),
            ..State::default()
        };
        self.record.line(&format!(
            "{} starts, born {}, holds {held:?}",
            self.id,
            born.as_millis()
        ));
    }

    /// Crashes: all connections end, and what was in memory is gone.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        for stream in state.connections.drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        state.loaded.clear();
        state.loading = None;
        self.record.line(&format!("{} crashes", self.id));
    }

    /// Starts again under its id; its disk has kept the copies of all weights.
    pub fn restart(&self) {
        self.begin(&[]);
        self.is_down.store(false, Ordering::SeqCst);
    }

    pub fn holds(&self, model: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        Self::settle(&mut state);
        state.loaded.iter().any(|held| held == model)
    }

    /// Ends a load whose time has come.
    fn settle(state: &mut State) {
        if let Some((model, due)) = state.loading.take() {
            if Instant::now() >= due {
                state.loaded.push(model);
            } else {
                state.loading = Some((model, due));
            }
        }
    }

    fn models(state: &State) -> String {
        let models: Vec<String> = state
            .loaded
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"))
            .collect();
        models.join(",")
    }

    fn send_heartbeats(&self) {
        let mut next: Option<SocketAddr> = None;
        let mut told = String::new();
        let mut last = Instant::now() - Duration::from_secs(5);
        loop {
            thread::sleep(Duration::from_millis(50));
            if self.is_down.load(Ordering::SeqCst) {
                continue;
            }
            let (body, models) = {
                let mut state = self.state.lock().unwrap();
                Self::settle(&mut state);
                state.beats += 1;
                let models = Self::models(&state);
                let disk: Vec<String> = MODELS
                    .iter()
                    .map(|(name, _)| format!("\"{name}\""))
                    .collect();
                let body = format!(
                    "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"khomas-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"mixed\",\"models\":[{models}],\"at_hand\":{{\"in_memory\":[],\"on_disk\":[{}]}},\"seq\":{},\"born\":{}}}",
                    self.service,
                    self.address,
                    disk.join(","),
                    state.beats,
                    state.born
                );
                (body, models)
            };
            // At its interval, and when a load or an unload has ended.
            if last.elapsed() < Duration::from_millis(1_200) && models == told {
                continue;
            }
            told = models;
            last = Instant::now();
            let path = format!("/Instances.Heartbeat/{}", self.id);
            for node in next
                .iter()
                .copied()
                .chain(self.nodes.clone())
                .collect::<Vec<_>>()
            {
                let answer = wire::post(node, &path, &body, CALL_LIMIT);
                if let Some(answer) = answer.ok().filter(|answer| answer.status() == 200) {
                    next = heartbeat_address(&answer.text()).or(Some(node));
                    break;
                }
                next = None;
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = wire::read_head(&mut reader) {
            if !wire::read_body(&mut reader, &mut request, false) {
                return;
            }
            let Some(answer) = self.answer(&request) else {
                // Not answered: the caller gives up.
                thread::sleep(Duration::from_secs(3));
                return;
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &wire::Message) -> Option<String> {
        let reply = |status: &str, body: &str| {
            Some(format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            ))
        };
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return reply("421 Misdirected Request", "");
        }
        if request.first.starts_with("GET /report ") {
            let mut state = self.state.lock().unwrap();
            Self::settle(&mut state);
            let body = format!(
                "{{\"stage\":\"mixed\",\"models\":[{}],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":232000,\"handles\":0}}",
                Self::models(&state),
                state.loading.is_some(),
                state.seq
            );
            self.record.line(&format!("{} reports {body}", self.id));
            return reply("200 OK", &body);
        }
        if request.first.starts_with("POST /order ") {
            let text = request.text();
            let order = Order {
                op: field(&text, "op")?.to_owned(),
                model: field(&text, "model")?.to_owned(),
                precondition: field(&text, "precondition").and_then(|p| p.parse().ok()),
                holder: field(&text, "holder")?.to_owned(),
                fence: field(&text, "fence")?.parse().ok()?,
            };
            let is_it = order.op == "loading" && order.model == self.late.model;
            if is_it {
                self.was_ordered.store(true, Ordering::SeqCst);
            }
            if is_it && self.late.is_next.swap(false, Ordering::SeqCst) {
                self.record
                    .line(&format!("{} leaves unanswered {order:?}", self.id));
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(engine.late.delay);
                    let status = engine.carry_out(&order);
                    engine.record.line(&format!(
                        "{} carries out late: {status} for {order:?}",
                        engine.id
                    ));
                });
                return None;
            }
            let status = self.carry_out(&order);
            self.record
                .line(&format!("{} answers {status} to {order:?}", self.id));
            return reply(status, "");
        }
        let attempt = request.header("attempt-id").unwrap_or("");
        let model = request.header("model").unwrap_or("");
        if !self.holds(model) {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        self.record
            .line(&format!("{} runs {attempt} of {model}", self.id));
        Some(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}.{attempt}\r\nInstance-Id: {}\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.id,
            body.len()
        ))
    }

    /// Carries out an order; returns the status of the answer.
    fn carry_out(&self, order: &Order) -> &'static str {
        let mut state = self.state.lock().unwrap();
        Self::settle(&mut state);
        if order.fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = order.fence;
        if state.loading.is_some() || order.precondition.is_some_and(|p| p != state.seq) {
            return "409 Conflict";
        }
        let is_held = state.loaded.contains(&order.model);
        if is_held == (order.op == "loading") {
            return "200 OK";
        }
        state.seq += 1;
        if order.op == "unloading" {
            state.loaded.retain(|model| *model != order.model);
            return "202 Accepted";
        }
        let held: u64 = state.loaded.iter().map(|model| weights(model)).sum();
        let needed = held + weights(&order.model);
        self.record.line(&format!(
            "{} is ordered to hold {needed} MB of {WEIGHTS_MB} MB by {}",
            self.id, order.holder
        ));
        if needed > WEIGHTS_MB {
            self.exceeded.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!(
                "EXCEEDED: {} holds {:?} and is ordered to load {}",
                self.id, state.loaded, order.model
            ));
        }
        state.loading = Some((order.model.clone(), Instant::now() + DISK_LOAD));
        "202 Accepted"
    }
}

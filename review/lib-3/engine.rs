//! A model runner, as PROTOCOL.md tells it.

use crate::{
    net::{Head, read_body, read_head},
    record::Record,
};
use std::{
    collections::{BTreeMap, VecDeque},
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long ago the state was that a report tells.
const REPORT_AGE: Duration = Duration::from_millis(300);

/// How long an adapter is on its way.
const ADAPTER_TIME: Duration = Duration::from_millis(9);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a runner holds of one model: its adapters and the state of each.
#[derive(Clone, Debug, Default)]
struct Adapter {
    is_coming: bool,
    runs: u32,
    is_leaving: bool,
}

#[derive(Debug)]
struct State {
    models: BTreeMap<String, BTreeMap<String, Adapter>>,
    seq: u64,
    fence: u64,
    /// The earlier bodies of `GET /report`.
    reports: VecDeque<(Instant, String)>,
    connections: Vec<TcpStream>,
    is_crashed: bool,
    /// Why the runner crashed.
    overload: Option<String>,
    running: u32,
    is_draining: bool,
    /// When the departure was acknowledged.
    departed: Option<Instant>,
    /// Requests that arrived, and were not answered 421.
    arrivals: Vec<Instant>,
}

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// The model that it holds at its start; none for a plain service.
    pub model: Option<String>,
    pub adapter_slots: usize,
    /// How far the ids of two events of a stream lie apart. They increase.
    pub id_step: u64,
    /// How long a connection may be idle before the runner closes it.
    pub idle: Option<Duration>,
    pub controls: Vec<SocketAddr>,
}

/// A runner in this process.
pub struct Engine {
    pub settings: Settings,
    record: Record,
    born: u128,
    state: Mutex<State>,
    heartbeats: AtomicU64,
    /// Of so many answers one ends with its connection, without a length; 0 for none.
    unframed: AtomicU64,
    answers: AtomicU64,
}

impl Engine {
    pub fn start(settings: Settings, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(settings.address).expect("the runner's address is free");
        let models = settings.model.iter().map(|m| (m.clone(), BTreeMap::new()));
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            state: Mutex::new(State {
                models: models.collect(),
                seq: 0,
                fence: 0,
                reports: VecDeque::new(),
                connections: Vec::new(),
                is_crashed: false,
                overload: None,
                running: 0,
                is_draining: false,
                departed: None,
                arrivals: Vec::new(),
            }),
            settings,
            record: record.clone(),
            born: since.expect("a time after 1970").as_millis(),
            heartbeats: AtomicU64::new(0),
            unframed: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        engine.note();
        let accepting = engine.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                if engine.has_crashed() {
                    return;
                }
                spawn(move || engine.serve(stream));
            }
        });
        let beating = engine.clone();
        spawn(move || {
            while !beating.has_crashed() {
                beating.heartbeat();
                sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Lets one of so many answers end with its connection from now on.
    pub fn leave_out_lengths(&self, one_of: u64) {
        self.unframed.store(one_of, Ordering::Relaxed);
    }

    pub fn has_crashed(&self) -> bool {
        self.state.lock().expect("the state is sound").is_crashed
    }

    pub fn overload(&self) -> Option<String> {
        self.state
            .lock()
            .expect("the state is sound")
            .overload
            .clone()
    }

    fn models_json(state: &State) -> String {
        let models = state.models.iter().map(|(model, adapters)| {
            let loaded = adapters.iter().filter(|(_, a)| !a.is_coming);
            let loaded: Vec<String> = loaded.map(|(name, _)| format!("\"{name}\"")).collect();
            format!(
                "{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}",
                loaded.join(",")
            )
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    /// Keeps the state for later reports.
    fn note(&self) {
        let mut state = self.state.lock().expect("the state is sound");
        let coming = state.models.iter().flat_map(|(model, adapters)| {
            let coming = adapters.iter().filter(|(_, a)| a.is_coming);
            coming.map(move |(name, _)| format!("\"{model}/{name}@1\""))
        });
        let coming = coming.collect::<Vec<_>>().join(",");
        let report = format!(
            "{{\"stage\":\"mixed\",\"models\":{},\"busy\":false,\"seq\":{},\"waiting\":0,\
             \"running\":{},\"kv_used\":0,\"kv_total\":218998,\"handles\":0,\"coming\":[{coming}]}}",
            Self::models_json(&state),
            state.seq,
            state.running
        );
        state.reports.push_back((Instant::now(), report));
        while state.reports.len() > 1 && state.reports[1].0.elapsed() >= REPORT_AGE {
            state.reports.pop_front();
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().expect("the state is sound");
        let old = state
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= REPORT_AGE);
        let report = old
            .or(state.reports.front())
            .map(|(_, report)| report.clone());
        report.unwrap_or_default()
    }

    /// Says by its next heartbeats that it leaves, and sends one at once.
    pub fn drain(&self) {
        self.state.lock().expect("the state is sound").is_draining = true;
        self.record.line(&format!(
            "runner {}: says that it is draining",
            self.settings.id
        ));
        self.heartbeat();
    }

    /// Returns when its departure was acknowledged.
    pub fn departed(&self) -> Option<Instant> {
        self.state.lock().expect("the state is sound").departed
    }

    /// Returns when requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state
            .lock()
            .expect("the state is sound")
            .arrivals
            .clone()
    }

    fn heartbeat(&self) {
        let seq = self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1;
        let (engine, is_draining) = {
            let state = self.state.lock().expect("the state is sound");
            let engine = match &self.settings.model {
                Some(_) => format!(
                    ",\"stage\":\"mixed\",\"models\":{}",
                    Self::models_json(&state)
                ),
                None => String::new(),
            };
            (engine, state.is_draining)
        };
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"cold_left_ms\":0,\"born\":{},\"seq\":{seq}{engine}}}",
            self.settings.service,
            self.settings.address,
            self.settings.zone,
            self.settings.slots,
            if is_draining { "draining" } else { "ready" },
            self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.settings.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = crate::net::request("POST", &path, &headers, body.as_bytes());
        for control in &self.settings.controls {
            let limit = Duration::from_secs(1);
            if crate::net::exchange(*control, &request, limit).status == 200 {
                let mut state = self.state.lock().expect("the state is sound");
                if is_draining && state.departed.is_none() {
                    state.departed = Some(Instant::now());
                    self.record.line(&format!(
                        "runner {}: {control} acknowledged that it is draining",
                        self.settings.id
                    ));
                }
                return;
            }
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(self.settings.idle).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        if let Ok(kept) = stream.try_clone() {
            let mut state = self.state.lock().expect("the state is sound");
            state.connections.push(kept);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let (body, is_whole) = read_body(&mut reader, &head, |_| {});
            if !is_whole || self.has_crashed() {
                return;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            if !self.handle(&head, &body, &mut writer) {
                break;
            }
        }
        // A clone of the stream is kept for crashes, so that it does not close by itself.
        writer.shutdown(Shutdown::Both).ok();
    }

    /// Answers a request; returns whether the connection is kept.
    fn handle(self: &Arc<Self>, head: &Head, body: &str, writer: &mut TcpStream) -> bool {
        let own = self.settings.id.as_str();
        if head.get("expect-instance").is_some_and(|id| id != own) {
            return self.answer(head, writer, 421, "Not-Executed: 1\r\n", "");
        }
        match (head.method(), head.path()) {
            ("GET", "/report") => {
                let report = self.report();
                self.answer(head, writer, 200, "", &report)
            }
            ("POST", "/order") => {
                let status = self.order(body);
                self.note();
                if self.has_crashed() {
                    return false;
                }
                self.answer(head, writer, status, "", "{}")
            }
            _ if head.get("attempt-id").is_none() => {
                self.answer(head, writer, 400, "Not-Executed: 1\r\n", "")
            }
            _ => self.run(head, body, writer),
        }
    }

    fn answer(
        &self,
        head: &Head,
        writer: &mut TcpStream,
        status: u16,
        more: &str,
        body: &str,
    ) -> bool {
        let id = head
            .get("attempt-id")
            .map(|id| format!("Attempt-Id: {id}\r\n"));
        let text = format!(
            "HTTP/1.1 {status} Status\r\n{}Instance-Id: {}\r\n{more}Content-Type: \
             application/json\r\nContent-Length: {}\r\n\r\n{body}",
            id.unwrap_or_default(),
            self.settings.id,
            body.len()
        );
        writer.write_all(text.as_bytes()).is_ok()
    }

    /// Takes an order; returns the status.
    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let (op, model, adapter) = (text(body, "op"), text(body, "model"), text(body, "adapter"));
        let status = self.decide(body, &op, &model, &adapter);
        let shown = if adapter.is_empty() {
            model.clone()
        } else {
            format!("{model}/{adapter}")
        };
        self.record.line(&format!(
            "runner {}: order {op} {shown} precondition {:?} holder {} fence {:?} -> {status}",
            self.settings.id,
            number(body, "precondition"),
            text(body, "holder"),
            number(body, "fence"),
        ));
        status
    }

    fn decide(self: &Arc<Self>, body: &str, op: &str, model: &str, adapter: &str) -> u16 {
        let mut state = self.state.lock().expect("the state is sound");
        let Some(fence) = number(body, "fence") else {
            return 400;
        };
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        let is_next = number(body, "precondition").is_none_or(|seq| seq == state.seq);
        // With `BUSY=1` an adapter that waits to be dropped makes the runner busy.
        let waits = |adapter: &Adapter| adapter.is_leaving;
        let mut adapters = state.models.values().flat_map(BTreeMap::values);
        let is_busy = std::env::var_os("BUSY").is_some() && adapters.any(waits);
        if is_busy || !is_next {
            return 409;
        }
        if adapter.is_empty() {
            // The cases have one model, which every runner holds.
            return if op == "loading" && state.models.contains_key(model) {
                200
            } else {
                400
            };
        }
        let Some(adapters) = state.models.get_mut(model) else {
            return 421;
        };
        if op == "unloading" {
            let Some(known) = adapters.get_mut(adapter) else {
                return 200;
            };
            // It stays until its runs have ended. That does not make the runner busy.
            let is_used = known.runs > 0;
            known.is_leaving = true;
            if !is_used {
                adapters.remove(adapter);
            }
            state.seq += 1;
            return if is_used { 202 } else { 200 };
        }
        if adapters.contains_key(adapter) {
            return 200;
        }
        let coming = Adapter {
            is_coming: true,
            ..Adapter::default()
        };
        adapters.insert(adapter.to_owned(), coming);
        state.seq += 1;
        let held: Vec<String> = state
            .models
            .iter()
            .flat_map(|(model, adapters)| adapters.iter().map(move |(a, s)| (model, a, s)))
            .map(|(model, name, state)| {
                let leaving = if state.is_leaving { " (unloading)" } else { "" };
                format!("{model}/{name}{leaving}, {} runs", state.runs)
            })
            .collect();
        if held.len() > self.settings.adapter_slots {
            let cause = format!(
                "ordered to load {model}/{adapter}: {} adapters for {} slots: {}",
                held.len(),
                self.settings.adapter_slots,
                held.join("; ")
            );
            self.crash(&mut state, cause);
            return 0;
        }
        let (model, adapter) = (model.to_owned(), adapter.to_owned());
        drop(state);
        let engine = self.clone();
        spawn(move || {
            sleep(ADAPTER_TIME);
            let mut state = engine.state.lock().expect("the state is sound");
            if let Some(adapters) = state.models.get_mut(&model)
                && let Some(known) = adapters.get_mut(&adapter)
            {
                known.is_coming = false;
            }
            drop(state);
            engine.note();
        });
        202
    }

    /// Ends the runner as a crash does: all connections break, nobody listens any more.
    fn crash(&self, state: &mut State, cause: String) {
        self.record
            .line(&format!("runner {}: CRASH, {cause}", self.settings.id));
        state.overload = Some(cause);
        state.is_crashed = true;
        for connection in state.connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        // Wakes the listener, which ends.
        TcpStream::connect(self.settings.address).ok();
    }

    /// Runs a request. Its body names the number of events and the pause between them.
    fn run(&self, head: &Head, body: &str, writer: &mut TcpStream) -> bool {
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        let wanted = head.get("model").unwrap_or_default().to_owned();
        let (model, adapter) = wanted.split_once('/').unwrap_or((&wanted, ""));
        if self.settings.model.is_some() {
            let refusal = {
                let mut state = self.state.lock().expect("the state is sound");
                let adapters = state.models.get_mut(model);
                let known = adapters.and_then(|adapters| adapters.get_mut(adapter));
                match known {
                    _ if adapter.is_empty() => None,
                    Some(known) if known.is_leaving => Some(503),
                    Some(known) if !known.is_coming => {
                        known.runs += 1;
                        None
                    }
                    _ => Some(421),
                }
            };
            if let Some(status) = refusal {
                self.record.line(&format!(
                    "runner {}: refused {id} {wanted} with {status}",
                    self.settings.id
                ));
                return self.answer(head, writer, status, "Not-Executed: 1\r\n", "");
            }
        }
        {
            let mut state = self.state.lock().expect("the state is sound");
            state.running += 1;
            state.arrivals.push(Instant::now());
        }
        let tenant = match head.bytes("tenant") {
            Some(name) => format!("Tenant {:?}", String::from_utf8_lossy(name)),
            None => "no Tenant".to_owned(),
        };
        self.record.line(&format!(
            "runner {}: runs {id} {} {wanted} ({tenant})",
            self.settings.id,
            head.path()
        ));
        let (is_whole, is_kept) = if self.settings.model.is_some() {
            let last: Option<u64> = head.get("last-event-id").and_then(|v| v.parse().ok());
            self.stream(&id, body, last.unwrap_or_default(), writer)
        } else {
            let seal = "Server-Seal: 3e1b.07\r\n";
            let is_whole = self.answer(head, writer, 200, seal, "{\"done\":true}");
            (is_whole, is_whole)
        };
        self.record.line(&format!(
            "runner {}: ended {id}, {}",
            self.settings.id,
            if is_whole { "whole" } else { "broken off" }
        ));
        let mut state = self.state.lock().expect("the state is sound");
        state.running -= 1;
        if let Some(adapters) = state.models.get_mut(model)
            && let Some(known) = adapters.get_mut(adapter)
        {
            known.runs -= 1;
            if known.runs == 0 && known.is_leaving {
                adapters.remove(adapter);
            }
        }
        drop(state);
        self.note();
        is_kept
    }

    /// Streams the events behind the one with the id `last`.
    /// Returns whether all were sent, and whether the connection is kept.
    fn stream(&self, id: &str, body: &str, last: u64, writer: &mut TcpStream) -> (bool, bool) {
        let mut words = body.split(' ').map(|word| word.trim().parse::<u64>());
        let events = words.next().and_then(Result::ok).unwrap_or(1);
        let gap = words.next().and_then(Result::ok).unwrap_or(10);
        let answer = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let one_of = self.unframed.load(Ordering::Relaxed);
        let has_length = one_of == 0 || answer % one_of != 0;
        let framing = if has_length {
            "Transfer-Encoding: chunked\r\n"
        } else {
            self.record.line(&format!(
                "runner {}: answers {id} without a length",
                self.settings.id
            ));
            ""
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nInstance-Id: {}\r\nServer-Seal: 3e1b.07\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n",
            self.settings.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return (false, false);
        }
        let step = self.settings.id_step;
        for number in last / step + 1..=events {
            let event = format!("id: {}\ndata: part {number} of {events}\n\n", number * step);
            let bytes = if has_length {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            if self.has_crashed() || writer.write_all(bytes.as_bytes()).is_err() {
                return (false, false);
            }
            if number < events {
                sleep(Duration::from_millis(gap));
            }
        }
        if !has_length {
            return (!self.has_crashed(), false);
        }
        let is_whole = !self.has_crashed() && writer.write_all(b"0\r\n\r\n").is_ok();
        (is_whole, is_whole)
    }
}

/// Returns a text of a flat JSON object.
pub fn text(body: &str, key: &str) -> String {
    let Some(at) = body.find(&format!("\"{key}\":\"")) else {
        return String::new();
    };
    let rest = &body[at + key.len() + 4..];
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// Returns a number of a flat JSON object.
pub fn number(body: &str, key: &str) -> Option<u64> {
    let at = body.find(&format!("\"{key}\":"))?;
    let rest = &body[at + key.len() + 3..];
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

//! A runner of a plain service: announces itself, serves requests and leaves.

use crate::{record::Record, wire};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The limit of a call to the system's control interface.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The time until the first part of an answer without a length, and that until the second.
const UNFRAMED_WORK: Duration = Duration::from_millis(300);
const UNFRAMED_PAUSE: Duration = Duration::from_millis(500);

/// Returns the whole body of an answer without a length.
pub fn unframed_body(attempt: &str) -> String {
    format!("grant {attempt}: issued;").repeat(40) + "end of grant"
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    /// The address that it announces.
    pub address: SocketAddr,
    zone: String,
    born: u128,
    seq: AtomicU64,
    /// The time that a request takes.
    work: Duration,
    nodes: Vec<SocketAddr>,
    /// Where heartbeats go, as an acknowledgement said.
    next: Mutex<Option<SocketAddr>>,
    /// Whether nothing passes between the runner and the nodes that serve control.
    pub is_cut: AtomicBool,
    /// Whether it has stopped to send heartbeats.
    pub is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        listens: SocketAddr,
        address: SocketAddr,
        work: Duration,
        nodes: Vec<SocketAddr>,
        record: Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listens)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: "khomas-a".to_owned(),
            born: born.as_millis(),
            seq: AtomicU64::new(0),
            work,
            nodes,
            next: Mutex::new(None),
            is_cut: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
            runs: Mutex::new(Vec::new()),
            record,
        });
        let serving = runner.clone();
        thread::spawn(move || serving.accept(&listener));
        runner.record.announce("accepts");
        let beating = runner.clone();
        thread::spawn(move || beating.send_heartbeats());
        Ok(runner)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            stream.set_nodelay(true).ok();
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
            let runner = self.clone();
            thread::spawn(move || runner.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = wire::read_head(&mut reader) {
            if !wire::read_body(&mut reader, &mut request, false) {
                return;
            }
            if request.first.contains("/unframed") && self.is_for_this(&request) {
                self.answer_without_length(&request, &mut writer);
                return;
            }
            let answer = self.answer(&request);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_for_this(&self, request: &wire::Message) -> bool {
        request
            .header("expect-instance")
            .is_none_or(|id| id == self.id)
    }

    /// Answers in two parts, without a length; the end of the connection ends the body.
    fn answer_without_length(&self, request: &wire::Message, writer: &mut TcpStream) {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        self.record.announce(&format!("runs {attempt}"));
        thread::sleep(UNFRAMED_WORK);
        let body = unframed_body(&attempt);
        let (first, second) = body.split_at(body.len() / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}.{attempt}\r\nInstance-Id: {}\r\nConnection: close\r\n\r\n{first}",
            self.id, self.id
        );
        writer.write_all(head.as_bytes()).ok();
        self.record.announce(&format!("half {attempt}"));
        thread::sleep(UNFRAMED_PAUSE);
        writer.write_all(second.as_bytes()).ok();
        writer.shutdown(std::net::Shutdown::Both).ok();
        self.record.announce(&format!("whole {attempt}"));
    }

    fn answer(&self, request: &wire::Message) -> String {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if request.first.contains(" /healthz ") {
            return format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let at = self.record.line(&format!("{} runs {attempt}", self.id));
        self.runs.lock().unwrap().push(Run {
            at,
            attempt: attempt.clone(),
        });
        thread::sleep(self.work);
        let body = format!("{} ran {attempt}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {}.{attempt}\r\nInstance-Id: {}\r\nInstance-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.id,
            body.len()
        )
    }

    fn send_heartbeats(&self) {
        while !self.is_leaving.load(Ordering::SeqCst) {
            self.heartbeat();
            thread::sleep(Duration::from_millis(1_200));
        }
    }

    /// Sends one heartbeat, to the next node after each failure.
    pub fn heartbeat(&self) {
        let mut targets: Vec<SocketAddr> = self.next.lock().unwrap().iter().copied().collect();
        targets.extend(&self.nodes);
        for target in targets {
            if self.is_leaving.load(Ordering::SeqCst) || self.heartbeat_to(target).is_some() {
                return;
            }
            *self.next.lock().unwrap() = None;
        }
    }

    /// Sends one heartbeat to a node; returns the answer's body if it was acknowledged.
    pub fn heartbeat_to(&self, target: SocketAddr) -> Option<String> {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        if self.is_cut.load(Ordering::SeqCst) {
            self.record.line(&format!(
                "{} heartbeat {seq} to {target}: lost, the link is cut",
                self.id
            ));
            thread::sleep(CALL_LIMIT);
            return None;
        }
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let answer = wire::post(target, &path, &body, CALL_LIMIT);
        let text = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.text()),
            Err(error) => error.to_string(),
        };
        self.record
            .line(&format!("{} heartbeat {seq} to {target}: {text}", self.id));
        let answer = answer.ok().filter(|answer| answer.status() == 200)?;
        let body = answer.text();
        *self.next.lock().unwrap() = heartbeat_address(&body).or(Some(target));
        Some(body)
    }

    /// Says that it leaves, in one call to a node; returns whether that was acknowledged.
    pub fn deregister_at(&self, target: SocketAddr) -> bool {
        self.is_leaving.store(true, Ordering::SeqCst);
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!("{{\"seq\":{seq},\"born\":{}}}", self.born);
        let path = format!("/Instances.Deregister/{}", self.id);
        let answer = wire::post(target, &path, &body, CALL_LIMIT);
        let status = answer.as_ref().map_or(0, wire::Message::status);
        self.record
            .line(&format!("{} deregisters at {target}: {status}", self.id));
        status == 200
    }

    /// Ends as a process does: its listener and its connections close.
    pub fn end(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        self.record.line(&format!("{} has ended", self.id));
    }
}

/// Returns the address that an acknowledgement names for later heartbeats.
pub fn heartbeat_address(body: &str) -> Option<SocketAddr> {
    let (_, rest) = body.split_once("heartbeat_addr")?;
    rest.split('"').nth(2)?.parse().ok()
}

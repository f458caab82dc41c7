//! Clients: requests at a fixed rate, each on a connection of its own.

use crate::{
    deployment::{HOST, KEY},
    record::Record,
    wire,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// What became of an attempt.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    /// When the answer or the failure came, with its status; 0 without an answer.
    pub answered: Option<(Duration, u16)>,
}

#[derive(Clone)]
pub struct Clients {
    gateways: Vec<SocketAddr>,
    pub sent: Arc<Mutex<HashMap<String, Sent>>>,
    stop: Arc<AtomicBool>,
    record: Record,
}

impl Clients {
    /// Sends a request at each interval, to the gateways in turn.
    pub fn start(
        gateways: Vec<SocketAddr>,
        route: &'static str,
        interval: Duration,
        record: Record,
    ) -> Self {
        let clients = Self {
            gateways,
            sent: Arc::default(),
            stop: Arc::default(),
            record,
        };
        let sending = clients.clone();
        thread::spawn(move || {
            let mut number = 0_usize;
            while !sending.stop.load(Ordering::SeqCst) {
                let gateway = sending.gateways[number % sending.gateways.len()];
                let one = sending.clone();
                thread::spawn(move || one.send(gateway, route, number));
                number += 1;
                thread::sleep(interval);
            }
        });
        clients
    }

    fn send(&self, gateway: SocketAddr, route: &str, number: usize) {
        let attempt = format!("a{number:06}");
        let at = self
            .record
            .line(&format!("client sends {attempt} to {gateway}"));
        let sent = Sent { at, answered: None };
        self.sent.lock().unwrap().insert(attempt.clone(), sent);
        let head = format!(
            "POST /{route}/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\nKey: {KEY}\r\nConnection: close\r\n"
        );
        let answer = wire::call(gateway, &head, "{}", Duration::from_secs(5));
        let (status, text) = match &answer {
            Ok(answer) => (answer.status(), answer.text()),
            Err(error) => (0, error.to_string()),
        };
        let at = self
            .record
            .line(&format!("client gets {status} for {attempt}: {text}"));
        if let Some(sent) = self.sent.lock().unwrap().get_mut(&attempt) {
            sent.answered = Some((at, status));
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

//! Clients of the platform.

use crate::{
    net::{Answer, exchange, request},
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt has.
pub fn next_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub struct Call<'a> {
    pub front: SocketAddr,
    pub host: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    /// The model, and its adapter behind a slash; empty for a plain service.
    pub model: &'a str,
    /// The `Token-Counts` of a request to a plain service; none if empty.
    pub tokens: &'a str,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl Call<'_> {
    /// Sends one attempt and records it with its answer.
    pub fn send(&self, record: &Record) -> Answer {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let deadline = self.deadline_ms.to_string();
        let mut headers = vec![
            ("Host", self.host),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Key", self.key),
            ("Content-Type", "application/json"),
        ];
        let prefix = format!("5c1e07a2:155,{number:x}:491");
        if !self.model.is_empty() {
            headers.push(("Model", self.model));
            headers.push(("Token-Counts", "646,80"));
            headers.push(("Prompt-Prefix", prefix.as_str()));
        } else if !self.tokens.is_empty() {
            headers.push(("Token-Counts", self.tokens));
        }
        let path = format!("{}{number}", self.path);
        let bytes = request("POST", &path, &headers, self.body.as_bytes());
        record.line(&format!("client: sends {id} {path} {}", self.model));
        let limit = Duration::from_millis(self.deadline_ms + 1_000);
        let answer = exchange(self.front, &bytes, limit);
        record.line(&format!(
            "client: {id} got status {}, {} bytes, {}",
            answer.status,
            answer.body.len(),
            if answer.is_whole {
                "whole"
            } else {
                "not whole"
            }
        ));
        answer
    }

    /// Sends attempts, as a client that honours refusals, until one succeeds.
    pub fn send_until_served(&self, record: &Record, attempts: u32) -> Answer {
        let mut answer = self.send(record);
        for _ in 1..attempts {
            if answer.status != 429 && answer.status != 503 {
                break;
            }
            let wait = answer.head.get("retry-after").and_then(|v| v.parse().ok());
            std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.2)));
            answer = self.send(record);
        }
        answer
    }
}

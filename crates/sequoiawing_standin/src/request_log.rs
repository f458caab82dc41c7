//! The requests that reached a simulated upstream, so that tests can check that
//! certain data never does.

use hyper::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use std::collections::VecDeque;

/// The maximum number of recorded requests.
const MAX_REQUESTS: usize = 256;

/// The most recent requests, with headers and bodies.
#[derive(Debug, Default)]
pub(crate) struct RequestLog(Mutex<VecDeque<String>>);

impl RequestLog {
    pub(crate) fn record(&self, method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) {
        let body = String::from_utf8_lossy(body);
        self.record_text(format!("{method} {uri}\n{headers:?}\n{body}"));
    }

    pub(crate) fn record_text(&self, text: String) {
        let mut requests = self.0.lock();
        if requests.len() == MAX_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(text);
    }

    pub(crate) fn list(&self) -> Vec<String> {
        self.0.lock().iter().cloned().collect()
    }
}

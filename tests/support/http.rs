//! A minimal HTTP client for the tests.

use super::wait::TIMEOUT;
use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
};

/// The start of each event of a stream.
const EVENT_START: &[u8] = b"data: ";

/// A response as a caller sees it.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Response {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        let mut values = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }
}

/// Sends a request and reads the complete response.
pub(crate) fn post(to: SocketAddr, path: &str, key: &str, body: &str) -> Response {
    post_with(to, path, key, &[], body)
}

/// Sends a request with additional headers and reads the complete response.
pub(crate) fn post_with(
    to: SocketAddr,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let response = try_post(to, path, key, headers, body);
    response.expect("the router sends a complete response")
}

/// Sends a request and reads the complete response, or returns `None` if the
/// connection fails or the response is incomplete.
pub(crate) fn try_post(
    to: SocketAddr,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    parse(&send_raw(to, &format_request(path, key, headers, body))?)
}

/// Sends a request for a stream and reads the complete response. Increments
/// `begun` when the first event arrives.
pub(crate) fn post_stream(
    to: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
    begun: &AtomicUsize,
) -> Response {
    let mut has_begun = false;
    let on_read = |received: &[u8]| {
        if !has_begun
            && received
                .windows(EVENT_START.len())
                .any(|w| w == EVENT_START)
        {
            has_begun = true;
            begun.fetch_add(1, Ordering::Relaxed);
        }
    };
    let text = send_and_read(to, &format_request(path, key, &[], body), on_read);
    let response = text.as_deref().and_then(parse);
    response.expect("the router sends a complete response")
}

fn format_request(path: &str, key: &str, headers: &[(&str, &str)], body: &str) -> String {
    let length = body.len();
    let headers: Vec<String> = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    let headers = headers.concat();
    format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {key}\r\n{headers}\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a raw request and reads until the connection is closed, or returns
/// `None` if the connection fails.
pub(crate) fn send_raw(to: SocketAddr, request: &str) -> Option<String> {
    send_and_read(to, request, |_| ())
}

/// Sends a raw request and reads until the connection is closed, or returns
/// `None` if the connection fails. Calls `on_read` with all bytes received so far
/// after each read.
fn send_and_read<F>(to: SocketAddr, request: &str, mut on_read: F) -> Option<String>
where
    F: FnMut(&[u8]),
{
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8(received).ok(),
            Ok(length) => {
                received.extend_from_slice(&buffer[..length]);
                on_read(&received);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

/// Parses a response, or returns `None` if it is incomplete.
fn parse(text: &str) -> Option<Response> {
    let (head, raw) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let mut response = Response {
        status,
        head: head.to_owned(),
        body: raw.to_owned(),
    };
    if is_chunked {
        response.body = decode_chunked(raw)?;
    }
    let length = response.header("content-length").map(str::parse);
    let is_complete = length.is_none_or(|l| l == Ok(response.body.len()));
    is_complete.then_some(response)
}

/// Decodes a chunked body, or returns `None` if its last chunk is missing.
fn decode_chunked(raw: &str) -> Option<String> {
    let mut body = String::new();
    let mut rest = raw;
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}

//! A minimal HTTP client for the tests.

use super::wait::TIMEOUT;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

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
    let length = body.len();
    let headers: Vec<String> = headers
        .iter()
        .map(|(n, v)| format!("{n}: {v}\r\n"))
        .collect();
    let headers = headers.concat();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {key}\r\n{headers}\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    parse(&send_raw(to, &request)?)
}

/// Sends a raw request and reads until the connection is closed, or returns
/// `None` if the connection fails.
pub(crate) fn send_raw(to: SocketAddr, request: &str) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
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

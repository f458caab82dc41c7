//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line.last().is_some_and(|b| *b == b'\n' || *b == b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads the first line and the headers; `None` if the connection ended before.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("the head broke off"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body behind a head. Returns whether it was whole.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message, to_end: bool) -> bool {
    if message.header("transfer-encoding").is_some() {
        loop {
            let Ok(Some(line)) = read_line(reader) else {
                return false;
            };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let Some(length) = message
        .header("content-length")
        .and_then(|l| l.parse().ok())
    else {
        return !to_end || reader.read_to_end(&mut message.body).is_ok();
    };
    let mut body = vec![0; length];
    let whole = reader.read_exact(&mut body).is_ok();
    if whole {
        message.body = body;
    }
    whole
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, head: &str, body: &str, limit: Duration) -> io::Result<Message> {
    let start = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    let rest = limit
        .saturating_sub(start.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(rest))?;
    stream.set_nodelay(true)?;
    let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or_else(|| broken("no answer"))?;
    if read_body(&mut reader, &mut answer, true) {
        Ok(answer)
    } else {
        Err(broken("the answer broke off"))
    }
}

/// Sends a call with a JSON body to the system's control interface.
pub fn post(address: SocketAddr, path: &str, body: &str, limit: Duration) -> io::Result<Message> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n"
    );
    call(address, &head, body, limit)
}

pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    call(address, &head, "", limit)
}

//! A small HTTP/1.1 client and server side on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The first line and the headers of a message; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_slice())
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.bytes(name)?).ok()
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        while line.last().is_some_and(|b| *b == b'\n' || *b == b'\r') {
            line.pop();
        }
        if head.line.is_empty() {
            head.line = String::from_utf8_lossy(&line).into_owned();
            continue;
        }
        if line.is_empty() {
            return Ok(Some(head));
        }
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            continue;
        };
        let name = String::from_utf8_lossy(&line[..colon]).to_lowercase();
        let value = line[colon + 1..].trim_ascii().to_vec();
        head.headers.push((name, value));
    }
}

/// Reads the body behind a head. `on_part` is called for each part as it arrives.
/// Returns the body and whether it was whole.
pub fn read_body<F>(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    mut on_part: F,
) -> (Vec<u8>, bool)
where
    F: FnMut(&[u8]),
{
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(1..) => {}
                _ => return (body, false),
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (body, false);
            };
            let mut part = vec![0; size + 2];
            if reader.read_exact(&mut part).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            part.truncate(size);
            on_part(&part);
            body.extend(part);
        }
    }
    let length: usize = head
        .get("content-length")
        .and_then(|v| v.trim().parse().ok())
        .unwrap_or_default();
    body.resize(length, 0);
    match reader.read_exact(&mut body) {
        Ok(()) => {
            on_part(&body);
            (body, true)
        }
        Err(_) => (Vec::new(), false),
    }
}

/// What came of one request of a client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

/// Sends bytes on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    if stream.write_all(request).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    if let Ok(Some(head)) = read_head(&mut reader) {
        answer.status = head.status();
        let (body, is_whole) = read_body(&mut reader, &head, |_| {});
        answer.body = body;
        answer.is_whole = is_whole;
        answer.head = head;
    }
    answer
}

/// Builds a request with a body.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}
